#include "scheduler_fixture.hpp"

namespace teaselwalk::schedule {
namespace {

using protocol::Refusal;

// Guards against placement that ignores a component of the capacity
// (invariant I1).
TEST_F(SchedulerTest, EveryComponentLimitsPlacement) {
  Resources Room{1000, 1000, 2, 4, 4};
  for (int64_t Resources::*Field : ResourceFields) {
    Scheduler One;
    One.setTeam(TeamId("blue"), {});
    One.setQueue(QueueId("batch"), TaskClass::Batch);
    One.setEndpoint({EndpointId("e"), DataCentreId("d"), RackId("r"), Room});
    Resources Size{0, 0, 0, 1, 0};
    Size.*Field = Room.*Field / 2 + 1;
    ASSERT_TRUE(One.admit(TaskId("a"), work("blue", Size), Now));
    ASSERT_TRUE(One.admit(TaskId("b"), work("blue", Size), Now));
    std::vector<Placement> Out;
    One.decide(Now, Out);
    EXPECT_EQ(Out.size(), 1U);
  }
}

// Guards against room that is given away although a running task uses more than
// it declared, and against a team charged less than the declared size.
TEST_F(SchedulerTest, UsageAboveDeclaredSizeTakesRoom) {
  endpoints(1);
  ASSERT_TRUE(S.admit(TaskId("a"), work("blue", {1000, 1000, 0, 1, 1}), Now));
  ASSERT_EQ(decide().size(), 1U);
  S.reportUsage(TaskId("a"), {60000, 500, 0, 0, 0});
  ASSERT_TRUE(S.admit(TaskId("b"), work("blue", {5000, 10, 0, 1, 1}), Now));
  EXPECT_TRUE(decide().empty());
  S.reportUsage(TaskId("a"), {10, 10, 0, 0, 0});
  EXPECT_EQ(S.team(TeamId("blue"))->Charged, (Resources{1000, 1000, 0, 1, 1}));
  EXPECT_EQ(decide().size(), 1U);
}

// Guards against work above a team's allowance, even if the endpoints have room
// (invariant I4).
TEST_F(SchedulerTest, BorrowingStopsAtAllowance) {
  endpoints(4);
  TeamSettings Limited;
  Limited.Allowance.MilliCpu = 10000;
  Limited.MaxRunningTasks = 3;
  S.setTeam(TeamId("blue"), Limited);
  for (const TaskId &Task : taskIds("small", 8))
    ASSERT_TRUE(S.admit(Task, work("blue", {1000, 10, 0, 1, 1}), Now));
  EXPECT_EQ(decide().size(), 3U);
  S.ended(TaskId("small/0"));
  S.ended(TaskId("small/1"));
  S.cancel(TaskId("small/7"));
  ASSERT_TRUE(S.admit(TaskId("big"), work("red", {9000, 10, 0, 1, 1}), Now));
  EXPECT_EQ(decide().size(), 3U);
}

// Guards against work that is queued although it can never run, and against
// queues without a bound: a team's full queue must not affect other teams.
TEST_F(SchedulerTest, RefusesWhatCanNeverRunAndFullQueues) {
  endpoints(2);
  Admission Large =
      S.admit(TaskId("a"), work("blue", {65000, 10, 0, 1, 1}), Now);
  EXPECT_EQ(Large.Reason, Refusal::TooLarge);
  EXPECT_NE(Large.Message.find("larger than any endpoint"), std::string::npos);
  EXPECT_EQ(
      S.admitGang(taskIds("g", 17), work("blue", {1, 1, 0, 1, 1}), Now).Reason,
      Refusal::TooLarge);
  TeamSettings Limited;
  Limited.FleetLimit.MemoryMb = 100;
  S.setTeam(TeamId("red"), Limited);
  EXPECT_EQ(S.admit(TaskId("a"), work("red", {1, 101, 0, 1, 1}), Now).Reason,
            Refusal::TooLarge);
  for (const TaskId &Task : taskIds("flood", 10000))
    ASSERT_TRUE(S.admit(Task, work("blue", {1, 1, 0, 1, 1}), Now));
  Admission Full = S.admit(TaskId("a"), work("blue", {1, 1, 0, 1, 1}), Now);
  EXPECT_EQ(Full.Reason, Refusal::Overloaded);
  EXPECT_GT(Full.RetryAfter, Duration(0));
  EXPECT_TRUE(S.admit(TaskId("a"), work("red", {1, 1, 0, 1, 1}), Now));
  EXPECT_EQ(S.admit(TaskId("a"), work("red", {1, 1, 0, 1, 1}), Now).Reason,
            Refusal::BadRequest);
}

// Guards against new work on endpoints that are leaving or unusable
// (invariant I9).
TEST_F(SchedulerTest, ClosedEndpointsReceiveNothing) {
  endpoints(2);
  S.setEndpoint({EndpointId("e0"), DataCentreId("d"), RackId("r0"),
                 EndpointCapacity, true, true});
  S.setEndpoint({EndpointId("e1"), DataCentreId("d"), RackId("r0"),
                 EndpointCapacity, false, false});
  ASSERT_TRUE(S.admit(TaskId("a"), work("blue", {1, 1, 0, 1, 1}), Now));
  EXPECT_TRUE(decide().empty());
  endpoints(1);
  ASSERT_EQ(decide().size(), 1U);
  EXPECT_EQ(S.endpointOf(TaskId("a")), EndpointId("e0"));
  EXPECT_EQ(S.removeEndpoint(EndpointId("e0")),
            std::vector<TaskId>{TaskId("a")});
  EXPECT_EQ(S.team(TeamId("blue"))->Running, 0);
}

// Guards against a task that runs twice: an endpoint reports it as running
// while it is queued here, as after a change of owner (invariant I2).
TEST_F(SchedulerTest, AdoptedTaskLeavesQueueAndCountsAboveAllowance) {
  endpoints(1);
  TeamSettings Limited;
  Limited.MaxRunningTasks = 0;
  S.setTeam(TeamId("blue"), Limited);
  ASSERT_TRUE(S.admit(TaskId("a"), work("blue", {1, 1, 0, 1, 1}), Now));
  AdoptedTask Found;
  Found.Task = TaskId("a");
  Found.Team = TeamId("blue");
  Found.Endpoint = EndpointId("e0");
  Found.Size = {1, 1, 0, 1, 1};
  EXPECT_TRUE(S.adopt(Found, Now));
  EXPECT_FALSE(S.adopt(Found, Now));
  EXPECT_FALSE(S.isQueued(TaskId("a")));
  EXPECT_EQ(S.team(TeamId("blue"))->Running, 1);
  std::vector<ReclaimStep> Steps = S.reclaim(Now);
  ASSERT_EQ(Steps.size(), 1U);
  EXPECT_EQ(Steps[0].Reason, ReclaimReason::Allowance);
}

// Guards against tasks that start after their deadline or stay queued.
TEST_F(SchedulerTest, ExpiredRequestsLeaveTheQueue) {
  endpoints(1);
  WorkSpec Spec = work("blue", {1, 1, 0, 1, 1}, 0, "call");
  Spec.Deadline = timeAt(100);
  ASSERT_TRUE(S.admit(TaskId("a"), Spec, Now));
  EXPECT_EQ(S.nextDeadline(), timeAt(100));
  Now = timeAt(100);
  EXPECT_TRUE(decide().empty());
  EXPECT_EQ(S.expire(Now), std::vector<TaskId>{TaskId("a")});
  EXPECT_FALSE(S.nextDeadline());
}

} // namespace
} // namespace teaselwalk::schedule
