#include "teaselwalk/cell/crash_suspects.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell::testing {
namespace {

constexpr int64_t CrashMs = 20000;

TimePoint timeAt(int64_t Ms) { return TimePoint(Duration(Ms)); }

/// The crash of an endpoint that last answered 300 ms before it and did not
/// answer a call 200 ms after it.
CrashTime crashAt(int64_t Ms) { return {timeAt(Ms - 300), timeAt(Ms + 200)}; }

RunAtCrash runStartedAt(int64_t Ms, int32_t Index = 0) {
  return {{JobId("a"), 0, 0, Index}, 1, timeAt(Ms)};
}

// Guards against runs that are suspected although they had run for a while, or
// were started after the crash.
TEST(CrashSuspectsTest, SuspectsOnlyRunsThatHadJustBeenStarted) {
  std::vector<RunAtCrash> Suspects = suspectsOf(
      crashAt(CrashMs),
      {runStartedAt(CrashMs - 5000, 0), runStartedAt(CrashMs - 701, 1),
       runStartedAt(CrashMs - 400, 2), runStartedAt(CrashMs, 3),
       runStartedAt(CrashMs + 201, 4)});
  ASSERT_EQ(Suspects.size(), 2U);
  EXPECT_EQ(Suspects[0].Task.Index, 2);
  EXPECT_EQ(Suspects[1].Task.Index, 3);
}

// Guards against a start by a former owner that is never suspected.
TEST(CrashSuspectsTest, SuspectsRunsOfUnknownAge) {
  RunAtCrash Run = runStartedAt(0);
  Run.IsStartKnown = false;
  EXPECT_EQ(suspectsOf(crashAt(CrashMs), {Run}).size(), 1U);
}

// Guards against a task that is blamed for a power failure: an endpoint on
// which nothing had been started is lost at the same time.
TEST(CrashSuspectsTest, LossesWithoutSuspectsShowACommonCause) {
  EndpointId Id("a");
  LostEndpoints Lost;
  Lost.add(Id, crashAt(CrashMs), true);
  EXPECT_FALSE(Lost.haveCommonCause(Id, crashAt(CrashMs)));
  Lost.add(EndpointId("b"), crashAt(CrashMs + 1000), false);
  EXPECT_FALSE(Lost.haveCommonCause(Id, crashAt(CrashMs)));
  Lost.add(EndpointId("c"), crashAt(CrashMs + 400), false);
  EXPECT_TRUE(Lost.haveCommonCause(Id, crashAt(CrashMs)));
  Lost.remove(EndpointId("c"));
  EXPECT_FALSE(Lost.haveCommonCause(Id, crashAt(CrashMs)));
}

// The same if tasks had been started on each of the endpoints. A
// single one may be crashed by a task of its own.
TEST(CrashSuspectsTest, ManyLossesShowACommonCause) {
  EndpointId Id("a");
  LostEndpoints Lost;
  Lost.add(Id, crashAt(CrashMs), true);
  Lost.add(EndpointId("b"), crashAt(CrashMs), true);
  EXPECT_FALSE(Lost.haveCommonCause(Id, crashAt(CrashMs)));
  Lost.add(EndpointId("c"), crashAt(CrashMs), true);
  EXPECT_TRUE(Lost.haveCommonCause(Id, crashAt(CrashMs)));
}

} // namespace
} // namespace teaselwalk::cell::testing
