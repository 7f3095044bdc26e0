#include "teaselwalk/http/client.hpp"
#include "teaselwalk/http/server.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace teaselwalk::http {
namespace {

/// A client that sends raw text and may stop half-way.
class RawClient {
public:
  explicit RawClient(uint16_t Port)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
    IsOpen = ::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                       sizeof Address) == 0;
  }
  ~RawClient() { ::close(Socket); }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  void send(const std::string &Text) const {
    ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
  }
  /// All that the server sends until it closes the connection.
  std::string readToEnd() const {
    std::string Text;
    char Bytes[1024];
    for (ssize_t Got = 0; (Got = ::recv(Socket, Bytes, sizeof Bytes, 0)) > 0;)
      Text.append(Bytes, static_cast<size_t>(Got));
    return Text;
  }

  bool IsOpen = false;

private:
  const int Socket;
};

class ServerLimitsTest : public ::testing::Test {
protected:
  void start(ServerOptions Options) {
    Options.OnRejected = [this](Rejection Why, const std::string &) {
      ++Rejected[static_cast<size_t>(Why)];
    };
    Running = std::make_unique<Server>(
        std::move(Options),
        [](const Request &, const Responder &Answer) { Answer.send({}); });
    Thread = std::thread([this] { Running->run(); });
  }
  void TearDown() override {
    Running->stop();
    Thread.join();
  }

  int rejected(Rejection Why) const {
    return Rejected[static_cast<size_t>(Why)];
  }
  Result send(const Request &Message) {
    return sendAndWait({"127.0.0.1", Running->port()}, Message, Duration(5000));
  }

  std::array<std::atomic<int>, RejectionNames.size()> Rejected{};
  std::unique_ptr<Server> Running;
  std::thread Thread;
};

std::string unfinished(size_t Bytes) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Bytes) + "\r\n\r\n" + std::string(Bytes - 1, 'x');
}

// Guards against bodies that hold all memory without an end: the oldest
// unfinished request makes room for others.
TEST_F(ServerLimitsTest, UnfinishedBodiesGiveWay) {
  ServerOptions Options;
  Options.Budget = std::make_shared<ByteBudget>(300000);
  start(Options);
  RawClient First(Running->port());
  First.send(unfinished(200000));
  RawClient Second(Running->port());
  Second.send(unfinished(200000));
  EXPECT_EQ(First.readToEnd(), "");
  EXPECT_EQ(rejected(Rejection::Evicted), 1);
  EXPECT_EQ(send({"POST", "/", "body"}).Message.Status, 200);
}

// Guards against a budget that is never given back.
TEST_F(ServerLimitsTest, AnsweredRequestsHoldNothing) {
  ServerOptions Options;
  Options.Budget = std::make_shared<ByteBudget>(100000);
  start(Options);
  for (int I = 0; I < 50; ++I)
    ASSERT_EQ(send({"POST", "/", std::string(10000, 'x')}).Message.Status, 200);
  EXPECT_EQ(rejected(Rejection::BudgetExceeded), 0);
}

// Guards against a request that is larger than all that the server may hold.
TEST_F(ServerLimitsTest, ARequestBeyondTheBudgetIsRefusedAsNotRun) {
  ServerOptions Options;
  Options.Budget = std::make_shared<ByteBudget>(50000);
  start(Options);
  RawClient Large(Running->port());
  Large.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
  std::string Answer = Large.readToEnd();
  EXPECT_NE(Answer.find("503"), std::string::npos) << Answer;
  EXPECT_NE(Answer.find("not_run"), std::string::npos) << Answer;
  EXPECT_NE(Answer.find("Retry-After"), std::string::npos) << Answer;
}

// Guards against connections without requests that keep out all others.
TEST_F(ServerLimitsTest, UnfinishedConnectionsGiveWay) {
  ServerOptions Options;
  Options.MaxConnections = 3;
  start(Options);
  std::array<std::unique_ptr<RawClient>, 8> Silent;
  for (std::unique_ptr<RawClient> &Each : Silent)
    Each = std::make_unique<RawClient>(Running->port());
  EXPECT_EQ(send({"POST", "/", "body"}).Message.Status, 200);
  EXPECT_GE(rejected(Rejection::Evicted), 5);
}

// Guards against one address that takes all connections.
TEST_F(ServerLimitsTest, OneAddressHasALimitOfItsOwn) {
  ServerOptions Options;
  Options.MaxConnectionsPerAddress = 2;
  start(Options);
  RawClient First(Running->port());
  RawClient Second(Running->port());
  RawClient Third(Running->port());
  EXPECT_EQ(First.readToEnd(), "");
  EXPECT_EQ(rejected(Rejection::Evicted), 1);
}

// Guards against headers that take many times their size in memory.
TEST_F(ServerLimitsTest, ManyShortFieldsAreRefused) {
  start({});
  std::string Text = "GET / HTTP/1.1\r\nHost: a\r\n";
  for (int I = 0; I < 1000; ++I)
    Text += "a:b\r\n";
  RawClient Client(Running->port());
  Client.send(Text + "\r\n");
  EXPECT_NE(Client.readToEnd().find("431"), std::string::npos);
  EXPECT_EQ(rejected(Rejection::TooManyFields), 1);
}

// Guards against reading a large body that is refused in any case.
TEST_F(ServerLimitsTest, ALargeBodyIsRefusedByItsHead) {
  ServerOptions Options;
  Options.CheckHead = [](const Request &Head) -> std::optional<Response> {
    if (Head.Target == "/known")
      return std::nullopt;
    return Response{404, "{}"};
  };
  start(Options);
  RawClient Unknown(Running->port());
  Unknown.send("POST /other HTTP/1.1\r\nHost: a\r\nContent-Length: "
               "100000\r\n\r\n");
  EXPECT_NE(Unknown.readToEnd().find("404"), std::string::npos);
  EXPECT_EQ(send({"POST", "/known", std::string(100000, 'x')}).Message.Status,
            200);
  EXPECT_EQ(send({"POST", "/other", "small"}).Message.Status, 200);
}

} // namespace
} // namespace teaselwalk::http
