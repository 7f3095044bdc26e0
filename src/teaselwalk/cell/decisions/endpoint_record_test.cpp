#include "teaselwalk/cell/decisions/endpoint_record.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <vector>

namespace teaselwalk::cell {
namespace {

const TimePoint Start{Duration(1000000)};
/// The usual load of an endpoint: a run every 100 ms.
constexpr Duration Interval{100};
constexpr double NoThreshold = 0;

EndpointRecord busyRecord(TimePoint Until) {
  EndpointRecord Record;
  for (TimePoint Now = Start; Now < Until; Now += Interval)
    Record.addSuccess(Now);
  return Record;
}

// Guards against work that is still sent to an endpoint that fails all tasks,
// as long as each success in between clears it.
TEST(EndpointRecordTest, AnEndpointThatFailsHalfOfItsTasksIsAvoided) {
  TimePoint Now = Start + Duration(10000);
  EndpointRecord Record = busyRecord(Now);
  double Threshold = avoidanceThreshold({}, NoThreshold);
  EXPECT_LT(Record.risk(Now), Threshold);
  for (int I = 0; I < 10; ++I, Now += Interval) {
    Record.addFailure(Now);
    Record.addSuccess(Now);
  }
  EXPECT_GT(Record.risk(Now), Threshold);
}

// Guards against a second start on an endpoint that has just not answered one.
TEST(EndpointRecordTest, OneUnansweredOrderIsEnough) {
  TimePoint Now = Start + Duration(10000);
  EndpointRecord Record;
  Record.addUnanswered(Now);
  EXPECT_GT(Record.risk(Now), avoidanceThreshold({}, NoThreshold));
}

// Guards against an endpoint that is avoided for ever after it works again,
// although it gets no tasks that could show it.
TEST(EndpointRecordTest, IsForgottenWithoutNewOrders) {
  EndpointRecord Record;
  Record.addUnanswered(Start);
  EXPECT_LT(Record.risk(Start + EndpointRecord::HalfLife * 5),
            avoidanceThreshold({}, NoThreshold));
}

// Guards against a clock that has gone back or a run time that is no number.
TEST(EndpointRecordTest, OddTimesChangeNothing) {
  EndpointRecord Record;
  Record.addFailure(Start);
  Record.addFailure(Start - Duration(5000));
  EXPECT_LE(Record.risk(Start), 1);
  Record.addRunTime(0);
  Record.addRunTime(-3);
  Record.addRunTime(std::numeric_limits<double>::quiet_NaN());
  EXPECT_EQ(Record.slowness(), 1);
}

// Guards against a service without endpoints when most of them fail tasks.
TEST(AvoidanceThresholdTest, AvoidsAtMostTheStatedShare) {
  std::vector<double> Risks(100, 0.5);
  for (size_t I = 0; I < Risks.size(); ++I)
    Risks[I] += static_cast<double>(I) / 1000;
  double Threshold = avoidanceThreshold(Risks, 0.2);
  int Avoided = 0;
  for (double Risk : Risks)
    Avoided += Risk > Threshold ? 1 : 0;
  EXPECT_LE(Avoided, 20);
  EXPECT_GE(Avoided, 19);
}

TEST(EndpointRecordTest, LearnsASpeedThatDiffers) {
  EndpointRecord Record;
  for (int I = 0; I < 40; ++I)
    Record.addRunTime(2);
  EXPECT_NEAR(Record.slowness(), 2, 0.05);
}

} // namespace
} // namespace teaselwalk::cell
