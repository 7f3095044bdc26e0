#include "teaselwalk/node/process.hpp"

#include "core_loop.hpp"
#include "http_peer_calls.hpp"
#include "recorder.hpp"

#include "platform/advisor.hpp"
#include "platform/documents.hpp"
#include "platform/endpoints.hpp"
#include "platform/ingress.hpp"
#include "platform/store.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/http/server.hpp"
#include "teaselwalk/runtime/log.hpp"
#include "teaselwalk/runtime/thread_group.hpp"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <memory>
#include <random>
#include <thread>

namespace teaselwalk::node {
namespace {

/// Descriptors kept for logs, timers and the other servers.
constexpr int64_t ReservedDescriptors = 500;

/// The platform takes a process out of use after two failed readiness probes,
/// one a second; new connections come until then.
constexpr Duration NoticeTime{2300};
constexpr Duration DrainPoll{20};
/// Answers reach their clients before the sockets are closed.
constexpr Duration FlushTime{250};

/// The processes compete for the ownership one after the other.
constexpr int MaxClaimDelayMs = 60;

/// Longest delay of the answer to a process that watches this one.
constexpr Duration LongestIdentify{1000};

/// The readiness that the core last published counts for this long.
constexpr Duration ReadinessAge{1000};
constexpr Duration PublishInterval{100};

http::ServerOptions serverOptions(const protocol::Address &At,
                                  int64_t MaxDescriptors) {
  http::ServerOptions Options;
  Options.Ip = At.Ip;
  Options.Port = At.Port;
  Options.MaxBodyBytes = 1 << 20;
  Options.MaxHeaderBytes = 16384;
  Options.MaxConnections = static_cast<size_t>(
      std::max<int64_t>(64, (MaxDescriptors - ReservedDescriptors) / 2));
  return Options;
}

http::ClientOptions clientOptions() {
  http::ClientOptions Options;
  Options.MaxConnectionsPerPeer = 24;
  return Options;
}

runtime::LogOptions logOptions() {
  runtime::LogOptions Options;
  Options.ToOutput = true;
  Options.RingCapacity = 4096;
  return Options;
}

} // namespace

class Process::Impl {
public:
  explicit Impl(const NodeSettings &Given)
      : Settings(Given), Log(Threads, logOptions()), Events(Registry),
        Store(Sender, Given.Store, post()), Workers(Sender, post()),
        OwnAdvice(Sender, Given.Advisor, post()), Peers(Sender, Core),
        Service(OwnAdvice, Peers),
        Decisions({Core, Store, Workers, Service, Peers, Events}, options()),
        Callers(serverOptions(Given.Callers, Given.MaxDescriptors),
                [this](const http::Request &Message,
                       const http::Responder &To) { onCaller(Message, To); }),
        Probes(serverOptions(Given.Readiness, Given.MaxDescriptors),
               [this](const http::Request &, const http::Responder &To) {
                 To.send({isReady() ? 200 : 503, "{}"});
               }),
        PeerServer(serverOptions(Given.Peers, Given.MaxDescriptors),
                   [this](const http::Request &Message,
                          const http::Responder &To) { onPeer(Message, To); }) {
    runtime::logEvent(runtime::Level::Info, EventName::ProcessStarted,
                      {{"name", Given.Name},
                       {"data_centre", Given.DataCentre},
                       {"callers_port", Given.Callers.Port},
                       {"peer_port", Given.Peers.Port}});
    start("client", Sender);
    Threads.start("core", {[this] { Core.run(); }, [this] { Core.stop(); }});
    start("peers", PeerServer);
    start("probes", Probes);
    start("callers", Callers);
    Core.offer([this] {
      Decisions.start();
      publish();
    });
  }

  ~Impl() { Threads.stopAll(); }

  bool drain(Duration Limit) {
    auto End = std::chrono::steady_clock::now() + Limit;
    runtime::logEvent(runtime::Level::Info, EventName::ProcessStopping,
                      {{"limit_ms", Limit.count()}});
    Draining = true;
    Core.deliver([this] { Decisions.stop(); });
    std::this_thread::sleep_for(std::min(NoticeTime, Limit));
    Callers.stopAccepting();
    while (Callers.pending() > 0 && std::chrono::steady_clock::now() < End)
      std::this_thread::sleep_for(DrainPoll);
    bool IsComplete = Callers.pending() == 0;
    std::this_thread::sleep_for(FlushTime);
    runtime::logEvent(runtime::Level::Info, EventName::ProcessStopped,
                      {{"unanswered", Callers.pending()}});
    return IsComplete;
  }

private:
  template <typename Worker> void start(const char *Name, Worker &Body) {
    Threads.start(Name, {[&Body] { Body.run(); }, [&Body] { Body.stop(); }});
  }

  adapter::Post post() {
    return
        [this](std::function<void()> Work) { Core.deliver(std::move(Work)); };
  }

  cell::SchedulerCoreOptions options() {
    std::random_device Entropy;
    cell::SchedulerCoreOptions Options;
    Options.VmName = Settings.Name;
    Options.ProcessId = Settings.Name + '#' + std::to_string(Entropy());
    Options.PeerAddress = Settings.Peers;
    Options.Cores = Settings.Cores;
    Options.ClaimDelay =
        Duration(static_cast<int64_t>(Entropy() % MaxClaimDelayMs));
    Options.KeyRevocation = Settings.Limits.KeyRevocation;
    Options.Owner.MaxTaskLease = Settings.Limits.MaxTaskLease;
    Options.Owner.StatusKept = Settings.Limits.StatusKept;
    Options.Owner.EndpointPrefix = adapter::EndpointPrefix;
    Options.Owner.DecodeEndpoint = adapter::decodeEndpoint;
    Options.OperatorPrefix = adapter::OperatorPrefix;
    Options.ApplyOperatorItem = adapter::applyOperatorItem;
    Options.DecodeSubmission = adapter::decodeSubmission;
    return Options;
  }

  void publish() {
    ReadyAt = Decisions.isReady() ? Core.now().time_since_epoch().count() : 0;
    Core.after(PublishInterval, [this] { publish(); });
  }

  bool isReady() const {
    Duration Age = Core.now() - timeAt(ReadyAt);
    return !Draining && Age < ReadinessAge;
  }

  void onCaller(const http::Request &Message, const http::Responder &To) {
    auto Request = adapter::decodeRequest(Message, Core.now());
    cell::CallerAction Action = Request.Action;
    bool IsQueued = Core.offer([this, Request = std::move(Request), To] {
      Decisions.handle(Request, [To, Action = Request.Action](
                                    const cell::CallerAnswer &Answer) {
        To.send(adapter::encodeAnswer(Action, Answer));
      });
    });
    if (IsQueued)
      return;
    cell::CallerAnswer Full{cell::RequestOutcome::Refused, "too many requests"};
    Full.RetryAfter = Duration(1000);
    To.send(adapter::encodeAnswer(Action, Full));
  }

  void onPeer(const http::Request &Message, const http::Responder &To) {
    std::string Path = http::pathOf(Message);
    if (Path == "/metrics")
      return To.send({200, Registry.render(), "text/plain"});
    bool IsQueued = Core.offer(
        [this, Message, To, Path] { answerPeer(Path, Message, To); });
    if (!IsQueued)
      To.send({503, "{}"});
  }

  /// Answers after the time that the caller asks for.
  void identify(const http::Request &Message, const http::Responder &To) {
    int64_t Wait = 0;
    std::string Text = http::queryOf(Message, "wait_ms").value_or("0");
    std::from_chars(Text.data(), Text.data() + Text.size(), Wait);
    Core.after(std::clamp(Duration(Wait), Duration(0), LongestIdentify),
               [this, To] {
                 To.send({200, Decisions.processId(), "text/plain"});
               });
  }

  void answerPeer(const std::string &Path, const http::Request &Message,
                  const http::Responder &To) {
    if (Path == JobPath)
      return To.send({200, encode(Decisions.localJob(JobId(
                               http::queryOf(Message, "id").value_or(""))))});
    if (Path == PendingPath)
      return To.send({200, encode(Decisions.localPending(
                               http::queryOf(Message, "queue").value_or("")))});
    if (Path == HealthPath)
      return To.send(
          {200, encode(Decisions.ownerHealth(
                    http::queryOf(Message, "process").value_or("")))});
    if (Path == IdentifyPath)
      return identify(Message, To);
    if (Path != AdvicePath)
      return To.send({404, "{}"});
    try {
      ForwardedAdviceRequest Asked = decodeForwardedAdviceRequest(Message.Body);
      OwnAdvice.ask(Asked.Step, Asked.Candidates, Asked.Timeout,
                    [To](const cell::Advice &Answer) {
                      To.send({200, encode(Answer)});
                    });
    } catch (const Error &Failure) {
      runtime::logEvent(runtime::Level::Warn, EventName::PeerMessageLost,
                        {{"reason", Failure.what()}});
      To.send({400, "{}"});
    }
  }

  NodeSettings Settings;
  runtime::Metrics Registry;
  runtime::ThreadGroup Threads;
  runtime::Log Log;
  EventRecorder Events;
  CoreLoop Core;
  http::Client Sender{clientOptions()};
  adapter::PlatformStore Store;
  adapter::PlatformEndpoints Workers;
  adapter::PlatformAdvisor OwnAdvice;
  HttpPeerCalls Peers;
  AdviceRouter Service;
  cell::SchedulerCore Decisions;
  std::atomic<bool> Draining{false};
  std::atomic<int64_t> ReadyAt{0};
  http::Server Callers;
  http::Server Probes;
  http::Server PeerServer;
};

Process::Process(const NodeSettings &Settings)
    : State(std::make_unique<Impl>(Settings)) {}

Process::~Process() = default;

bool Process::drain(Duration Limit) { return State->drain(Limit); }

} // namespace teaselwalk::node
