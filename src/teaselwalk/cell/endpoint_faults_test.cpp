#include "testing/fake_world.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell::testing {
namespace {

// Guards against a task that runs twice because the owner takes its lease for
// ended too early: the endpoint reads its clock at the end of a renewal, and
// the owner dated the reading to the start of the call. Seen as a violation
// TWICE in scale-2 on the grown Kadrownia site, where answers of endpoints were
// lost.
TEST(EndpointFaultsTest, WaitsForTheLeaseOfAMuteEndpoint) {
  for (int64_t MuteAfter = 0; MuteAfter < 1200; MuteAfter += 100) {
    FakeWorld World;
    World.Cluster.MaxLease = Duration(10000);
    World.addEndpoints(2);
    World.addProcesses(2);
    World.Cluster.DefaultWork.RunsUntilStopped = true;
    World.Clock.runFor(Duration(1500));
    JobSpec Job = World.job(1, {World.step(1)});
    Job.Steps[0].Service = true;
    World.send(0, CallerAction::Submit, Job);
    World.Clock.runFor(Duration(4000 + MuteAfter));
    for (auto &[Id, Machine] : World.Cluster.Machines)
      if (!Machine.Running.empty())
        for (auto &Process : World.Processes)
          Process->Endpoints.LoseRenewalAnswersOf.insert(Id);
    World.Clock.runFor(Duration(12000));
    EXPECT_EQ(World.Cluster.Starts, 2) << "the task runs elsewhere in the end";
    EXPECT_EQ(World.violations(), "") << "mute after " << MuteAfter << " ms";
  }
}

// Guards against starts that wait because all open ones are at endpoints of a
// data centre that does not answer any more.
TEST(EndpointFaultsTest, SilentEndpointsDoNotHoldBackStartsElsewhere) {
  FakeWorld World;
  World.addEndpoints(400);
  World.addProcesses(1);
  World.Cluster.DefaultWork.Length = Duration(300);
  World.Clock.runFor(Duration(1500));
  for (auto &[Id, Machine] : World.Cluster.Machines)
    Machine.IsPartitioned = Machine.Info.DataCentre == "dc-b";
  auto Load = [&, Number = 0](int Milliseconds) mutable {
    for (int I = 0; I < Milliseconds; ++I) {
      World.send(0, CallerAction::Submit,
                 World.job(++Number, {FakeWorld::step(2)}));
      World.Clock.runFor(Duration(1));
    }
    return World.Cluster.Starts;
  };
  int Early = Load(350);
  // Until then no start at a silent endpoint has timed out.
  EXPECT_GT(Load(400) - Early, 200);
}

// Guards against starts that are given back because renewals, which wait for
// 1 s, are answered late, although the endpoint answers other starts meanwhile.
TEST(EndpointFaultsTest, LateRenewalsLoseNoStartsWhereOthersAreAnswered) {
  constexpr int Jobs = 100;
  FakeWorld World;
  World.addEndpoints(1, {20000, 20000, 0, 0, 0});
  World.addProcesses(1);
  World.Cluster.DefaultWork.Length = Duration(60000);
  World.Clock.runFor(Duration(1500));
  FakeProcess &Process = *World.Processes[0];
  Process.Endpoints.Latency = Duration(250);
  Process.Store.Latency = Duration(100);
  for (int I = 1; I <= Jobs; ++I) {
    World.send(0, CallerAction::Submit, World.job(I, {World.step(1, 100)}));
    World.Clock.runFor(Duration(100));
  }
  World.Clock.runFor(Duration(5000));
  EXPECT_EQ(Process.Log.Events[EventName::RunLost], 0);
  EXPECT_EQ(World.Cluster.Starts, Jobs);
}

// Guards against an endpoint with services only that is suspended for the
// longest time for each failure, long after it was repaired (issue 44).
TEST(EndpointFaultsTest, ARepairedEndpointIsSuspendedBrieflyAgain) {
  constexpr Duration LongestPause{2000};
  FakeWorld World;
  World.addEndpoints(1);
  World.addProcesses(1);
  World.Cluster.DefaultWork.Length = Duration(100);
  World.Clock.runFor(Duration(1500));
  FakeMachine &Only = World.Cluster.Machines.begin()->second;
  Only.FailsAll = true;
  JobSpec Job = World.job(1, {FakeWorld::step(1)});
  Job.Steps[0].Service = true;
  World.send(0, CallerAction::Submit, Job);
  World.Clock.runFor(Duration(30000));
  Only.FailsAll = false;
  World.Cluster.DefaultWork.RunsUntilStopped = true;
  World.Clock.runFor(Duration(30000));
  ASSERT_EQ(Only.Running.size(), 1U);
  World.Cluster.fail({Job.Id, 0, 0, 0});
  World.Clock.runFor(LongestPause);
  EXPECT_EQ(Only.Running.size(), 1U);
  EXPECT_EQ(World.violations(), "");
}

} // namespace
} // namespace teaselwalk::cell::testing
