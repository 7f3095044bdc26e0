#include "teaselwalk/entry/process.hpp"

#include "config_gateway.hpp"
#include "convert.hpp"

#include "teaselwalk/callers/api.hpp"
#include "teaselwalk/endpoints/endpoint_client.hpp"
#include "teaselwalk/entry/engine_loop.hpp"
#include "teaselwalk/http/server.hpp"
#include "teaselwalk/operators/operator_api.hpp"
#include "teaselwalk/operators/system.hpp"
#include "teaselwalk/peers/client.hpp"
#include "teaselwalk/peers/server.hpp"
#include "teaselwalk/platform/store_client.hpp"
#include "teaselwalk/platform/vm_list_client.hpp"
#include "teaselwalk/runtime/clock.hpp"
#include "teaselwalk/runtime/thread_group.hpp"

#include <nlohmann/json.hpp>

#include <random>
#include <thread>
#include <utility>

namespace teaselwalk::entry {
namespace {

constexpr size_t TimelineCapacity = 20000;
constexpr Duration ExpireInterval{500};
constexpr Duration DrainPoll{20};
constexpr Duration PeerTimeout{1000};

http::ServerOptions serverOptions(const settings::Settings &Settings,
                                  uint16_t Port) {
  http::ServerOptions Options;
  Options.Ip = Settings.Ip;
  Options.Port = Port;
  return Options;
}

http::ServerOptions operatorServer(const settings::Settings &Settings) {
  http::ServerOptions Options = serverOptions(Settings, Settings.OperatorPort);
  Options.MaxBodyBytes = operators::MaxRequestBytes;
  return Options;
}

peers::ServerOptions peerOptions(const settings::Settings &Settings) {
  peers::ServerOptions Options;
  Options.Ip = Settings.Ip;
  Options.Port = Settings.PeerPort;
  return Options;
}

runtime::LogOptions logOptions(const settings::Settings &Settings) {
  runtime::LogOptions Options;
  Options.File = Settings.LogFile;
  static constexpr std::array<runtime::Level, 5> Levels = {
      runtime::Level::Debug, runtime::Level::Debug, runtime::Level::Info,
      runtime::Level::Warn, runtime::Level::Error};
  Options.Lowest = Levels[static_cast<size_t>(Settings.Level)];
  return Options;
}

/// A new id for every start, so that a restarted process is told apart from
/// the one before it.
ProcessId makeProcessId(const ProcessId &Name, std::random_device &Entropy) {
  return ProcessId(Name.str() + '#' + std::to_string(Entropy()));
}

} // namespace

class Process::Impl {
public:
  explicit Impl(const settings::Settings &Given)
      : Settings(Given), Self(makeProcessId(Given.Name, Entropy)),
        Timeline(Self, TimelineCapacity), Log(Threads, logOptions(Given)),
        Store(Sender, Given.Store), VmList(Sender, Given.VmList),
        Endpoints(Sender),
        Peers(
            peerOptions(Given),
            [this](const peers::Envelope &Message) { return take(Message); },
            Timeline, Registry),
        ToPeers({}, Self, {Given.Ip, Peers.port()}, Timeline, Registry),
        Loop(
            toOptions(Given, Self, {Given.Ip, Peers.port()}, Entropy()),
            [this](engine::Action &&Step) { perform(std::move(Step)); },
            Registry),
        Api({}, hooks(), Registry, std::mt19937_64(Entropy())),
        Callers(
            serverOptions(Given, Given.CallerPort),
            [this](const http::Request &Message, const http::Responder &To) {
              Api.handle(Message, [To](http::Response Answer) {
                To.send(std::move(Answer));
              });
            }),
        Gateway(Loop), OperatorApi(Gateway, operators::systemOptions()),
        Operators(operatorServer(Given), OperatorApi.handler()) {
    Threads.start("client",
                  {[this] { Sender.run(); }, [this] { Sender.stop(); }});
    Threads.start("peer-http", {[this] { ToPeers.runTransport(); },
                                [this] { ToPeers.stop(); }});
    Threads.start("peer-sender", {[this] { ToPeers.runSender(); },
                                  [this] { ToPeers.stop(); }});
    Threads.start("engine", {[this] { Loop.run(); }, [this] { Loop.stop(); }});
    Threads.start("peers", {[this] { Peers.run(); }, [this] { Peers.stop(); }});
    Threads.start("operators",
                  {[this] { Operators.run(); }, [this] { Operators.stop(); }});
    Threads.start("callers",
                  {[this] { Callers.run(); }, [this] { Callers.stop(); }});
  }

  ~Impl() { Threads.stopAll(); }

  Ports ports() const {
    return {Callers.port(), Operators.port(), Peers.port()};
  }

  bool drain(Duration Limit) {
    auto End = std::chrono::steady_clock::now() + Limit;
    Api.refuseNewWork();
    Loop.deliver(engine::DrainRequested{});
    bool IsDrained = false;
    while (!IsDrained && std::chrono::steady_clock::now() < End) {
      std::this_thread::sleep_for(DrainPoll);
      IsDrained = Loop.isDrained() && Api.open() == 0 && Callers.pending() == 0;
    }
    // Until its connection is closed a caller may send another request, which
    // must not be read and left without an answer.
    Callers.stopAccepting();
    while (Callers.connections() > 0 &&
           std::chrono::steady_clock::now() < End) {
      Callers.closeIdle();
      std::this_thread::sleep_for(DrainPoll);
    }
    return IsDrained && Callers.pending() == 0;
  }

  std::string failure() const { return Threads.failure(); }

private:
  callers::ApiHooks hooks() {
    callers::ApiHooks Hooks;
    Hooks.Submit = [this](const callers::CallerEvent &Value) {
      return Loop.offer(toEvent(Value));
    };
    Hooks.MetricsText = [this] { return Registry.render(); };
    Hooks.IsHealthy = [this] { return Threads.failure().empty(); };
    Hooks.IsReady = [this] { return Loop.isReady(); };
    Hooks.Timeline = [this](uint64_t After, size_t Limit) {
      return Timeline.after(After, Limit);
    };
    return Hooks;
  }

  void perform(engine::Action &&Step) {
    std::visit([this](auto &Value) { on(std::move(Value)); }, Step);
  }

  void on(engine::AnswerCall &&Step) { Api.answer(Step.To, Step.Answer); }
  void on(engine::AnswerJob &&Step) { Api.answerJob(Step.To, toAnswer(Step)); }
  void on(engine::AnswerJobStatus &&Step) {
    Api.answerJob(Step.To, toAnswer(Step));
  }
  void on(engine::AnswerStatus &&Step) {
    Api.answerStatus(Step.To, nlohmann::json::parse(Step.Json));
  }
  void on(engine::SendToStore &&Step) {
    Store.send(Step.Request, Step.Timeout,
               [this, Command = Step.Command](protocol::StoreReply Reply) {
                 Loop.deliver(engine::StoreReplied{Command, std::move(Reply)});
               });
  }
  void on(engine::SendToEndpoint &&Step) {
    std::visit(
        [&](const auto &Message) {
          Endpoints.send(
              Step.To, Message, Step.Timeout,
              [this, Command = Step.Command](const endpoints::Answer &Reply) {
                Loop.deliver(engine::EndpointReplied{Command, toReply(Reply)});
              });
        },
        Step.Message);
  }
  void on(engine::FetchVmList && /*Step*/) {
    VmList.fetch([this](std::optional<std::vector<protocol::VmInfo>> List) {
      if (List)
        Loop.deliver(engine::VmListReceived{std::move(*List)});
    });
  }
  void on(engine::SendHeartbeat &&Step) {
    ToPeers.send(Step.To, peers::HeartbeatMessage{std::move(Step.Beat)},
                 PeerTimeout, [](const peers::SendResult &) {});
  }
  void on(engine::ForwardCall &&Step) {
    engine::CommandId Command = Step.Command;
    bool IsQueued = ToPeers.send(
        Step.To, peers::CallMessage{Command, std::move(Step.Forwarded)},
        PeerTimeout, [this, Command](const peers::SendResult &Result) {
          if (Result.State == protocol::Delivery::Answered && Result.IsAccepted)
            return; // The answer is a message of its own.
          failForwarded(Command, Result.State);
        });
    if (!IsQueued)
      failForwarded(Command, protocol::Delivery::NotSent);
  }
  void on(engine::AnswerPeerCall &&Step) {
    ToPeers.send(Step.To,
                 peers::AnswerMessage{Step.PeerToken, std::move(Step.Answer)},
                 PeerTimeout, [](const peers::SendResult &) {});
  }
  void on(engine::AnswerProposal &&Step) { Gateway.answer(Step); }

  /// A call that the peer answered without taking it did not reach its engine.
  void failForwarded(engine::CommandId Command, protocol::Delivery State) {
    if (State == protocol::Delivery::Answered)
      State = protocol::Delivery::NotSent;
    Loop.deliver(engine::PeerCallFailed{Command, State});
  }

  /// Hands a peer's message to the engine; false if it has no room for it.
  bool take(const peers::Envelope &Message) {
    if (const auto *Beat =
            std::get_if<peers::HeartbeatMessage>(&Message.Content))
      return Loop.offer(engine::HeartbeatReceived{Beat->Beat});
    if (const auto *Call = std::get_if<peers::CallMessage>(&Message.Content))
      return Loop.offer(
          engine::PeerCallReceived{Message.ReplyTo, Call->Token, Call->Call});
    if (const auto *Reply =
            std::get_if<peers::AnswerMessage>(&Message.Content)) {
      Loop.deliver(engine::PeerCallAnswered{Reply->Token, Reply->Answer});
      return true;
    }
    return false;
  }

  void on(engine::RecordEvent &&Step) {
    runtime::Fields Values;
    for (auto &Row : Step.Fields)
      Values.emplace_back(std::move(Row.first), std::move(Row.second));
    Timeline.add(Step.Name, Values, runtime::wallMillis());
    runtime::logEvent(runtime::Level::Info, Step.Name, std::move(Values));
  }

  std::random_device Entropy;
  settings::Settings Settings;
  ProcessId Self;
  runtime::Metrics Registry;
  runtime::TimelineBuffer Timeline;
  runtime::ThreadGroup Threads;
  runtime::Log Log;
  http::Client Sender{http::ClientOptions()};
  platform::StoreClient Store;
  platform::VmListClient VmList;
  endpoints::EndpointClient Endpoints;
  peers::PeerServer Peers;
  peers::PeerClient ToPeers;
  EngineLoop Loop;
  callers::Api Api;
  http::Server Callers;
  ConfigGateway Gateway;
  operators::OperatorApi OperatorApi;
  http::Server Operators;
};

Process::Process(const settings::Settings &Settings)
    : State(std::make_unique<Impl>(Settings)) {}

Process::~Process() = default;

Ports Process::ports() const { return State->ports(); }

bool Process::drain(Duration Limit) { return State->drain(Limit); }

std::string Process::failure() const { return State->failure(); }

} // namespace teaselwalk::entry
