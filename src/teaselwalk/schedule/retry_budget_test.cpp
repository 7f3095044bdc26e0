#include "teaselwalk/schedule/retry_budget.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::schedule {
namespace {

// Guards against a fourth attempt of a task.
TEST(RetryBudgetTest, AtMostThreeAttempts) {
  RetryBudget Budget;
  std::mt19937_64 Random(1);
  EXPECT_TRUE(Budget.tryRetry(TeamId("a"), 1, Random));
  EXPECT_TRUE(Budget.tryRetry(TeamId("a"), 2, Random));
  EXPECT_FALSE(Budget.tryRetry(TeamId("a"), 3, Random));
}

// Guards against retries that multiply the load when everything fails, and
// against one team using up another's budget.
TEST(RetryBudgetTest, TenPercentOfFirstAttemptsPlusInitialBalance) {
  RetryBudget Budget;
  std::mt19937_64 Random(1);
  int Granted = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.noteFirstAttempt(TeamId("a"));
    Granted += Budget.tryRetry(TeamId("a"), 1, Random) ? 1 : 0;
  }
  EXPECT_GE(Granted, 100);
  EXPECT_LE(Granted, 110);
  EXPECT_TRUE(Budget.tryRetry(TeamId("b"), 1, Random));
}

// Guards against clients that all retry at the same moment, and against delays
// that grow without a bound.
TEST(RetryBudgetTest, DelayDoublesWithJitter) {
  RetryOptions Options;
  Options.MaxAttempts = 100;
  Options.InitialBalance = 1000;
  RetryBudget Budget(Options);
  std::mt19937_64 Random(1);
  int64_t Full = 200;
  for (uint32_t Failed = 1; Failed < 40; ++Failed) {
    auto Delay = Budget.tryRetry(TeamId("a"), Failed, Random);
    ASSERT_TRUE(Delay);
    EXPECT_GE(Delay->count(), Full / 2);
    EXPECT_LE(Delay->count(), Full);
    Full = std::min<int64_t>(Full * 2, 5000);
  }
  EXPECT_NE(Budget.tryRetry(TeamId("a"), 40, Random),
            Budget.tryRetry(TeamId("a"), 40, Random));
}

} // namespace
} // namespace teaselwalk::schedule
