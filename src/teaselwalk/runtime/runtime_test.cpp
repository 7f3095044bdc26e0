#include "teaselwalk/runtime/bounded_ring.hpp"
#include "teaselwalk/runtime/log.hpp"
#include "teaselwalk/runtime/metrics.hpp"
#include "teaselwalk/runtime/thread_group.hpp"

#include "teaselwalk/base/error.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace teaselwalk::runtime {
namespace {

std::string contentOf(const std::string &File) {
  std::ostringstream Out;
  Out << std::ifstream(File).rdbuf();
  return Out.str();
}

// Guards against a shutdown that returns while a thread still runs.
TEST(ThreadGroupTest, StopAllJoinsInReverseOrder) {
  BoundedRing<int> First(4);
  BoundedRing<int> Second(4);
  std::string Order;
  ThreadGroup Threads;
  Threads.start("first", {[&] {
                            while (First.pop())
                              ;
                            Order += "1";
                          },
                          [&] { First.close(); }});
  Threads.start("second", {[&] {
                             while (Second.pop())
                               ;
                             Order += "2";
                           },
                           [&] { Second.close(); }});
  Threads.stopAll();
  EXPECT_EQ(Order, "21");
}

// Guards against an exception in one thread ending the process unseen.
TEST(ThreadGroupTest, FailureIsKept) {
  ThreadGroup Threads;
  Threads.start("broken", {[] { throw std::runtime_error("no disk"); }, {}});
  Threads.stopAll();
  EXPECT_EQ(Threads.failure(), "broken: no disk");
}

// Guards against events split over lines and lines lost at shutdown.
TEST(LogTest, WritesOneLinePerEvent) {
  std::string File = ::testing::TempDir() + "teaselwalk_log_test.log";
  std::remove(File.c_str());
  ThreadGroup Threads;
  {
    Log Output(Threads, {File, Level::Info, 16});
    logEvent(Level::Debug, EventName::TaskStarted, {});
    logEvent(Level::Warn, EventName::CallRefused,
             {{"request", "r1"}, {"error", "two\nlines \"x\""}, {"n", 3}});
  }
  logEvent(Level::Error, EventName::TaskFailed, {});
  std::string Text = contentOf(File);
  EXPECT_NE(Text.find("Z WARN call_refused request=r1 "
                      "error=\"two\\x0alines \\\"x\\\"\" n=3\n"),
            std::string::npos)
      << Text;
  EXPECT_EQ(std::count(Text.begin(), Text.end(), '\n'), 1);
  std::remove(File.c_str());
}

// Guards against a log file that cannot be written being accepted.
TEST(LogTest, UnwritableFileThrows) {
  ThreadGroup Threads;
  EXPECT_THROW(Log(Threads, {"/nonexistent/dir/log", Level::Info, 16}), Error);
}

// Guards against text that a Prometheus server cannot read.
TEST(MetricsTest, RendersPrometheusText) {
  Metrics Registry;
  Registry.counter("teaselwalk_calls_total", "Calls.", {{"verdict", "a\"b\n"}})
      .add(2);
  Registry.gauge("teaselwalk_queue_count", "Queued.").set(1.5);
  Registry.timing("teaselwalk_call_seconds", "Time.").record(0.25);
  EXPECT_EQ(Registry.render(),
            "# HELP teaselwalk_calls_total Calls.\n"
            "# TYPE teaselwalk_calls_total counter\n"
            "teaselwalk_calls_total{verdict=\"a\\\"b\\n\"} 2\n"
            "# HELP teaselwalk_queue_count Queued.\n"
            "# TYPE teaselwalk_queue_count gauge\n"
            "teaselwalk_queue_count 1.5\n"
            "# HELP teaselwalk_call_seconds Time.\n"
            "# TYPE teaselwalk_call_seconds summary\n"
            "teaselwalk_call_seconds_sum 0.25\n"
            "teaselwalk_call_seconds_count 1\n");
  EXPECT_THROW(Registry.counter("calls_total", ""), InvalidInput);
  EXPECT_THROW(Registry.counter("teaselwalk_calls", ""), InvalidInput);
}

// Guards against quantiles that do not follow the samples.
TEST(MetricsTest, QuantilesFollowTheSamples) {
  Timing Times;
  for (int I = 1; I <= 1000; ++I)
    Times.record(((I * 37) % 1000) / 1000.0);
  Timing::Summary Sum = Times.summary();
  ASSERT_EQ(Sum.Quantiles.size(), 3U);
  EXPECT_NEAR(Sum.Quantiles[0].second, 0.5, 0.05);
  EXPECT_NEAR(Sum.Quantiles[2].second, 0.99, 0.05);
}

} // namespace
} // namespace teaselwalk::runtime
