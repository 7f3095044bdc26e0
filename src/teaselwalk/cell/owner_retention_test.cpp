#include "testing/owner_fixture.hpp"

#include "teaselwalk/cell/keys.hpp"

#include <algorithm>

namespace teaselwalk::cell::testing {
namespace {

constexpr Duration StatusKept{2000};
/// Ended jobs are kept this much longer because the wall clock may jump.
constexpr Duration ClockJumpMargin{10000};
constexpr Duration JobInterval{10}; ///< 100 jobs a second.
constexpr Duration WorkLength{200};

/// A process to which jobs of one task are submitted at a steady rate.
class SteadyLoad {
public:
  SteadyLoad(Duration Kept, Duration StoreLatency) {
    World.StatusKept = Kept;
    World.Cluster.DefaultWork.Length = WorkLength;
    World.addEndpoints(60);
    World.addProcesses(1);
    World.Clock.runFor(SettleTime);
    World.Processes[0]->Store.Latency = StoreLatency;
  }

  /// Returns the sum of the times that the jobs waited for their start.
  Duration runFor(Duration Length) {
    Duration Waited{0};
    auto IsStarted = [this](const JobSpec &Job) {
      return World.Cluster.StartsOf.count(taskOf(Job, 0, 0)) != 0;
    };
    for (Duration Age{0}; Age < Length; Age += Duration(1)) {
      if (Age.count() % JobInterval.count() == 0) {
        Waiting.push_back(World.job(++Jobs, {FakeWorld::step(1, 100)}));
        World.send(0, CallerAction::Submit, Waiting.back());
      }
      World.Clock.runFor(Duration(1));
      Waiting.erase(std::remove_if(Waiting.begin(), Waiting.end(), IsStarted),
                    Waiting.end());
      Waited += Duration(static_cast<int64_t>(Waiting.size()));
    }
    return Waited;
  }

  size_t storedItems(const char *Prefix) {
    return World.Store.list(Prefix).Items.size();
  }

  FakeWorld World;

private:
  std::vector<JobSpec> Waiting;
  int Jobs = 0;
};

// Guards against a store, a memory and a takeover that grow for ever because
// records of ended jobs are removed more slowly than jobs end.
TEST(OwnerRetentionTest, RecordsAreRemovedAsFastAsJobsEnd) {
  constexpr Duration Margin{1000};
  constexpr auto MostJobs = static_cast<size_t>(
      (WorkLength + StatusKept + ClockJumpMargin + Margin) / JobInterval);
  SteadyLoad Load(StatusKept, Duration(2));
  Load.runFor(Duration(30000));
  EXPECT_LE(Load.storedItems(JobPrefix), MostJobs);
  EXPECT_LE(Load.storedItems(StatePrefix), MostJobs);
  EXPECT_EQ(Load.World.violations(), "");
}

// Guards against jobs that start later because records are removed.
TEST(OwnerRetentionTest, RemovalsDoNotDelayStarts) {
  constexpr Duration Length{20000};
  constexpr Duration StoreLatency{20};
  SteadyLoad Without(Duration(3600000), StoreLatency);
  SteadyLoad With(StatusKept, StoreLatency);
  Duration Usual = Without.runFor(Length);
  EXPECT_LE(With.runFor(Length), Usual + Usual / 50);
  EXPECT_LT(With.storedItems(JobPrefix), Without.storedItems(JobPrefix));
  EXPECT_EQ(With.World.violations(), "");
}

// Guards against records that stay behind for ever, as those in bundles, which
// an owner writes while the store is slow.
TEST(OwnerRetentionTest, NothingIsLeftOfEndedJobs) {
  SteadyLoad Load(StatusKept, Duration(120));
  Load.runFor(Duration(3000));
  EXPECT_GT(Load.storedItems(BundlePrefix), 0U);
  FakeWorld &World = Load.World;
  World.Clock.runFor(Duration(60000));
  EXPECT_EQ(Load.storedItems(IntakePrefix), 0U);
  EXPECT_EQ(Load.storedItems(StatePrefix), 0U);
  EXPECT_EQ(World.violations(), "");
}

// Guards against a takeover that grows with the length of the day because
// bundles are only removed while nothing else is to be written (issue 26).
TEST(OwnerRetentionTest, BundlesDoNotPileUpWhileEveryWriteIsFull) {
  constexpr size_t MostBundles = 68;
  SteadyLoad Load(Duration(3600000), Duration(120));
  Load.runFor(Duration(60000));
  EXPECT_GT(Load.storedItems(BundlePrefix), 0U);
  EXPECT_LE(Load.storedItems(BundlePrefix), MostBundles);
  EXPECT_EQ(Load.World.violations(), "");
}

// Guards against a crash of the owner: the record of a cancelled job still
// names an endpoint when a later owner removes the job before that endpoint has
// answered.
TEST(OwnerRetentionTest, AJobThatMayStillRunIsKept) {
  FakeWorld World;
  World.StatusKept = StatusKept;
  World.Cluster.DefaultWork.Length = Duration(60000);
  World.addEndpoints(2);
  World.addProcesses(1);
  World.Clock.runFor(SettleTime);
  JobSpec Job = World.job(1, {FakeWorld::step(2)});
  World.send(0, CallerAction::Submit, Job);
  World.Clock.runFor(Duration(500));
  ASSERT_EQ(World.Cluster.Starts, 2);
  World.send(0, CallerAction::Cancel, Job);
  World.Clock.runFor(Duration(1000));
  World.kill(0);
  World.Clock.runFor(StatusKept + ClockJumpMargin + Duration(1000));
  World.restart(0);
  World.Clock.runFor(Duration(20000));
  EXPECT_EQ(World.Store.list(IntakePrefix).Items.size(), 0U);
  EXPECT_EQ(World.violations(), "");
}

} // namespace
} // namespace teaselwalk::cell::testing
