#include "teaselwalk/cell/room_reservations.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell {
namespace {

const EndpointId First("e1");
const EndpointId Second("e2");
const StepKey Step{JobId("a"), 0, 0};
const StepKey Other{JobId("b"), 0, 0};
constexpr Resources Need{2000, 100, 0, 0, 0};

class RoomReservationsTest : public ::testing::Test {
protected:
  RoomReservationsTest() {
    Table.set(Step, Need, {{First, 2}, {Second, 1}}, timeAt(1000));
  }

  int64_t keptCpu(const StepKey &From, const EndpointId &Endpoint) const {
    return Table.keptFrom(From, Endpoint).MilliCpu;
  }

  RoomReservations Table;
};

TEST_F(RoomReservationsTest, RoomIsKeptFromOthersOnly) {
  EXPECT_EQ(keptCpu(Other, First), 4000);
  EXPECT_EQ(keptCpu(Other, Second), 2000);
  EXPECT_EQ(keptCpu(Step, First), 0);
  Table.set(Other, Need, {{First, 1}}, timeAt(1000));
  EXPECT_EQ(keptCpu(Step, First), 2000);
  EXPECT_EQ(keptCpu(Other, First), 4000);
}

// Guards against room that stays reserved after the task runs.
TEST_F(RoomReservationsTest, APlacedTaskGivesItsRoomBack) {
  EXPECT_EQ(Table.onPlaced(Step, First, 2).size(), 1U);
  EXPECT_EQ(keptCpu(Other, First), 2000);
  // Nothing was reserved where the task was placed.
  EXPECT_EQ(Table.onPlaced(Step, EndpointId("e3"), 1).size(), 1U);
  EXPECT_EQ(Table.tasksOf(Step), 1);
  Table.onPlaced(Step, First, 0);
  EXPECT_TRUE(Table.isEmpty());
  EXPECT_EQ(keptCpu(Other, First), 0);
  EXPECT_EQ(keptCpu(Other, Second), 0);
}

TEST_F(RoomReservationsTest, ReservationsEnd) {
  EXPECT_TRUE(Table.removeEnded(timeAt(999)).empty());
  EXPECT_EQ(Table.removeEnded(timeAt(1000)).size(), 2U);
  EXPECT_TRUE(Table.isEmpty());
}

} // namespace
} // namespace teaselwalk::cell
