#include "command_rows.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/http/server.hpp"
#include "teaselwalk/runtime/timeline.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace teaselwalk::cli {
namespace {

/// Serves a timeline in pages of two events.
class TimelineServer {
public:
  explicit TimelineServer(const std::string &Process)
      : Buffer(ProcessId(Process), 100),
        Server({}, [this](const http::Request &R, const http::Responder &To) {
          uint64_t After = std::stoull(http::queryOf(R, "after").value_or("0"));
          nlohmann::json Body = {{"events", Buffer.after(After, 2)}};
          To.send({200, Body.dump()});
        }) {
    Thread = std::thread([this] { Server.run(); });
  }

  ~TimelineServer() {
    Server.stop();
    Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server.port());
  }

  runtime::TimelineBuffer Buffer;

private:
  http::Server Server;
  std::thread Thread;
};

struct Printed {
  int Code = ExitOk;
  std::string Out;
  std::string Error;
};

Printed runTimeline(std::vector<std::string> Words) {
  Words.insert(Words.begin(), "timeline");
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  Printed Got;
  Got.Code = TimelineCommand.Run(
      docopt::docopt_parse(TimelineCommand.Usage, Words, true, true));
  Got.Out = testing::internal::GetCapturedStdout();
  Got.Error = testing::internal::GetCapturedStderr();
  return Got;
}

// Guards against pages that are not fetched, a wrong order over processes, and
// an unreachable process that hides the events of the others.
TEST(TimelineCommandTest, MergesProcessesAndNamesUnreachableOnes) {
  using runtime::EventName;
  std::string Closed = TimelineServer("c").address();
  TimelineServer A("a");
  TimelineServer B("b");
  A.Buffer.add(EventName::CallReceived, {{"request", "r 1"}}, 1);
  A.Buffer.add(EventName::CallForwarded, {{"request", "r 1"}}, 2);
  B.Buffer.add(EventName::CallReceived, {{"request", "r 1"}}, 3);
  A.Buffer.add(EventName::CallReceived, {{"request", "r2"}}, 4);
  Printed All = runTimeline(
      {"--server", B.address(), "--server", A.address(), "--server", Closed});
  EXPECT_EQ(All.Code, ExitFailure);
  EXPECT_EQ(All.Error, "no events from " + Closed + ": no answer\n");
  EXPECT_EQ(All.Out,
            "1970-01-01T00:00:00.001Z process=a number=1 event=call_received "
            "request=\"r 1\"\n"
            "1970-01-01T00:00:00.002Z process=a number=2 event=call_forwarded "
            "request=\"r 1\"\n"
            "1970-01-01T00:00:00.003Z process=b number=1 event=call_received "
            "request=\"r 1\"\n"
            "1970-01-01T00:00:00.004Z process=a number=3 event=call_received "
            "request=r2\n");
  Printed One =
      runTimeline({"--server", A.address(), "--after", "2", "--request", "r2"});
  EXPECT_EQ(One.Code, ExitOk);
  EXPECT_EQ(One.Out, "1970-01-01T00:00:00.004Z process=a number=3 "
                     "event=call_received request=r2\n");
}

// Guards against a mistyped number that is read as 0.
TEST(TimelineCommandTest, BadNumberIsRefused) {
  Arguments Args = docopt::docopt_parse(
      TimelineCommand.Usage, {"timeline", "--server=127.0.0.1:1", "--after=x"});
  EXPECT_THROW(TimelineCommand.Run(Args), InvalidInput);
}

} // namespace
} // namespace teaselwalk::cli
