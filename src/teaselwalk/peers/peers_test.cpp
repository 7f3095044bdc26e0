#include "teaselwalk/peers/client.hpp"
#include "teaselwalk/peers/server.hpp"

#include "teaselwalk/http/server.hpp"
#include "teaselwalk/runtime/bounded_ring.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace teaselwalk::peers {
namespace {

using protocol::Address;
using protocol::Delivery;

CallMessage makeCall(uint64_t Token) {
  CallMessage Out;
  Out.Token = Token;
  Out.Call.Call.Request = RequestId("r" + std::to_string(Token));
  Out.Call.Call.Key = "k";
  Out.Call.Call.Queue = QueueId("q");
  Out.Call.Call.Size = {100, 64, 0, 1, 1};
  Out.Call.Call.Payload = "p\"\n\u00e9";
  return Out;
}

/// An entry process reduced to its peer server, its peer client and a bounded
/// ring for received messages.
class Peer {
public:
  explicit Peer(const std::string &Name, size_t RingSize = 4096,
                ClientOptions Options = {})
      : Received(RingSize), Timeline(ProcessId(Name), 100),
        Server(
            {}, [this](Envelope E) { return Received.tryPush(std::move(E)); },
            Timeline, Registry),
        Client(Options, ProcessId(Name), address(), Timeline, Registry) {
    Threads.emplace_back([this] { Server.run(); });
    Threads.emplace_back([this] { Client.runSender(); });
    Threads.emplace_back([this] { Client.runTransport(); });
  }

  ~Peer() {
    Client.stop();
    Server.stop();
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  Address address() const { return {"127.0.0.1", Server.port()}; }

  std::future<SendResult> send(const Address &To, Message Content,
                               Duration Timeout = Duration(10000)) {
    auto Promise = std::make_shared<std::promise<SendResult>>();
    auto Future = Promise->get_future();
    if (!Client.send(To, std::move(Content), Timeout,
                     [Promise](const SendResult &R) { Promise->set_value(R); }))
      Promise->set_value({Delivery::NotSent, false, "queue is full"});
    return Future;
  }

  Envelope next() { return Received.pop().value(); }

  runtime::BoundedRing<Envelope> Received;
  runtime::TimelineBuffer Timeline;
  runtime::Metrics Registry;
  PeerServer Server;
  PeerClient Client;
  std::vector<std::thread> Threads;
};

/// Accepts HTTP requests and never answers them.
class SilentServer {
public:
  SilentServer()
      : Server({}, [this](const http::Request &, const http::Responder &R) {
          OpenResponders.push_back(R);
        }) {
    Thread = std::thread([this] { Server.run(); });
  }

  ~SilentServer() {
    Server.stop();
    Thread.join();
  }

  Address address() const { return {"127.0.0.1", Server.port()}; }

private:
  std::vector<http::Responder> OpenResponders;
  http::Server Server;
  std::thread Thread;
};

// Guards against fields of a call or its answer that are lost in encoding or
// decoding.
TEST(PeersTest, CallAndAnswerTravelAsSeparateMessages) {
  Peer A("a");
  Peer B("b");
  SendResult Sent = A.send(B.address(), makeCall(7)).get();
  EXPECT_EQ(Sent.State, Delivery::Answered);
  EXPECT_TRUE(Sent.IsAccepted) << Sent.Error;
  Envelope Seen = B.next();
  EXPECT_EQ(Seen.From, ProcessId("a"));
  EXPECT_EQ(Seen.ReplyTo, A.address());
  auto &Call = std::get<CallMessage>(Seen.Content);
  EXPECT_EQ(Call.Call.Call.Payload, "p\"\n\u00e9");
  EXPECT_EQ(Call.Call.Call.Size, (Resources{100, 64, 0, 1, 1}));

  AnswerMessage Answer;
  Answer.Token = Call.Token;
  Answer.Answer.Request = Call.Call.Call.Request;
  Answer.Answer.Outcome = Verdict::Ran;
  Answer.Answer.Result = "out";
  EXPECT_TRUE(B.send(Seen.ReplyTo, Answer).get().IsAccepted);
  auto Back = std::get<AnswerMessage>(A.next().Content);
  EXPECT_EQ(Back.Token, 7U);
  EXPECT_EQ(Back.Answer.Request, RequestId("r7"));
  EXPECT_EQ(Back.Answer.Result, "out");
}

// Guards against fields of the other messages that are lost in encoding or
// decoding.
TEST(PeersTest, OtherMessagesRoundTrip) {
  Peer A("a");
  HeartbeatMessage Beat;
  Beat.Beat.From = ProcessId("a");
  Beat.Beat.Shards = {1, 2};
  Beat.Beat.Attestations = {{ProcessId("w"), UINT64_MAX, Duration(3)}};
  EXPECT_TRUE(A.send(A.address(), Beat).get().IsAccepted);
  auto Seen = std::get<HeartbeatMessage>(A.next().Content).Beat;
  EXPECT_EQ(Seen.Shards, Beat.Beat.Shards);
  EXPECT_EQ(Seen.Attestations.at(0).Revision, UINT64_MAX);
  EXPECT_TRUE(A.send(A.address(), DigestMessage{"{}"}).get().IsAccepted);
  EXPECT_EQ(std::get<DigestMessage>(A.next().Content).Text, "{}");
  EXPECT_TRUE(A.send(A.address(), ProposeMessage{5, "p"}).get().IsAccepted);
  EXPECT_EQ(std::get<ProposeMessage>(A.next().Content).Token, 5U);
  EXPECT_TRUE(A.send(A.address(), OutcomeMessage{5, "o"}).get().IsAccepted);
  EXPECT_EQ(std::get<OutcomeMessage>(A.next().Content).Text, "o");
}

// Guards against reporting a call as "may have run" although no process
// received it: the peer has stopped, so the connection is refused.
TEST(PeersTest, MessageToStoppedPeerIsNotSent) {
  Address Closed;
  {
    Peer B("b");
    Closed = B.address();
  }
  Peer A("a");
  EXPECT_EQ(A.send(Closed, makeCall(1)).get().State, Delivery::NotSent);
}

// Guards against reporting a call as not sent although the peer may have
// received it, and against a silent peer that delays messages to other peers.
TEST(PeersTest, MessageToSilentPeerIsLostAndDelaysNoOtherPeer) {
  SilentServer Silent;
  Peer B("b");
  Peer A("a");
  auto First = A.send(Silent.address(), makeCall(1), Duration(1000));
  EXPECT_TRUE(A.send(B.address(), makeCall(2)).get().IsAccepted);
  EXPECT_EQ(First.wait_for(std::chrono::seconds(0)),
            std::future_status::timeout);
  EXPECT_EQ(First.get().State, Delivery::Lost);
}

// Guards against reporting a call as received by an engine that rejected it
// because its ring was full (invariant I7).
TEST(PeersTest, MessageToPeerWithFullRingIsNotAccepted) {
  Peer A("a");
  Peer B("b", 1);
  EXPECT_TRUE(A.send(B.address(), makeCall(1)).get().IsAccepted);
  SendResult Second = A.send(B.address(), makeCall(2)).get();
  EXPECT_EQ(Second.State, Delivery::Answered);
  EXPECT_FALSE(Second.IsAccepted);
}

// Guards against assigning a result to the wrong message of a batch.
TEST(PeersTest, ManyMessagesAreBatchedAndEachHasItsResult) {
  constexpr size_t Count = 500;
  constexpr size_t RingSize = 300;
  Peer A("a");
  Peer B("b", RingSize);
  std::vector<std::future<SendResult>> Results;
  for (size_t I = 0; I < Count; ++I)
    Results.push_back(A.send(B.address(), makeCall(I)));
  std::vector<bool> Accepted(Count);
  for (size_t I = 0; I < Count; ++I)
    Accepted[I] = Results[I].get().IsAccepted;
  EXPECT_EQ(std::count(Accepted.begin(), Accepted.end(), true), RingSize);
  for (size_t I = 0; I < RingSize; ++I)
    EXPECT_TRUE(Accepted[std::get<CallMessage>(B.next().Content).Token]);
}

// Guards against a limit on the calls that wait for their answer, and against
// answers assigned to the wrong call when they arrive in a different order
// (invariant I6).
TEST(PeersTest, ThousandsOfCallsWaitAtOnce) {
  constexpr size_t Count = 3000;
  ClientOptions Options;
  Options.MaxWaitingPerPeer = Count;
  Peer A("a", Count, Options);
  Peer B("b", Count, Options);
  for (size_t I = 0; I < Count; ++I)
    ASSERT_TRUE(A.Client.send(B.address(), makeCall(I), Duration(60000), {}));
  std::vector<CallMessage> Waiting;
  Waiting.reserve(Count);
  for (size_t I = 0; I < Count; ++I)
    Waiting.push_back(std::get<CallMessage>(B.next().Content));
  for (size_t I = Count; I > 0; --I) {
    AnswerMessage Answer;
    Answer.Token = Waiting[I - 1].Token;
    Answer.Answer.Request = Waiting[I - 1].Call.Call.Request;
    ASSERT_TRUE(B.Client.send(A.address(), Answer, Duration(60000), {}));
  }
  std::vector<bool> Seen(Count);
  for (size_t I = 0; I < Count; ++I) {
    auto Answer = std::get<AnswerMessage>(A.next().Content);
    EXPECT_EQ(Answer.Answer.Request.str(), "r" + std::to_string(Answer.Token));
    EXPECT_FALSE(Seen.at(Answer.Token));
    Seen[Answer.Token] = true;
  }
}

// Guards against unbounded memory for messages to a peer that does not answer.
TEST(PeersTest, QueueOfEachPeerIsBounded) {
  SilentServer Silent;
  ClientOptions Options;
  Options.MaxWaitingPerPeer = 4;
  Options.MaxRequestsPerPeer = 1;
  Peer A("a", 16, Options);
  int Rejected = 0;
  constexpr int Count = 500;
  std::vector<std::future<SendResult>> Results;
  Results.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Results.push_back(A.send(Silent.address(), makeCall(1), Duration(100)));
  for (auto &Result : Results)
    Rejected += Result.get().Error == "queue is full" ? 1 : 0;
  EXPECT_GE(Rejected, 1);
}

// Guards against a timeline that shows an effect before its cause when the
// sender's clock is ahead of the receiver's, here by one minute.
TEST(PeersTest, MessagesAdvanceTheReceiversClock) {
  Peer A("a");
  Peer B("b");
  A.Timeline.observe({runtime::wallMillis() + 60000, 0}, runtime::wallMillis());
  A.Timeline.add(runtime::EventName::CallForwarded, {}, runtime::wallMillis());
  EXPECT_TRUE(A.send(B.address(), makeCall(1)).get().IsAccepted);
  B.Timeline.add(runtime::EventName::CallReceived, {}, runtime::wallMillis());
  auto Merged = runtime::mergeTimelines(
      {B.Timeline.after(0, 10), A.Timeline.after(0, 10)});
  ASSERT_EQ(Merged.size(), 2U);
  EXPECT_EQ(Merged[0].Name, "call_forwarded");
}

} // namespace
} // namespace teaselwalk::peers
