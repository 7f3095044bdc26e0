#include "testing/owner_fixture.hpp"

namespace teaselwalk::cell::testing {
namespace {

constexpr int EndpointCount = 40;
constexpr int BadEndpoints = 6;
constexpr Duration RunTime{300};
constexpr Duration Interval{60};

/// A stream of small jobs while some endpoints fail all tasks.
class OwnerEndpointRecordsTest : public OwnerTest {
protected:
  /// Returns the number of runs that have failed.
  int play(const FeatureSet &Features, int64_t TargetMs) {
    World.Features = Features;
    World.Config.Queues.front().Policy.Target = Duration(TargetMs);
    World.Config.Queues.front().Policy.MaxAttempts = 20;
    begin(1, EndpointCount);
    World.Cluster.DefaultWork.Length = RunTime;
    for (int I = 0; I < BadEndpoints; ++I)
      World.Cluster.Machines[EndpointId("e" + std::to_string(I * 5))].FailsAll =
          true;
    for (int I = 1; I <= 150; ++I) {
      JobSpec Job = World.job(I, {World.step(4, 2000)});
      Job.Steps[0].Estimate = RunTime;
      Jobs.push_back(Job);
      World.send(0, CallerAction::Submit, Job);
      World.Clock.runFor(Interval);
    }
    World.Clock.runFor(Duration(5000));
    for (const JobSpec &Job : Jobs)
      EXPECT_TRUE(World.Cluster.isDone(Job.Id, 0)) << Job.Id;
    EXPECT_EQ(World.violations(), "");
    return World.Cluster.Starts - 150 * 4;
  }

  std::vector<JobSpec> Jobs;
};

// Guards against jobs with little time whose tasks go to endpoints that have
// just failed others.
TEST_F(OwnerEndpointRecordsTest, JobsWithLittleTimeAvoidEndpointsThatFail) {
  int Failed = play(FeatureSet::parse("endpoint_records"), 300);
  EXPECT_LE(Failed, BadEndpoints * 5);
}

// Guards against endpoints that stay unused after they work again, as no work
// shows it.
TEST_F(OwnerEndpointRecordsTest, EndpointsThatWorkAgainAreUsed) {
  play(FeatureSet::parse("endpoint_records"), 300);
  for (auto &[Id, M] : World.Cluster.Machines)
    M.FailsAll = false;
  World.Clock.runFor(EndpointRecord::HalfLife * 5);
  JobSpec Job = World.job(1000, {World.step(EndpointCount * 4, 2000)});
  submit(Job);
  World.Clock.runFor(Duration(2000));
  EXPECT_TRUE(World.Cluster.isDone(Job.Id, 0));
  EXPECT_EQ(World.violations(), "");
}

} // namespace
} // namespace teaselwalk::cell::testing
