#include "scripted_peer.hpp"

#include "teaselwalk/http/client.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <thread>
#include <vector>

namespace teaselwalk::http {
namespace {

using protocol::Delivery;
using SteadyClock = std::chrono::steady_clock;

/// More connections than one wait for events reports.
constexpr size_t ManyConnections = 300;
constexpr const char *EmptyAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// A client on a thread of its own.
class RunningClient {
public:
  explicit RunningClient(const ClientOptions &Options)
      : Sender(Options), Thread([this] { Sender.run(); }) {}
  ~RunningClient() {
    Sender.stop();
    Thread.join();
  }

  std::future<Delivery> send(const protocol::Address &To, Duration Timeout) {
    auto Slot = std::make_shared<std::promise<Delivery>>();
    std::future<Delivery> State = Slot->get_future();
    Request Message;
    Message.Method = "POST";
    Sender.send(To, Message, Timeout,
                [Slot](const Result &Got) { Slot->set_value(Got.State); });
    return State;
  }

  /// Runs \p Work on the client's thread, which handles no answer meanwhile.
  void post(std::function<void()> Work) {
    Sender.send(protocol::Address(), {}, Duration(60000),
                [Work = std::move(Work)](const Result &) { Work(); });
  }

private:
  Client Sender;
  std::thread Thread;
};

ClientOptions manyConnections() {
  ClientOptions Options;
  Options.MaxConnectionsPerPeer = ManyConnections;
  Options.ConnectTimeout = Duration(60000);
  return Options;
}

size_t countOf(std::vector<std::future<Delivery>> &Ends, Delivery Value) {
  size_t Count = 0;
  for (std::future<Delivery> &End : Ends)
    Count += End.get() == Value ? 1 : 0;
  return Count;
}

/// Blocks the client's thread until the given time.
struct Pause {
  explicit Pause(SteadyClock::time_point Until) : Until(Until) {}
  void operator()() {
    Begun.set_value();
    End.get_future().wait();
    std::promise<void>().get_future().wait_until(Until);
  }
  SteadyClock::time_point Until;
  std::promise<void> Begun;
  std::promise<void> End;
};

// Guards against a busy client that takes answers in its sockets for lost.
TEST(ClientDeadlineTest, AnswerThatArrivedBeforeItsDeadlineIsNotLost) {
  constexpr Duration Timeout{3000};
  ScriptedPeer Peer;
  ScriptedPeer Silent;
  RunningClient Client(manyConnections());
  std::vector<std::future<Delivery>> Ends;
  constexpr Duration ShortTimeout{1500};
  auto ShortDeadline = SteadyClock::now() + ShortTimeout;
  auto Unanswered = Client.send(Silent.address(), ShortTimeout);
  auto Deadline = SteadyClock::now() + Timeout;
  for (size_t I = 0; I < ManyConnections; ++I)
    Ends.push_back(Client.send(Peer.address(), Timeout));
  for (size_t I = 0; I < ManyConnections; ++I)
    Peer.acceptRequest();
  Pause Busy(Deadline + Duration(5));
  Client.post([&] { Busy(); });
  Busy.Begun.get_future().wait();
  // The expiry of an earlier deadline is the first event that is due.
  std::promise<void>().get_future().wait_until(ShortDeadline);
  Peer.answerAll(EmptyAnswer);
  Peer.waitUntilReceived();
  ASSERT_LT(SteadyClock::now(), Deadline) << "the machine is too slow";
  Busy.End.set_value();
  EXPECT_EQ(countOf(Ends, Delivery::Answered), ManyConnections);
  EXPECT_EQ(Unanswered.get(), Delivery::Lost);
}

// Guards against a busy client that takes established connections for failed.
TEST(ClientDeadlineTest, ConnectionThatIsEstablishedHasNotTimedOut) {
  ScriptedPeer Peer;
  ClientOptions Options = manyConnections();
  Options.ConnectTimeout = Duration(200);
  RunningClient Client(Options);
  std::promise<void> Queued;
  Client.post([&] { Queued.get_future().wait(); });
  std::vector<std::future<Delivery>> Ends;
  for (size_t I = 0; I < ManyConnections; ++I)
    Ends.push_back(Client.send(Peer.address(), Duration(60000)));
  Pause Busy(SteadyClock::now());
  Client.post([&] { Busy(); });
  Queued.set_value();
  Busy.Begun.get_future().wait();
  Busy.Until = SteadyClock::now() + Options.ConnectTimeout + Duration(5);
  Busy.End.set_value();
  for (size_t I = 0; I < ManyConnections; ++I)
    Peer.acceptRequest();
  Peer.answerAll(EmptyAnswer);
  EXPECT_EQ(countOf(Ends, Delivery::Answered), ManyConnections);
}

// Guards against a request that never ends because its peer sends only a part
// of the answer.
TEST(ClientDeadlineTest, IncompleteAnswerIsLost) {
  for (const char *Part : {"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n",
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{"}) {
    ScriptedPeer Peer;
    RunningClient Client(ClientOptions{});
    auto End = Client.send(Peer.address(), Duration(100));
    Peer.acceptRequest();
    Peer.answerAll(Part);
    ASSERT_EQ(End.wait_for(std::chrono::seconds(30)), std::future_status::ready)
        << Part;
    EXPECT_EQ(End.get(), Delivery::Lost) << Part;
  }
}

// Guards against a peer that keeps a request open by sending slowly.
TEST(ClientDeadlineTest, AnswerThatTricklesInIsLost) {
  ScriptedPeer Peer;
  RunningClient Client(ClientOptions{});
  auto End = Client.send(Peer.address(), Duration(100));
  Peer.acceptRequest();
  Peer.answerAll("HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n");
  while (End.wait_for(std::chrono::milliseconds(1)) !=
         std::future_status::ready)
    Peer.answerAll("x");
  EXPECT_EQ(End.get(), Delivery::Lost);
}

} // namespace
} // namespace teaselwalk::http
