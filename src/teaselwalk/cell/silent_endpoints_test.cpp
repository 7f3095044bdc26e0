#include "testing/owner_fixture.hpp"

namespace teaselwalk::cell::testing {
namespace {

/// From a start until the endpoint that has begun it is cut off.
constexpr Duration StartToCut{100};
constexpr Duration CutTime{9000};

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
  void cutOff(const EndpointId &Id) {
    World.Cluster.Machines[Id].IsPartitioned = true;
    World.Clock.after(FakeWorld::EntryLifetime,
                      [this, Id] { World.unlistEndpoint(Id); });
    World.Clock.after(CutTime, [this, Id] {
      World.Cluster.Machines[Id].IsPartitioned = false;
      World.listEndpoint(Id);
    });
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
  World.Cluster.DefaultWork.RunsUntilStopped = true;
  JobSpec Job = World.job(1, {FakeWorld::step(8)});
  Job.Steps.front().Service = true;
  submit(Job);
  for (int Round = 0; Round < 2; ++Round) {
    World.Clock.runFor(StartToCut);
    EndpointId Host = hostOf(Job);
    ASSERT_FALSE(Host.empty());
    cutOff(Host);
    runUntilNextStart();
  }
  World.Clock.runFor(Duration(15000));
  expectState(Job, JobPhase::Running);
}

} // namespace
} // namespace teaselwalk::cell::testing
