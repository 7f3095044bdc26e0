#include "teaselwalk/cell/decisions/urgent_room.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace teaselwalk::cell {
namespace {

constexpr Resources Urgent{9000, 9000, 0, 0, 0};
constexpr Resources Large{18000, 18000, 0, 0, 0};
constexpr size_t NoLimit = 1000;
const TimePoint Start{Duration(1000000)};

PreemptibleRun run(size_t Number, PreemptionCost Cost, int SlackMs) {
  return {Number, Large, Cost, Duration(SlackMs)};
}

/// A fleet without free room on which each endpoint has one large run.
std::vector<PreemptibleEndpoint> fullFleet(size_t Endpoints) {
  std::vector<PreemptibleEndpoint> Rooms(Endpoints);
  for (size_t I = 0; I < Endpoints; ++I)
    Rooms[I].Runs = {run(I, PreemptionCost::InTime, 5000)};
  return Rooms;
}

// Guards against urgent work that waits for long tasks to end.
TEST(UrgentRoomTest, StopsAsManyRunsAsAreNeeded) {
  EXPECT_EQ(choosePreemptions(6, Urgent, fullFleet(10), NoLimit).size(), 3U);
  EXPECT_EQ(choosePreemptions(100, Urgent, fullFleet(10), NoLimit).size(), 10U);
  EXPECT_EQ(choosePreemptions(100, Urgent, fullFleet(10), 4).size(), 4U);
}

// Guards against stops although there is room, or will be.
TEST(UrgentRoomTest, StopsNothingIfThereIsRoom) {
  std::vector<PreemptibleEndpoint> Rooms = fullFleet(10);
  for (PreemptibleEndpoint &Each : Rooms)
    Each.Free = Urgent;
  EXPECT_TRUE(choosePreemptions(10, Urgent, Rooms, NoLimit).empty());
}

// Guards against work that is thrown behind without a place gained.
TEST(UrgentRoomTest, LeavesRunsAloneWhoseEndMakesNoPlace) {
  std::vector<PreemptibleEndpoint> Rooms(1);
  Rooms[0].Runs = {run(0, PreemptionCost::NotEntitled, 0)};
  Resources Wide = Large + Urgent;
  EXPECT_TRUE(choosePreemptions(1, Wide, Rooms, NoLimit).empty());
}

// Guards against jobs that become late although others lose nothing by a stop.
TEST(UrgentRoomTest, StopsFirstWhatCostsTheLeast) {
  std::vector<PreemptibleEndpoint> Rooms(4);
  Rooms[0].Runs = {run(0, PreemptionCost::InTime, 9000)};
  Rooms[1].Runs = {run(1, PreemptionCost::InTime, 3000)};
  Rooms[2].Runs = {run(2, PreemptionCost::Late, 0)};
  Rooms[3].Runs = {run(3, PreemptionCost::NotEntitled, 0)};
  EXPECT_EQ(choosePreemptions(7, Urgent, Rooms, NoLimit),
            (std::vector<size_t>{3, 2, 0, 1}));
}

TEST(UrgentRoomTest, ArrivalsAreExpectedToGoOn) {
  UrgentArrivals Arrivals;
  TimePoint Now = Start;
  for (int I = 0; I < 100; ++I, Now += Duration(20))
    Arrivals.add(2, Now);
  EXPECT_NEAR(Arrivals.expected(Duration(1000), Now), 100, 10);
  EXPECT_LT(Arrivals.expected(Duration(1000), Now + Duration(3000)), 1);
}

// Guards against large jobs that wait as long as urgent ones come.
TEST(UrgentRoomTest, HoldsBackForABoundedTimeOnly) {
  EXPECT_TRUE(mayHoldBack(Duration(5000), Duration(0)));
  EXPECT_FALSE(mayHoldBack(Duration(1000), Duration(0)));
  EXPECT_TRUE(mayHoldBack(Duration(-1), Duration(0)));
  EXPECT_FALSE(mayHoldBack(Duration(60000), Duration(60000)));
}

// Guards against a division by the number of tasks when none waits.
TEST(UrgentDemandTest, IsEmptyAtFirst) {
  UrgentDemand Demand;
  EXPECT_EQ(Demand.need(), Resources());
  Demand.add(Urgent, 10);
  EXPECT_EQ(Demand.need(), Urgent);
  EXPECT_EQ(Demand.tasks(), 10);
}

} // namespace
} // namespace teaselwalk::cell
