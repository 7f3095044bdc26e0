#include "teaselwalk/http/server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace teaselwalk::http {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr const char *Get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A client that keeps its connection open.
class RawClient {
public:
  explicit RawClient(uint16_t Port) : Socket(Context) {
    Socket.connect({asio::ip::address_v4::loopback(), Port});
  }
  void write(const std::string &Text) {
    asio::write(Socket, asio::buffer(Text));
  }
  /// What arrives until the connection ends.
  std::string readAll() {
    std::string Text;
    boost::system::error_code End;
    asio::read(Socket, asio::dynamic_buffer(Text), End);
    return Text;
  }
  void close() { Socket.close(); }

private:
  asio::io_context Context;
  Tcp::socket Socket;
};

/// A server whose handler keeps the requests until the test answers them.
class ServerDrainTest : public ::testing::Test {
protected:
  ServerDrainTest()
      : Running({}, [this](const Request &, Responder To) {
          Held.push_back(std::move(To));
          std::exchange(Arrived, {}).set_value();
        }) {}

  void SetUp() override {
    Thread = std::thread([this] {
      Running.run();
      HasEnded.set_value();
    });
  }
  void TearDown() override {
    Held.clear();
    Running.stop();
    Thread.join();
  }

  /// Sends a request and returns once the handler has it.
  std::unique_ptr<RawClient> begin() {
    std::future<void> HasArrived = Arrived.get_future();
    auto From = std::make_unique<RawClient>(Running.port());
    From->write(Get);
    HasArrived.get();
    return From;
  }

  void waitForConnections(size_t Count) const {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (Running.connections() != Count &&
           std::chrono::steady_clock::now() < End)
      std::this_thread::yield();
    EXPECT_EQ(Running.connections(), Count);
  }

  std::promise<void> HasEnded; ///< `run` has returned.
  std::promise<void> Arrived;
  std::vector<Responder> Held;
  Server Running;
  std::thread Thread;
};

// Guards against a server whose thread ends while the only open requests are
// with the handler, so that their answers are never sent.
TEST_F(ServerDrainTest, AnswersWhatItHasReadAfterItStopsAccepting) {
  std::unique_ptr<RawClient> From = begin();
  RawClient Idle(Running.port());
  waitForConnections(2);
  Running.stopAccepting();
  Running.closeIdle();
  EXPECT_EQ(Idle.readAll(), "") << "the server has handled both calls";
  ASSERT_EQ(HasEnded.get_future().wait_for(std::chrono::milliseconds(200)),
            std::future_status::timeout);
  EXPECT_EQ(Running.pending(), 1U);
  Held.front().send({200, "late"});
  EXPECT_NE(From->readAll().find("late"), std::string::npos);
  EXPECT_EQ(Running.pending(), 0U);
}

// Guards against an exit that waits for clients which send nothing, and
// against closing the connection of a request that is being handled.
TEST_F(ServerDrainTest, OnlyIdleConnectionsAreClosed) {
  RawClient Idle(Running.port());
  RawClient Slow(Running.port());
  Slow.write("GET / HTTP/1.1\r\nHo");
  std::unique_ptr<RawClient> Busy = begin();
  waitForConnections(3);
  Running.stopAccepting();
  Running.closeIdle();
  EXPECT_EQ(Idle.readAll(), "");
  waitForConnections(2);
  Held.front().send({200, "busy"});
  EXPECT_NE(Busy->readAll().find("busy"), std::string::npos);
  std::future<void> HasArrived = Arrived.get_future();
  Slow.write("st: h\r\n\r\n");
  HasArrived.get();
  Held.back().send({200, "slow"});
  EXPECT_NE(Slow.readAll().find("Connection: close"), std::string::npos);
  waitForConnections(0);
}

// Guards against a drain that never ends because a client has gone away while
// its request was handled.
TEST_F(ServerDrainTest, AClientThatHasGoneOwesNothing) {
  std::unique_ptr<RawClient> From = begin();
  Running.stopAccepting();
  From->close();
  Held.front().send({200, std::string(1 << 20, 'x')});
  waitForConnections(0);
  EXPECT_EQ(Running.pending(), 0U);
}

} // namespace
} // namespace teaselwalk::http
