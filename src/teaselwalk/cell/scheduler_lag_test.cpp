#include "teaselwalk/cell/scheduler_lag.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell {
namespace {

// Guards against work that is put off because of a few late timers.
TEST(SchedulerLagTest, IsLongOnlyIfMostTimersAreLate) {
  SchedulerLag Lag;
  for (int I = 0; I < 200; ++I)
    Lag.record(Duration(I % 10 == 0 ? 100 : 0));
  EXPECT_FALSE(Lag.isLong());
  for (int I = 0; I < 200; ++I)
    Lag.record(Duration(100));
  EXPECT_TRUE(Lag.isLong());
}

// Guards against work that is put off long after a stall of the whole process.
TEST(SchedulerLagTest, AStallIsSoonForgotten) {
  SchedulerLag Lag;
  for (int I = 0; I < 100; ++I)
    Lag.record(Duration(5000));
  for (int I = 0; I < 50; ++I)
    Lag.record(Duration(0));
  EXPECT_FALSE(Lag.isLong());
}

} // namespace
} // namespace teaselwalk::cell
