#include "testing/owner_fixture.hpp"

namespace teaselwalk::cell::testing {
namespace {

/// How long a crashed endpoint is away.
constexpr Duration RestartTime{2500};
/// How late the owner handles answers; shorter than the time limit of a start.
constexpr Duration Lateness{700};

const EndpointId Only{"e0"};

/// An owner with a long queue whenever a task has crashed its endpoint.
class OwnerCrashTimesTest : public OwnerTest {
protected:
  void beginWithRestarts(int Endpoints) {
    World.restartCrashedEndpoints(RestartTime, true);
    begin(1, Endpoints);
    World.Cluster.OnDeadlyStart = [this] {
      FakeProcess &Owner = *World.Processes.front();
      Owner.Clock.beginBacklog();
      World.Clock.after(Lateness, [&Owner] { Owner.Clock.endBacklog(); });
    };
  }

  /// The suspects of all crashes so far.
  std::string suspects() {
    std::string Result;
    for (const auto &[Name, Fields] : World.Processes.front()->Log.Lines)
      if (Name == EventName::EndpointCrashed)
        Result += Fields.back().second + ';';
    return Result;
  }

  TaskKey deadlyTask(const JobSpec &Job) {
    TaskKey Key = taskOf(Job, 0, 0);
    World.Cluster.Work[Key].CrashesEndpoint = true;
    return Key;
  }
};

// Guards against a task that crashes its endpoints without end because the
// answers to its starts are handled long after the crashes.
TEST_F(OwnerCrashTimesTest, CountsCrashesBeforeAnswersThatAreHandledLate) {
  beginWithRestarts(4);
  JobSpec Deadly = World.job(1, {World.step(1)});
  TaskKey Key = deadlyTask(Deadly);
  submit(Deadly);
  World.Clock.runFor(Duration(80000));
  EXPECT_LE(World.Cluster.StartsOf[Key], 5);
  expectState(Deadly, JobPhase::Failed);
}

// Guards against the failure of a job that was started on an endpoint after
// another one had crashed it, but before the owner knew.
TEST_F(OwnerCrashTimesTest, KeepsJobsThatWereStartedAfterTheCrash) {
  beginWithRestarts(1);
  JobSpec Deadly = World.job(1, {World.step(1)});
  JobSpec Late = World.job(2, {World.step(1)});
  TaskKey Key = deadlyTask(Deadly);
  submit(Deadly);
  for (int I = 0; I < 100 && World.Cluster.StartsOf[Key] == 0; ++I)
    World.Clock.runFor(Duration(10));
  ASSERT_EQ(World.Cluster.StartsOf[Key], 1);
  World.Clock.runFor(Duration(500));
  World.send(0, CallerAction::Submit, Late);
  World.Clock.runFor(Duration(80000));
  expectState(Late, JobPhase::Completed);
  expectState(Deadly, JobPhase::Failed);
}

// Guards against a crash that counts against runs which the next incarnation of
// the endpoint has started, before the owner knew of it.
TEST_F(OwnerCrashTimesTest, RunsOfTheNextIncarnationAreNotSuspected) {
  begin(1, 1);
  World.Processes.front()->Log.KeepsLines = true;
  JobSpec Job = World.job(1, {World.step(2)});
  World.Clock.runFor(Duration(200));
  World.Cluster.crash(Only);
  World.Clock.runFor(Duration(120));
  World.Cluster.restart(Only);
  World.listEndpoint(Only);
  submit(Job);
  World.Clock.runFor(Duration(3000));
  EXPECT_EQ(World.Cluster.Starts, 2);
  EXPECT_EQ(suspects().find(Job.Id.str()), std::string::npos) << suspects();
  expectState(Job, JobPhase::Completed);
}

// The same if the owner changes again and again while they run.
TEST_F(OwnerCrashTimesTest, RunsOfTheNextIncarnationSurviveTakeovers) {
  begin(3, 1);
  JobSpec Job = World.job(1, {World.step(2)});
  World.Cluster.DefaultWork.Length = Duration(20000);
  World.Clock.runFor(Duration(200));
  World.Cluster.crash(Only);
  World.Clock.runFor(Duration(120));
  World.Cluster.restart(Only);
  World.listEndpoint(Only);
  submit(Job);
  World.Clock.runFor(Duration(100));
  ASSERT_EQ(World.Cluster.Starts, 2);
  for (int Kill = 0; Kill < 5; ++Kill) {
    size_t Owner = World.ownerIndex();
    ASSERT_LT(Owner, World.Processes.size());
    World.kill(Owner);
    World.restart(Owner);
    World.Clock.runFor(Duration(3000));
  }
  World.Clock.runFor(Duration(60000));
  expectState(Job, JobPhase::Completed);
}

// Guards against the failure of a job by a power failure if its endpoint is
// back before the owner knows which others are lost.
TEST_F(OwnerCrashTimesTest, LossesThatAreNoticedLaterShowACommonCause) {
  begin(1, 4);
  World.Cluster.DefaultWork.RunsUntilStopped = true;
  JobSpec Job = World.job(1, {World.step(1)});
  Job.Steps[0].Service = true;
  TaskKey Key = taskOf(Job, 0, 0);
  submit(Job);
  for (int Crash = 1; Crash <= 2; ++Crash) {
    for (int I = 0; I < 1000 && World.Cluster.StartsOf[Key] < Crash; ++I)
      World.Clock.runFor(Duration(10));
    ASSERT_EQ(World.Cluster.StartsOf[Key], Crash);
    for (auto &[Id, Machine] : World.Cluster.Machines) {
      bool RunsIt = Machine.Running.count(Key) != 0;
      // The first time only the endpoint of the task crashes.
      if (!RunsIt && Crash == 1)
        continue;
      World.Cluster.crash(Id);
      Duration Pause = RunsIt && Crash == 2 ? Duration(150) : RestartTime;
      World.Clock.after(Pause, [this, Id = Id] {
        World.Cluster.restart(Id);
        World.listEndpoint(Id);
      });
    }
  }
  World.Clock.runFor(Duration(30000));
  expectState(Job, JobPhase::Running);
}

} // namespace
} // namespace teaselwalk::cell::testing
