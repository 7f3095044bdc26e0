#include "teaselwalk/callers/api.hpp"

#include "teaselwalk/http/client.hpp"
#include "teaselwalk/http/server.hpp"
#include "teaselwalk/runtime/bounded_ring.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <thread>

namespace teaselwalk::callers {
namespace {

constexpr size_t MaxBody = 4096;
constexpr size_t MaxHeader = 1024;
const std::string CallBody =
    R"({"queue":"q","cpu_millis":100,"memory_mb":64,"payload":"p"})";

/// The API behind a real HTTP server, with an engine that answers every call
/// with its request id.
class CallerServerTest : public ::testing::Test {
protected:
  CallerServerTest() {
    ApiHooks Hooks;
    Hooks.Submit = [this](CallerEvent E) { return Ring.tryPush(std::move(E)); };
    Hooks.MetricsText = [this] { return Registry.render(); };
    Hooks.IsHealthy = [] { return true; };
    Hooks.IsReady = [] { return true; };
    Hooks.Timeline = [](uint64_t, size_t) {
      return std::vector<runtime::TimelineEvent>();
    };
    Subject = std::make_unique<Api>(ApiOptions(), Hooks, Registry,
                                    std::mt19937_64(1));
    http::ServerOptions Options;
    Options.MaxBodyBytes = MaxBody;
    Options.MaxHeaderBytes = MaxHeader;
    Options.ReadTimeout = Duration(500);
    Server = std::make_unique<http::Server>(
        Options, [this](const http::Request &R, const http::Responder &To) {
          Subject->handle(R, [To](http::Response M) { To.send(std::move(M)); });
        });
    Threads.emplace_back([this] { Server->run(); });
    Threads.emplace_back([this] { runEngine(); });
  }

  ~CallerServerTest() override {
    Ring.close();
    Server->stop();
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  void runEngine() {
    while (auto Event = Ring.pop()) {
      const auto &Call = std::get<CallReceived>(*Event);
      protocol::CallAnswer Answer;
      Answer.Request = Call.Call.Request;
      Answer.Outcome = Verdict::Ran;
      Answer.Result = Call.Call.Request.str();
      Subject->answer(Call.Id, Answer);
    }
  }

  /// Requires that other callers are served.
  void expectServed() {
    http::Result Got = http::sendAndWait(
        {"127.0.0.1", Server->port()},
        {"POST", "/v1/calls", CallBody, "key", "other"}, Duration(10000));
    ASSERT_EQ(Got.State, protocol::Delivery::Answered);
    EXPECT_EQ(Got.Message.Status, 200);
    EXPECT_EQ(nlohmann::json::parse(Got.Message.Body)["result"], "other");
  }

  /// A connected socket that has sent \p Text.
  int openRaw(const std::string &Text) const {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(Server->port());
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(Socket, reinterpret_cast<sockaddr *>(&At), sizeof(At)),
              0);
    ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
    return Socket;
  }

  /// What the server sends until it closes the connection.
  static std::string readToEnd(int Socket) {
    std::string Out;
    char Bytes[4096];
    for (ssize_t Count = 0;
         (Count = ::recv(Socket, Bytes, sizeof(Bytes), 0)) > 0;)
      Out.append(Bytes, static_cast<size_t>(Count));
    ::close(Socket);
    return Out;
  }

  std::string exchange(const std::string &Text) const {
    return readToEnd(openRaw(Text));
  }

  runtime::BoundedRing<CallerEvent> Ring{1024};
  runtime::Metrics Registry;
  std::unique_ptr<Api> Subject;
  std::unique_ptr<http::Server> Server;
  std::vector<std::thread> Threads;
};

std::string post(const std::string &Headers, const std::string &Body) {
  return "POST /v1/calls HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
         Headers + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

// Guards against callers that wait because others send slowly or not to the
// end, and against connections that such callers keep forever.
TEST_F(CallerServerTest, SlowAndTruncatedRequestsDelayNoOther) {
  std::vector<int> Sockets;
  Sockets.reserve(64);
  for (int I = 0; I < 32; ++I) {
    Sockets.push_back(openRaw("POST /v1/calls HTTP/1.1\r\nHost: a\r\nX"));
    Sockets.push_back(openRaw(
        "POST /v1/calls HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n{"));
  }
  expectServed();
  int Truncated = openRaw("POST /v1/calls HTTP/1.1\r\nContent-Le");
  ::shutdown(Truncated, SHUT_WR);
  EXPECT_EQ(readToEnd(Truncated).find(" 200 "), std::string::npos);
  for (int Socket : Sockets)
    EXPECT_EQ(readToEnd(Socket).find(" 200 "), std::string::npos);
  expectServed();
}

// Guards against unbounded memory for bodies and headers, and against a wrong
// verdict on them (I7).
TEST_F(CallerServerTest, OversizedRequestsAreRefused) {
  std::string Body = exchange(post("", std::string(MaxBody + 1, 'x')));
  EXPECT_EQ(Body.find("HTTP/1.1 413 "), 0U) << Body;
  EXPECT_NE(Body.find(R"("verdict":"not_run")"), std::string::npos);
  std::string Header =
      exchange(post("X-Big: " + std::string(MaxHeader, 'x') + "\r\n", "{}"));
  EXPECT_EQ(Header.find("HTTP/1.1 431 "), 0U) << Header;
  EXPECT_NE(Header.find(R"("verdict":"not_run")"), std::string::npos);
  expectServed();
}

// Guards against malformed input that ends the server or reaches the engine.
TEST_F(CallerServerTest, MalformedRequestsAreRefused) {
  const std::string Cases[] = {
      "\r\n\r\n",
      std::string(500, '\0'),
      "GET\r\n\r\n",
      "POST /v1/calls HTTP/9.9\r\n\r\n",
      "POST /v1/calls HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      post("Content-Length: 1\r\n", "ab"),
      "POST /v1/calls HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      post("", std::string(MaxBody, '[')),
      post("X-Request-Id: a/b\r\n", CallBody),
      post("X-Request-Id: " + std::string(65, 'a') + "\r\n", CallBody),
  };
  for (const std::string &Text : Cases) {
    int Socket = openRaw(Text);
    ::shutdown(Socket, SHUT_WR);
    std::string Got = readToEnd(Socket);
    EXPECT_EQ(Got.find(" 200 "), std::string::npos) << Text;
    EXPECT_TRUE(Got.empty() || Got.find("HTTP/1.1 4") == 0) << Got;
  }
  expectServed();
}

// Guards against answers mixed up between requests of one connection.
TEST_F(CallerServerTest, PipelinedRequestsAreAnsweredInOrder) {
  std::string Text;
  for (const char *Id : {"r1", "r2"})
    Text += "POST /v1/calls HTTP/1.1\r\nHost: a\r\nX-Request-Id: " +
            std::string(Id) +
            "\r\nContent-Length: " + std::to_string(CallBody.size()) +
            "\r\n\r\n" + CallBody;
  std::string Got = exchange(Text + post("X-Request-Id: r3\r\n", CallBody));
  size_t First = Got.find(R"("result":"r1")");
  size_t Second = Got.find(R"("result":"r2")");
  size_t Third = Got.find(R"("result":"r3")");
  EXPECT_LT(First, Second);
  EXPECT_LT(Second, Third);
  EXPECT_NE(Third, std::string::npos);
}

} // namespace
} // namespace teaselwalk::callers
