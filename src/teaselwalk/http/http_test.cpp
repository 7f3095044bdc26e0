#include "teaselwalk/http/client.hpp"
#include "teaselwalk/http/server.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace teaselwalk::http {
namespace {

using protocol::Delivery;

class HttpTest : public ::testing::Test {
protected:
  void start(ServerOptions Options, Server::Handler OnRequest) {
    Running =
        std::make_unique<Server>(std::move(Options), std::move(OnRequest));
    Thread = std::thread([this] { Running->run(); });
  }

  void TearDown() override {
    if (!Running)
      return;
    Running->stop();
    Thread.join();
  }

  Result send(const Request &Message, Duration Timeout = Duration(5000)) {
    return sendAndWait({"127.0.0.1", Running->port()}, Message, Timeout);
  }

  std::unique_ptr<Server> Running;
  std::thread Thread;
};

// Guards against fields of the request lost between client and handler.
TEST_F(HttpTest, HandlerSeesWholeRequest) {
  start({}, [](const Request &Seen, const Responder &Answer) {
    Answer.send({200, Seen.Method + "|" + pathOf(Seen) + "|" +
                          queryOf(Seen, "key").value_or("-") + "|" + Seen.Body +
                          "|" + Seen.Bearer + "|" + Seen.RequestId});
  });
  Result Got = send({"POST", "/a?key=b%20c", "body", "secret", "r1"});
  ASSERT_EQ(Got.State, Delivery::Answered);
  EXPECT_EQ(Got.Message.Body, "POST|/a|b c|body|secret|r1");
}

// Guards against unbounded memory for an oversized body.
TEST_F(HttpTest, OversizedBodyIsRefused) {
  ServerOptions Options;
  Options.MaxBodyBytes = 100;
  start(Options,
        [](const Request &, const Responder &Answer) { Answer.send({}); });
  Result Got = send({"POST", "/", std::string(101, 'x')});
  ASSERT_EQ(Got.State, Delivery::Answered);
  EXPECT_EQ(Got.Message.Status, 413);
  EXPECT_EQ(send({"POST", "/", std::string(100, 'x')}).Message.Status, 200);
}

// Guards against a handler that forgets to answer and leaves the caller
// waiting.
TEST_F(HttpTest, DroppedResponderAnswers500) {
  start({}, [](const Request &, const Responder &) {});
  EXPECT_EQ(send({}).Message.Status, 500);
}

// Guards against calling an unanswered request "not sent".
TEST_F(HttpTest, RequestWithoutAnswerIsLost) {
  std::promise<Responder> Kept;
  start({}, [&](const Request &, Responder Answer) {
    Kept.set_value(std::move(Answer));
  });
  EXPECT_EQ(send({}, Duration(50)).State, Delivery::Lost);
  Kept.get_future().get().send({});
}

// Guards against calling a request "lost" that nobody can have received.
TEST_F(HttpTest, RefusedConnectionIsNotSent) {
  uint16_t FreePort = 0;
  {
    Server Closed({}, [](const Request &, const Responder &) {});
    FreePort = Closed.port();
  }
  Result Got = sendAndWait({"127.0.0.1", FreePort}, {}, Duration(1000));
  EXPECT_EQ(Got.State, Delivery::NotSent);
}

// Guards against mixing up answers when many requests share connections.
TEST_F(HttpTest, ParallelRequestsReceiveTheirOwnAnswers) {
  start({}, [](const Request &Seen, const Responder &Answer) {
    Answer.send({200, Seen.Body});
  });
  ClientOptions Options;
  Options.MaxConnectionsPerPeer = 4;
  Client Sender(Options);
  std::thread Worker([&] { Sender.run(); });
  constexpr int Count = 200;
  std::vector<std::future<std::string>> Answers;
  for (int I = 0; I < Count; ++I) {
    auto Slot = std::make_shared<std::promise<std::string>>();
    Answers.push_back(Slot->get_future());
    Sender.send(
        {"127.0.0.1", Running->port()}, {"POST", "/", std::to_string(I)},
        Duration(10000),
        [Slot](const Result &Got) { Slot->set_value(Got.Message.Body); });
  }
  for (int I = 0; I < Count; ++I)
    EXPECT_EQ(Answers[I].get(), std::to_string(I));
  Sender.stop();
  Worker.join();
}

// Guards against escapes that do not survive a round trip.
TEST(HttpMessageTest, PercentEncodingRoundTrips) {
  std::string All;
  for (int Byte = 0; Byte < 256; ++Byte)
    All += static_cast<char>(Byte);
  EXPECT_EQ(percentDecode(percentEncode(All)), All);
  EXPECT_EQ(percentDecode("%zz%4"), "%zz%4");
}

} // namespace
} // namespace teaselwalk::http
