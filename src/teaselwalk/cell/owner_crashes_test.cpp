#include "testing/owner_fixture.hpp"

namespace teaselwalk::cell::testing {
namespace {

/// How long a crashed endpoint is away.
constexpr Duration RestartTime{2500};

class OwnerCrashesTest : public OwnerTest,
                         public ::testing::WithParamInterface<bool> {
protected:
  /// Starts a world in which crashed endpoints keep their id or come back under
  /// a new one.
  void beginWithRestarts(int Processes, int Endpoints, bool KeepsId) {
    World.Config.Teams.front().Weight = 100;
    World.Config.index();
    World.restartCrashedEndpoints(RestartTime, KeepsId);
    begin(Processes, Endpoints);
  }

  TaskKey deadlyTask(const JobSpec &Job, int Step = 0, int Index = 0) {
    TaskKey Key = taskOf(Job, Step, Index);
    World.Cluster.Work[Key].CrashesEndpoint = true;
    return Key;
  }

  /// Endpoints that run a task of \p Job.
  std::vector<EndpointId> endpointsOf(const JobSpec &Job) {
    std::vector<EndpointId> Result;
    for (auto &[Id, Machine] : World.Cluster.Machines)
      for (auto &[Key, Run] : Machine.Running)
        if (Key.Job == Job.Id && (Result.empty() || Result.back() != Id))
          Result.push_back(Id);
    return Result;
  }

  /// A new id proves nothing about the former endpoint, so its silence decides.
  Duration timeToGiveUp() const {
    return GetParam() ? Duration(30000) : Duration(30000) + LongestSilence;
  }

  void crash(const EndpointId &Id) {
    World.Cluster.crash(Id);
    World.Cluster.OnCrash(Id);
  }
};

// Guards against a task that crashes one endpoint after the other without end
// (BUDGET on kadrownia-pull with the day deadly: six starts and more), and
// against the failure of jobs that ran beside it.
TEST_P(OwnerCrashesTest, GivesUpATaskThatCrashesItsEndpoints) {
  beginWithRestarts(2, 6, GetParam());
  JobSpec Neighbour = World.job(1, {World.step(12)});
  JobSpec Deadly = World.job(2, {World.step(4)});
  TaskKey Key = deadlyTask(Deadly, 0, 1);
  World.send(0, CallerAction::Submit, Neighbour);
  submit(Deadly);
  World.Clock.runFor(timeToGiveUp());
  EXPECT_EQ(World.Cluster.StartsOf[Key], 3);
  expectState(Deadly, JobPhase::Failed);
  expectState(Neighbour, JobPhase::Completed);
}

// Guards against a gang that waits for ever because each of its members has
// lost its endpoint once and asks for an endpoint of its own.
TEST_P(OwnerCrashesTest, AGangThatHasLostItsEndpointsStartsAgain) {
  World.requireAdvice();
  World.Cluster.DefaultWork.Length = Duration(4000);
  beginWithRestarts(2, 4, GetParam());
  JobSpec Gang = World.job(1, {World.step(12, 1500)});
  Gang.Steps[0].Gang = true;
  submit(Gang);
  World.Clock.runFor(Duration(100));
  ASSERT_EQ(World.Cluster.Starts, 12);
  for (const EndpointId &Id : endpointsOf(Gang))
    crash(Id);
  World.Clock.runFor(Duration(30000));
  expectState(Gang, JobPhase::Completed);
}

// Guards against a count of crashes that is lost when the owner changes.
TEST_P(OwnerCrashesTest, CountsCrashesAcrossTakeovers) {
  beginWithRestarts(3, 6, GetParam());
  JobSpec Deadly = World.job(1, {World.step(1)});
  TaskKey Key = deadlyTask(Deadly);
  auto Restart = World.Cluster.OnCrash;
  World.Cluster.OnCrash = [this, Restart](const EndpointId &Id) {
    Restart(Id);
    size_t Owner = World.ownerIndex();
    if (Owner == World.Processes.size())
      return;
    World.kill(Owner);
    World.Clock.after(Duration(4000), [this, Owner] { World.restart(Owner); });
  };
  submit(Deadly);
  World.Clock.runFor(Duration(90000));
  EXPECT_LE(World.Cluster.StartsOf[Key], 4);
  expectState(Deadly, JobPhase::Failed);
}

// Guards against a service that crashes its endpoints without end. Failed runs
// of services are not limited.
TEST_P(OwnerCrashesTest, GivesUpAServiceThatCrashesItsEndpoints) {
  beginWithRestarts(2, 6, GetParam());
  JobSpec Deadly = World.job(1, {World.step(2)});
  Deadly.Steps[0].Service = true;
  TaskKey Key = deadlyTask(Deadly);
  World.Cluster.Work[taskOf(Deadly, 0, 1)].RunsUntilStopped = true;
  submit(Deadly);
  World.Clock.runFor(timeToGiveUp());
  EXPECT_EQ(World.Cluster.StartsOf[Key], 3);
  expectState(Deadly, JobPhase::Failed);
}

// Guards against a gang whose member crashes its endpoints without end.
TEST_P(OwnerCrashesTest, GivesUpAGangWithATaskThatCrashesItsEndpoints) {
  beginWithRestarts(2, 6, GetParam());
  JobSpec Deadly = World.job(1, {World.step(4, 3000)});
  Deadly.Steps[0].Gang = true;
  World.Cluster.DefaultWork.RunsUntilStopped = true;
  TaskKey Key = deadlyTask(Deadly, 0, 2);
  submit(Deadly);
  World.Clock.runFor(timeToGiveUp());
  EXPECT_EQ(World.Cluster.StartsOf[Key], 3);
  expectState(Deadly, JobPhase::Failed);
}

// Guards against a task that cannot be told from another one because both
// always start together on the same endpoint.
TEST_P(OwnerCrashesTest, SeparatesTasksThatStartTogether) {
  beginWithRestarts(1, 1, GetParam());
  JobSpec Deadly = World.job(1, {World.step(1)});
  JobSpec First = World.job(2, {World.step(3)});
  JobSpec Second = World.job(3, {World.step(3)});
  deadlyTask(Deadly);
  World.send(0, CallerAction::Submit, First);
  World.send(0, CallerAction::Submit, Deadly);
  World.send(0, CallerAction::Submit, Second);
  World.Clock.runFor(timeToGiveUp() + Duration(10000));
  expectState(Deadly, JobPhase::Failed);
  expectState(First, JobPhase::Completed);
  expectState(Second, JobPhase::Completed);
}

// Guards against the failure of jobs whose endpoints lose power together, again
// and again, right after the start of their tasks.
TEST_P(OwnerCrashesTest, PowerFailuresDoNotCountAgainstTasks) {
  beginWithRestarts(2, 8, GetParam());
  World.Cluster.DefaultWork.Length = Duration(3000);
  JobSpec Job = World.job(1, {World.step(6, 4000)});
  submit(Job);
  for (int Failure = 0; Failure < 3; ++Failure) {
    for (int I = 0; I < 2000 && endpointsOf(Job).empty(); ++I)
      World.Clock.runFor(Duration(10));
    World.Clock.runFor(Duration(20));
    std::vector<EndpointId> Used = endpointsOf(Job);
    ASSERT_FALSE(Used.empty());
    std::vector<EndpointId> Idle;
    for (auto &[Id, Machine] : World.Cluster.Machines)
      if (Machine.IsUp && Machine.Running.empty() && Idle.size() < 2)
        Idle.push_back(Id);
    for (const EndpointId &Id : Used)
      crash(Id);
    for (const EndpointId &Id : Idle)
      crash(Id);
    World.Clock.runFor(Duration(1000));
  }
  World.Clock.runFor(Duration(30000));
  expectState(Job, JobPhase::Completed);
}

// Guards against the failure of a service whose endpoints crash one after the
// other, long after its start.
TEST_P(OwnerCrashesTest, CrashesLongAfterTheStartDoNotCount) {
  beginWithRestarts(1, 4, GetParam());
  World.Cluster.DefaultWork.RunsUntilStopped = true;
  JobSpec Job = World.job(1, {World.step(1)});
  Job.Steps[0].Service = true;
  submit(Job);
  for (int Crash = 0; Crash < 4; ++Crash) {
    World.Clock.runFor(Duration(15000));
    std::vector<EndpointId> Used = endpointsOf(Job);
    ASSERT_EQ(Used.size(), 1U);
    crash(Used.front());
  }
  World.Clock.runFor(Duration(15000));
  EXPECT_EQ(World.Cluster.StartsOf[taskOf(Job, 0, 0)], 5);
  expectState(Job, JobPhase::Running);
}

INSTANTIATE_TEST_SUITE_P(EndpointIds, OwnerCrashesTest, ::testing::Bool(),
                         [](const auto &Info) {
                           return Info.param ? "Kept" : "New";
                         });

} // namespace
} // namespace teaselwalk::cell::testing
