#include "teaselwalk/cell/decisions/failure_domains.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell {
namespace {

// Guards against all jobs in one data centre, whose loss would stop them all.
TEST(DataCentreRoomTest, JobsSpreadOverTheDataCentres) {
  DataCentreRoom Room;
  std::map<std::string, int> Jobs;
  for (const char *Name : {"a", "b", "c"})
    Room.add(Name, 100000);
  for (int I = 0; I < 30; ++I) {
    std::string Home = Room.emptiest();
    Room.take(Home, 1000);
    ++Jobs[Home];
  }
  for (const char *Name : {"a", "b", "c"})
    EXPECT_EQ(Jobs[Name], 10) << Name;
}

TEST(DataCentreRoomTest, WithoutEndpointsThereIsNone) {
  DataCentreRoom Room;
  EXPECT_EQ(Room.emptiest(), "");
  EXPECT_FALSE(Room.isKnown("a"));
}

// Guards against long jobs that wait for room in one data centre although a
// cut would not make them late.
TEST(SpreadPenaltyTest, JobsWithTimeGoAnywhere) {
  EXPECT_GT(spreadPenalty(Duration(500)), 0);
  EXPECT_EQ(spreadPenalty(Duration(20000)), 0);
}

} // namespace
} // namespace teaselwalk::cell
