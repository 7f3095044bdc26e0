#include "teaselwalk/callers/api.hpp"
#include "teaselwalk/http/client.hpp"
#include "teaselwalk/http/server.hpp"
#include "teaselwalk/peers/client.hpp"
#include "teaselwalk/peers/server.hpp"
#include "teaselwalk/runtime/bounded_ring.hpp"

#include <benchmark/benchmark.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

// Both sides of every exchange run in this process, so process CPU time covers
// sender and receiver.
namespace teaselwalk {
namespace {

/// Messages of one benchmark iteration.
constexpr int Round = 2000;

/// Limits the number of exchanges in progress.
class Window {
public:
  explicit Window(int Size) : Size(Size) {}

  void enter() {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait(Lock, [&] { return Open < Size; });
    ++Open;
  }

  void leave() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      --Open;
    }
    Changed.notify_one();
  }

  void drain() {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait(Lock, [&] { return Open == 0; });
  }

private:
  const int Size;
  int Open = 0;
  std::mutex Mutex;
  std::condition_variable Changed;
};

/// An entry process with a trivial engine that answers each forwarded call.
class Process {
public:
  explicit Process(const std::string &Name)
      : Timeline(ProcessId(Name), 100),
        Server(
            {},
            [this](peers::Envelope E) { return Ring.tryPush(std::move(E)); },
            Timeline, Registry),
        Client({}, ProcessId(Name), address(), Timeline, Registry) {
    Threads.emplace_back([this] { Server.run(); });
    Threads.emplace_back([this] { Client.runSender(); });
    Threads.emplace_back([this] { Client.runTransport(); });
    Threads.emplace_back([this] { runEngine(); });
  }

  ~Process() {
    Ring.close();
    Client.stop();
    Server.stop();
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  protocol::Address address() const { return {"127.0.0.1", Server.port()}; }

  void send(const protocol::Address &To, peers::Message Content,
            peers::PeerClient::Callback Done) {
    Client.send(To, std::move(Content), Duration(10000), std::move(Done));
  }

  Window *Answered = nullptr; ///< Left when an answer to a call arrives.

private:
  void runEngine() {
    while (auto Received = Ring.pop()) {
      if (auto *Call = std::get_if<peers::CallMessage>(&Received->Content)) {
        peers::AnswerMessage Answer;
        Answer.Token = Call->Token;
        Answer.Answer.Request = Call->Call.Call.Request;
        Answer.Answer.Outcome = Verdict::Ran;
        send(Received->ReplyTo, Answer, {});
      }
      if (std::holds_alternative<peers::AnswerMessage>(Received->Content))
        Answered->leave();
    }
  }

  runtime::BoundedRing<peers::Envelope> Ring{65536};
  runtime::TimelineBuffer Timeline;
  runtime::Metrics Registry;
  peers::PeerServer Server;
  peers::PeerClient Client;
  std::vector<std::thread> Threads;
};

peers::HeartbeatMessage heartbeat() {
  peers::HeartbeatMessage Out;
  Out.Beat.From = ProcessId("entry-1");
  Out.Beat.DataCentre = DataCentreId("brno-a");
  Out.Beat.At = {"127.0.0.1", 7000};
  Out.Beat.Shards = {0, 1, 2};
  Out.Beat.Attestations = {{ProcessId("entry-1"), 12345, Duration(20)},
                           {ProcessId("entry-2"), 12345, Duration(700)},
                           {ProcessId("entry-3"), 12345, Duration(300)}};
  return Out;
}

peers::CallMessage forwardedCall() {
  peers::CallMessage Out;
  Out.Call.Call.Request = RequestId("0123456789abcdef0123456789abcdef");
  Out.Call.Call.Queue = QueueId("calls");
  Out.Call.Call.Size = {100, 64, 0, 1, 1};
  Out.Call.Call.Payload = std::string(256, 'x');
  return Out;
}

void pushAndPop(benchmark::State &State) {
  runtime::BoundedRing<int> Ring(1024);
  for (auto Step : State) {
    Ring.tryPush(1);
    benchmark::DoNotOptimize(Ring.tryPop());
  }
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(pushAndPop);

/// Three producers and one consumer.
void ringAcrossThreads(benchmark::State &State) {
  constexpr int Producers = 3;
  for (auto Step : State) {
    runtime::BoundedRing<int> Ring(1024);
    std::vector<std::thread> Threads;
    Threads.reserve(Producers);
    for (int I = 0; I < Producers; ++I)
      Threads.emplace_back([&] {
        for (int N = 0; N < Round; ++N)
          while (!Ring.tryPush(N))
            std::this_thread::yield();
      });
    for (int N = 0; N < Producers * Round; ++N)
      Ring.pop();
    for (std::thread &Thread : Threads)
      Thread.join();
  }
  State.SetItemsProcessed(State.iterations() * Producers * Round);
}
BENCHMARK(ringAcrossThreads)->UseRealTime()->MeasureProcessCPUTime();

/// The argument is the number of heartbeats in progress.
void heartbeats(benchmark::State &State) {
  Process From("a");
  Process To("b");
  Window Limit(static_cast<int>(State.range(0)));
  const peers::HeartbeatMessage Beat = heartbeat();
  for (auto Step : State) {
    for (int I = 0; I < Round; ++I) {
      Limit.enter();
      From.send(To.address(), Beat,
                [&](const peers::SendResult &) { Limit.leave(); });
    }
    Limit.drain();
  }
  State.SetItemsProcessed(State.iterations() * Round);
}
BENCHMARK(heartbeats)->Arg(1)->Arg(256)->UseRealTime()->MeasureProcessCPUTime();

/// The argument is the number of calls that wait for their answer.
void forwardedCalls(benchmark::State &State) {
  Process From("a");
  Process To("b");
  Window Limit(static_cast<int>(State.range(0)));
  From.Answered = &Limit;
  const peers::CallMessage Call = forwardedCall();
  for (auto Step : State) {
    for (int I = 0; I < Round; ++I) {
      Limit.enter();
      From.send(To.address(), Call, {});
    }
    Limit.drain();
  }
  State.SetItemsProcessed(State.iterations() * Round);
}
BENCHMARK(forwardedCalls)
    ->Arg(1)
    ->Arg(512)
    ->UseRealTime()
    ->MeasureProcessCPUTime();

/// Callers' API behind an HTTP server, with a trivial engine.
class CallerSide {
public:
  CallerSide()
      : Api({}, hooks(), Registry, std::mt19937_64(1)),
        Server({}, [this](const http::Request &R, const http::Responder &To) {
          Api.handle(R, [To](http::Response M) { To.send(std::move(M)); });
        }) {
    Threads.emplace_back([this] { Server.run(); });
    Threads.emplace_back([this] { runEngine(); });
  }

  ~CallerSide() {
    Ring.close();
    Server.stop();
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  protocol::Address address() const { return {"127.0.0.1", Server.port()}; }

private:
  callers::ApiHooks hooks() {
    callers::ApiHooks Hooks;
    Hooks.Submit = [this](callers::CallerEvent E) {
      return Ring.tryPush(std::move(E));
    };
    return Hooks;
  }

  void runEngine() {
    while (auto Event = Ring.pop()) {
      const auto &Call = std::get<callers::CallReceived>(*Event);
      protocol::CallAnswer Answer;
      Answer.Request = Call.Call.Request;
      Answer.Outcome = Verdict::Ran;
      Api.answer(Call.Id, Answer);
    }
  }

  runtime::BoundedRing<callers::CallerEvent> Ring{65536};
  runtime::Metrics Registry;
  callers::Api Api;
  http::Server Server;
  std::vector<std::thread> Threads;
};

/// The argument is the number of calls in progress, each on a connection.
void callerRequests(benchmark::State &State) {
  CallerSide Side;
  http::ClientOptions Options;
  Options.MaxConnectionsPerPeer = static_cast<size_t>(State.range(0));
  http::Client Client(Options);
  std::thread Thread([&] { Client.run(); });
  Window Limit(static_cast<int>(State.range(0)));
  const http::Request Call{
      "POST", "/v1/calls",
      R"({"queue":"q","cpu_millis":100,"memory_mb":64,"payload":"p"})", "key"};
  int Failed = 0;
  for (auto Step : State) {
    for (int I = 0; I < Round; ++I) {
      Limit.enter();
      Client.send(Side.address(), Call, Duration(10000),
                  [&](const http::Result &Got) {
                    Failed += Got.Message.Status == 200 ? 0 : 1;
                    Limit.leave();
                  });
    }
    Limit.drain();
  }
  State.counters["failed"] = Failed;
  State.SetItemsProcessed(State.iterations() * Round);
  Client.stop();
  Thread.join();
}
BENCHMARK(callerRequests)
    ->Arg(1)
    ->Arg(64)
    ->UseRealTime()
    ->MeasureProcessCPUTime();

} // namespace
} // namespace teaselwalk
