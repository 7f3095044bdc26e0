#include "http_peer_calls.hpp"

#include "teaselwalk/http/server.hpp"
#include "teaselwalk/runtime/thread_group.hpp"

#include <gtest/gtest.h>

#include <future>
#include <vector>

namespace teaselwalk::node {
namespace {

/// Room for two queries, of which one waits.
http::ClientOptions smallClient() {
  http::ClientOptions Options;
  Options.MaxConnectionsPerPeer = 1;
  Options.MaxWaitingPerPeer = 1;
  return Options;
}

/// A process that answers probes, but no queries of callers.
class HttpPeerCallsTest : public ::testing::Test {
protected:
  HttpPeerCallsTest() {
    start("core", Core);
    start("control-client", ControlSender);
    start("client", Sender);
    start("peer", Peer);
  }
  ~HttpPeerCallsTest() override { Threads.stopAll(); }

  template <typename Loop> void start(const char *Name, Loop &Body) {
    Threads.start(Name, {[&Body] { Body.run(); }, [&Body] { Body.stop(); }});
  }

  std::vector<http::Responder> Open; ///< Queries without an answer.
  runtime::ThreadGroup Threads;
  CoreLoop Core;
  http::Client ControlSender{{}};
  http::Client Sender{smallClient()};
  HttpPeerCalls Calls{ControlSender, Sender, Core};
  http::Server Peer{
      {}, [this](const http::Request &Message, const http::Responder &To) {
        if (http::pathOf(Message) == IdentifyPath)
          To.send({200, encode(cell::ProbeAnswer{"p#1", Duration(7)})});
        else
          Open.push_back(To);
      }};
};

// Guards against an owner that is suspected because the probe waits for a
// connection behind the queries of callers.
TEST_F(HttpPeerCallsTest, AProbeDoesNotWaitForQueriesOfCallers) {
  protocol::Address At{"127.0.0.1", Peer.port()};
  constexpr int Queries = 4;
  for (int I = 0; I < Queries; ++I)
    Calls.job(At, JobId("1"), [](const cell::JobQueryResult &) {});
  std::promise<std::optional<cell::ProbeAnswer>> Answered;
  Calls.identify(At, Duration(0), Duration(5000),
                 [&](const std::optional<cell::ProbeAnswer> &Answer) {
                   Answered.set_value(Answer);
                 });
  std::optional<cell::ProbeAnswer> Answer = Answered.get_future().get();
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->ProcessId, "p#1");
  EXPECT_EQ(Answer->StalledFor, Duration(7));
}

} // namespace
} // namespace teaselwalk::node
