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

} // namespace
} // namespace teaselwalk::cell::testing
