#include "testing/owner_fixture.hpp"

namespace teaselwalk::cell::testing {
namespace {

/// From a start until the endpoint that has begun it is cut off.
constexpr Duration StartToCut{100};
constexpr Duration CutTime{9000};
constexpr Duration LongCutTime{40000};
constexpr Duration RestartTime{2500};

class SilentEndpointsTest : public OwnerTest {
protected:
  /// An endpoint in contact that runs a task of \p Job; empty: there is none.
  EndpointId hostOf(const JobSpec &Job) {
    for (auto &[Id, Machine] : World.Cluster.Machines)
      for (auto &[Key, Run] : Machine.Running)
        if (!Machine.IsPartitioned && Key.Job == Job.Id)
          return Id;
    return {};
  }

  /// The endpoint runs on, but nothing reaches it, and its entry is removed
  /// until it is back.
  void cutOff(const EndpointId &Id, Duration Length = CutTime) {
    World.Cluster.Machines[Id].IsPartitioned = true;
    World.Clock.after(FakeWorld::EntryLifetime,
                      [this, Id] { World.unlistEndpoint(Id); });
    World.Clock.after(Length, [this, Id] {
      World.Cluster.Machines[Id].IsPartitioned = false;
      World.listEndpoint(Id);
    });
  }

  /// The endpoint is back under its id as a new incarnation.
  void crash(const EndpointId &Id) {
    World.Cluster.crash(Id);
    World.Clock.after(RestartTime, [this, Id] {
      World.Cluster.restart(Id);
      World.listEndpoint(Id);
    });
  }

  int countRunning(const JobSpec &Job) const {
    int Count = 0;
    for (auto &[Id, Machine] : World.Cluster.Machines)
      for (auto &[Key, Run] : Machine.Running)
        Count += Key.Job == Job.Id ? 1 : 0;
    return Count;
  }

  void replaceOwner() {
    size_t Owner = World.ownerIndex();
    ASSERT_LT(Owner, World.Processes.size());
    World.kill(Owner);
    World.restart(Owner);
  }

  JobSpec submitLastingJob() {
    World.Cluster.DefaultWork.RunsUntilStopped = true;
    JobSpec Job = World.job(1, {FakeWorld::step(8)});
    Job.Steps.front().Service = true;
    submit(Job);
    return Job;
  }

  void runUntilNextStart() {
    constexpr Duration Longest{20000};
    int Before = World.Cluster.Starts;
    TimePoint End = World.Clock.now() + Longest;
    while (World.Cluster.Starts == Before && World.Clock.now() < End)
      World.Clock.runFor(Duration(10));
  }
};

// Guards against silence that is taken for a crash: two endpoints are cut off
// just after a start and come back with the same incarnation, no run has
// failed, and the job is shown as failed for good.
TEST_F(SilentEndpointsTest, AJobIsNotFailedByEndpointsThatAreCutOff) {
  begin(1, 8);
  JobSpec Job = submitLastingJob();
  for (int Round = 0; Round < 5; ++Round) {
    World.Clock.runFor(StartToCut);
    EndpointId Host = hostOf(Job);
    ASSERT_FALSE(Host.empty());
    cutOff(Host);
    runUntilNextStart();
  }
  World.Clock.runFor(Duration(15000));
  expectState(Job, JobPhase::Running);
}

// Guards against two unrelated crashes that are taken for guilt: each time the
// endpoint that has started a task last crashes, no run has failed, and the job
// is shown as failed for good.
TEST_F(SilentEndpointsTest, AJobIsNotFailedByTwoCrashes) {
  begin(1, 8);
  JobSpec Job = submitLastingJob();
  for (int Round = 0; Round < 2; ++Round) {
    World.Clock.runFor(StartToCut);
    EndpointId Host = hostOf(Job);
    ASSERT_FALSE(Host.empty());
    crash(Host);
    runUntilNextStart();
  }
  World.Clock.runFor(Duration(15000));
  expectState(Job, JobPhase::Running);
}

// Guards against cuts that are counted together with two crashes.
TEST_F(SilentEndpointsTest, AJobIsNotFailedByCrashesAndCuts) {
  begin(1, 8);
  JobSpec Job = submitLastingJob();
  for (int Round = 0; Round < 5; ++Round) {
    World.Clock.runFor(StartToCut);
    EndpointId Host = hostOf(Job);
    ASSERT_FALSE(Host.empty());
    if (Round < 2)
      crash(Host);
    else
      cutOff(Host);
    runUntilNextStart();
  }
  World.Clock.runFor(Duration(25000));
  expectState(Job, JobPhase::Running);
}

// Guards against a suspicion that a later owner takes for a crash, as it does
// not know which incarnation was suspected.
TEST_F(SilentEndpointsTest, AJobIsNotFailedByCutsAndTakeovers) {
  begin(2, 8);
  JobSpec Job = submitLastingJob();
  for (int Round = 0; Round < 6; ++Round) {
    World.Clock.runFor(StartToCut);
    cutOff(hostOf(Job));
    runUntilNextStart();
    World.Clock.runFor(Duration(20));
    replaceOwner();
    World.Clock.runFor(Duration(2000));
  }
  World.Clock.runFor(Duration(25000));
  expectState(Job, JobPhase::Running);
}

// Guards against a verdict that rests on the age of a record: the endpoints
// were silent, and they answer again while no process owns the jobs.
TEST_F(SilentEndpointsTest, AJobIsNotFailedByATimeWithoutAnOwner) {
  begin(1, 8);
  JobSpec Job = submitLastingJob();
  for (int Round = 0; Round < 3; ++Round) {
    World.Clock.runFor(StartToCut);
    cutOff(hostOf(Job), LongCutTime);
    World.Clock.runFor(Duration(8500));
  }
  World.kill(0);
  World.Clock.runFor(LongestSilence + Duration(10000));
  World.restart(0);
  World.Clock.runFor(Duration(5000));
  expectState(Job, JobPhase::Running);
  World.Clock.runFor(Duration(40000));
  expectState(Job, JobPhase::Running);
}

// Guards against a suspicion that counts again with each takeover, so that a
// task is held back after two endpoints were lost for good.
TEST_F(SilentEndpointsTest, ASuspicionCountsOnceWhateverTheTakeovers) {
  begin(2, 8);
  JobSpec Job = submitLastingJob();
  for (int Round = 0; Round < 2; ++Round) {
    World.Clock.runFor(StartToCut);
    EndpointId Host = hostOf(Job);
    ASSERT_FALSE(Host.empty());
    World.Cluster.crash(Host);
    World.Clock.after(FakeWorld::EntryLifetime,
                      [this, Host] { World.unlistEndpoint(Host); });
    if (Round == 1)
      replaceOwner();
    runUntilNextStart();
  }
  World.Clock.runFor(Duration(1000));
  EXPECT_EQ(countRunning(Job), 8);
  expectState(Job, JobPhase::Running);
}

} // namespace
} // namespace teaselwalk::cell::testing
