#include "testing/owner_fixture.hpp"

namespace teaselwalk::cell::testing {
namespace {

/// Longest time until the owner has read a changed entry.
constexpr Duration RelistTime{800};

class OwnerCapacityTest : public OwnerTest {
protected:
  void setCapacity(const EndpointId &Id, Resources Capacity) {
    World.Cluster.Machines[Id].Info.Capacity = Capacity;
    World.listEndpoint(Id);
  }

  const EndpointId Only{"e0"};
  const Resources Full{8000, 8000, 0, 0, 0};
  const Resources Half{4000, 8000, 0, 0, 0};
};

// Guards against starts on an endpoint whose capacity has shrunk below what
// runs there.
TEST_F(OwnerCapacityTest, ShrunkCapacityHoldsForRunningTasks) {
  begin(1, 1);
  World.Cluster.DefaultWork.RunsUntilStopped = true;
  JobSpec First = World.job(1, {World.step(3, 2000)});
  JobSpec Second = World.job(2, {World.step(1, 1000)});
  submit(First);
  World.Clock.runFor(Duration(1000));
  setCapacity(Only, Half);
  World.Clock.runFor(RelistTime);
  submit(Second);
  World.Clock.runFor(Duration(3000));
  EXPECT_EQ(World.Cluster.StartsOf[taskOf(Second, 0, 0)], 0);
  setCapacity(Only, Full);
  World.Clock.runFor(Duration(1500));
  EXPECT_EQ(World.Cluster.StartsOf[taskOf(Second, 0, 0)], 1);
  EXPECT_EQ(World.violations(), "");
}

// Guards against a start whose room is taken by runs that are being stopped
// while the capacity has shrunk.
TEST_F(OwnerCapacityTest, StoppingTasksCountAgainstShrunkCapacity) {
  begin(1, 1);
  World.Cluster.DefaultWork.RunsUntilStopped = true;
  World.Cluster.StopTime = Duration(2000);
  JobSpec First = World.job(1, {World.step(3, 2000)});
  JobSpec Second = World.job(2, {World.step(1, 3000)});
  submit(First);
  World.Clock.runFor(Duration(1000));
  setCapacity(Only, Half);
  World.Clock.runFor(RelistTime);
  submit(Second);
  World.send(0, CallerAction::Cancel, First);
  World.Clock.runFor(Duration(1500));
  EXPECT_EQ(World.Cluster.StartsOf[taskOf(Second, 0, 0)], 0);
  World.Clock.runFor(Duration(1500));
  EXPECT_EQ(World.Cluster.StartsOf[taskOf(Second, 0, 0)], 1);
  EXPECT_EQ(World.violations(), "");
}

// Guards against requests for advice without end about an endpoint that has too
// little left of a resource which the step does not need.
TEST_F(OwnerCapacityTest, NoAdviceAboutAnEndpointWithoutAnyRoom) {
  for (int64_t Resources::*Shrunk :
       {&Resources::MemoryMb, &Resources::Accelerators}) {
    FakeWorld Fresh;
    Fresh.requireAdvice();
    Resources Before = {8000, 8000, 2, 0, 0};
    Fresh.addEndpoints(1, Before);
    Fresh.addProcesses(1);
    Fresh.Clock.runFor(SettleTime);
    Fresh.Cluster.DefaultWork.RunsUntilStopped = true;
    JobSpec First = Fresh.job(1, {Fresh.step(1, 2000)});
    First.Steps[0].Need.*Shrunk = 2;
    JobSpec Second = Fresh.job(2, {Fresh.step(1, 1000)});
    Second.Steps[0].Need.MemoryMb = 0;
    Fresh.send(0, CallerAction::Submit, First);
    Fresh.Clock.runFor(Duration(1000));
    ASSERT_EQ(Fresh.Cluster.Starts, 1);
    Fresh.Cluster.Machines[Only].Info.Capacity.*Shrunk = 1;
    Fresh.listEndpoint(Only);
    Fresh.Clock.runFor(RelistTime);
    size_t Requests = Fresh.Advisory.Requests.size();
    Fresh.send(0, CallerAction::Submit, Second);
    Fresh.Clock.runFor(Duration(10000));
    EXPECT_EQ(Fresh.Advisory.Requests.size(), Requests);
    EXPECT_EQ(Fresh.Cluster.Starts, 1);
    Fresh.Cluster.Machines[Only].Info.Capacity = Before;
    Fresh.listEndpoint(Only);
    Fresh.Clock.runFor(RelistTime + Duration(700));
    EXPECT_EQ(Fresh.Cluster.Starts, 2);
    EXPECT_EQ(Fresh.violations(), "");
  }
}

// Guards against a start that was assigned while there was room for it and is
// sent after the capacity has shrunk.
TEST_F(OwnerCapacityTest, AssignedStartsAreGivenBackIfTheCapacityShrinks) {
  begin(2, 1);
  World.Cluster.DefaultWork.RunsUntilStopped = true;
  JobSpec First = World.job(1, {World.step(2, 2000)});
  JobSpec Second = World.job(2, {World.step(2, 2000)});
  size_t Owner = World.ownerIndex();
  FakeProcess &OwnerProcess = *World.Processes[Owner];
  submit(First, 1 - Owner);
  World.Clock.runFor(Duration(1000));
  // The write of the assignment takes 1 s and more.
  OwnerProcess.Store.LoseAnswers = 4;
  submit(Second, 1 - Owner);
  ASSERT_EQ(OwnerProcess.Log.Events[EventName::StepPlaced], 2);
  setCapacity(Only, Half);
  World.Clock.runFor(Duration(4000));
  EXPECT_EQ(World.violations(), "");
  EXPECT_EQ(World.Cluster.StartsOf[taskOf(Second, 0, 0)], 0);
  setCapacity(Only, Full);
  World.Clock.runFor(Duration(1500));
  EXPECT_EQ(World.Cluster.StartsOf[taskOf(Second, 0, 0)], 1);
}

} // namespace
} // namespace teaselwalk::cell::testing
