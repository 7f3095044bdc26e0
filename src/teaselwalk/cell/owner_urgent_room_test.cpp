#include "testing/owner_fixture.hpp"

#include <algorithm>

namespace teaselwalk::cell::testing {
namespace {

constexpr int EndpointCount = 8;
constexpr int LargeTasks = 16; ///< They fill all endpoints.
constexpr Duration LargeTime{4000};
constexpr Duration UrgentTime{300};
/// From the submission of an urgent job to its end if it need not wait.
constexpr Duration UrgentLimit{1300};

/// A fleet that a large job fills, and an urgent queue.
class OwnerUrgentRoomTest : public OwnerTest {
protected:
  void fill(bool HasCheckpoints, const FeatureSet &Features) {
    World.Features = Features;
    Queue Urgent = World.Config.Queues.front();
    World.Config.Queues.front().Policy.Priority = 2;
    World.Config.Queues.front().Policy.Target = Duration(60000);
    Urgent.Name = "urgent";
    Urgent.PathPrefix = "/urgent/";
    Urgent.Policy.Priority = 0;
    World.Config.Queues.push_back(Urgent);
    World.Config.index();
    begin(1, EndpointCount);
    Large = World.job(1, {World.step(LargeTasks, 4000)});
    Large.Steps[0].Checkpoints = HasCheckpoints;
    for (int T = 0; T < LargeTasks; ++T)
      World.Cluster.Work[taskOf(Large, 0, T)] = {LargeTime, 0, false, false,
                                                 "saved"};
    submit(Large);
    World.Clock.runFor(Duration(1500));
    ASSERT_EQ(World.Cluster.Starts, LargeTasks);
    World.Cluster.DefaultWork.Length = UrgentTime;
    World.QueuePath = "/urgent/";
  }

  JobSpec submitUrgent(int Number, int Tasks) {
    JobSpec Job = World.job(Number, {World.step(Tasks, 2000)});
    Job.Steps[0].Estimate = UrgentTime;
    submit(Job);
    return Job;
  }

  int restarts() const {
    int Count = 0;
    for (int T = 0; T < LargeTasks; ++T)
      Count += World.Cluster.StartsOf.at(taskOf(Large, 0, T)) - 1;
    return Count;
  }

  static FeatureSet urgentRoom() { return FeatureSet::parse("urgent_room"); }

  JobSpec Large;
};

// Guards against urgent jobs that wait for the end of long tasks which could go
// on from a checkpoint later.
TEST_F(OwnerUrgentRoomTest, UrgentJobsGetRoomOnAFullFleet) {
  fill(true, urgentRoom());
  JobSpec Job = submitUrgent(2, 8);
  World.Clock.runFor(UrgentLimit);
  EXPECT_TRUE(World.Cluster.isDone(Job.Id, 0));
  World.Clock.runFor(LargeTime * 3);
  EXPECT_TRUE(World.Cluster.isDone(Large.Id, 0));
  EXPECT_GT(restarts(), 0);
  EXPECT_EQ(World.violations(), "");
}

// Guards against a deployment that did not ask for it and whose work is
// stopped.
TEST_F(OwnerUrgentRoomTest, NothingIsStoppedWithoutTheFeature) {
  fill(true, {});
  JobSpec Job = submitUrgent(2, 8);
  World.Clock.runFor(UrgentLimit);
  EXPECT_FALSE(World.Cluster.isDone(Job.Id, 0));
  World.Clock.runFor(LargeTime * 2);
  EXPECT_EQ(restarts(), 0);
}

// Guards against the loss of work that has no checkpoint.
TEST_F(OwnerUrgentRoomTest, TasksWithoutCheckpointsRunOn) {
  fill(false, urgentRoom());
  submitUrgent(2, 8);
  World.Clock.runFor(LargeTime * 2);
  EXPECT_EQ(restarts(), 0);
}

// Guards against a large job that is stopped again and again by a crowd that
// does not end.
TEST_F(OwnerUrgentRoomTest, LargeJobsEndDuringACrowd) {
  fill(true, urgentRoom());
  TimePoint Begin = World.Clock.now();
  for (int Number = 2; World.Clock.now() - Begin < LargeTime * 8; ++Number) {
    World.send(0, CallerAction::Submit, [&] {
      JobSpec Job = World.job(Number, {World.step(4, 2000)});
      Job.Steps[0].Estimate = UrgentTime;
      return Job;
    }());
    World.Clock.runFor(Duration(100));
  }
  World.Clock.runFor(LargeTime);
  EXPECT_TRUE(World.Cluster.isDone(Large.Id, 0));
  EXPECT_LE(restarts(), LargeTasks * 2);
  EXPECT_EQ(World.violations(), "");
}

// Guards against runs that a takeover starts twice while they are stopped for
// urgent work.
TEST_F(OwnerUrgentRoomTest, ATakeoverWhileRunsAreStopped) {
  World.addProcesses(1);
  fill(true, urgentRoom());
  World.Cluster.StopTime = Duration(900);
  JobSpec Job = submitUrgent(2, 8);
  World.Clock.runFor(Duration(100));
  size_t Owner = World.ownerIndex();
  World.kill(Owner);
  World.Clock.runFor(LargeTime * 5);
  EXPECT_TRUE(World.Cluster.isDone(Job.Id, 0));
  EXPECT_TRUE(World.Cluster.isDone(Large.Id, 0));
  EXPECT_EQ(World.violations(), "");
}

} // namespace
} // namespace teaselwalk::cell::testing
