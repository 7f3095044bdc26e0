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

} // namespace
} // namespace teaselwalk::cell::testing
