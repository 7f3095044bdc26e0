#include "testing/fake_world.hpp"

#include "teaselwalk/cell/keys.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell::testing {
namespace {

class StoreFaultsTest : public ::testing::Test {
protected:
  void begin(int Endpoints) {
    World.addEndpoints(Endpoints);
    World.addProcesses(2);
    World.Clock.runFor(Duration(1500));
    OwnerIndex = World.ownerIndex();
    ASSERT_LT(OwnerIndex, World.Processes.size());
  }

  SimulatedStoreClient &store(size_t Process) {
    return World.Processes[Process]->Store;
  }

  void slowStore(Duration OneWay) {
    for (auto &Process : World.Processes)
      if (Process)
        Process->Store.Latency = OneWay;
  }

  /// Submits \p Count jobs of one task each and returns them.
  std::vector<JobSpec> submitMany(int Count) {
    std::vector<JobSpec> Jobs;
    for (int I = 0; I < Count; ++I) {
      Jobs.push_back(World.job(I + 1, {World.step(1, 100)}));
      World.send(1 - OwnerIndex, CallerAction::Submit, Jobs.back());
    }
    return Jobs;
  }

  int completed(const std::vector<JobSpec> &Jobs) {
    int Count = 0;
    for (const JobSpec &Job : Jobs)
      Count += World.Cluster.isDone(Job.Id, 0) ? 1 : 0;
    return Count;
  }

  FakeWorld World;
  size_t OwnerIndex = 0;
};

// Guards against jobs that wait for several writes in a row on a slow store
// because one write holds too few of their records.
TEST_F(StoreFaultsTest, ManyChangesShareOneWriteOfASlowStore) {
  begin(60);
  World.Cluster.DefaultWork.Length = Duration(300);
  slowStore(Duration(120));
  std::vector<JobSpec> Jobs = submitMany(300);
  // A job takes 3 calls of 240 ms before it starts: it is stored, the owner's
  // watch reports it, and its assignments are stored.
  World.Clock.runFor(Duration(2000));
  EXPECT_EQ(completed(Jobs), 300);
  EXPECT_EQ(World.violations(), "");
}

// Guards against placements that are stored and given back again and again
// because the ownership is confirmed too late: the answers to lease renewals
// take longer than their timeout, those to writes do not.
TEST_F(StoreFaultsTest, PlacementsAreKeptWhileOnlyWritesAreAnswered) {
  begin(60);
  World.Cluster.DefaultWork.Length = Duration(4000);
  JobSpec Job = World.job(1, {World.step(100, 100), World.step(100, 100)});
  Job.Steps[1].After = {0};
  World.send(OwnerIndex, CallerAction::Submit, Job);
  World.Clock.runFor(Duration(200));
  ASSERT_EQ(World.Cluster.Starts, 100);
  // The second step is placed 4 s later.
  slowStore(Duration(250));
  World.Clock.runFor(Duration(6000));
  EXPECT_EQ(World.Cluster.Starts, 200);
  EXPECT_EQ(World.Processes[OwnerIndex]->Log.Events[EventName::RunLost], 0);
  EXPECT_EQ(World.violations(), "");
}

// Guards against placements that are stored and given back again and again
// while the configuration is not confirmed.
TEST_F(StoreFaultsTest, NothingIsPlacedWhileTheConfigurationIsNotConfirmed) {
  begin(60);
  World.Cluster.DefaultWork.Length = Duration(5000);
  JobSpec Job = World.job(1, {World.step(100, 100), World.step(100, 100)});
  Job.Steps[1].After = {0};
  World.send(OwnerIndex, CallerAction::Submit, Job);
  World.Clock.runFor(Duration(200));
  ASSERT_EQ(World.Cluster.Starts, 100);
  // An owner that alone cannot read the configuration is replaced.
  for (auto &Process : World.Processes)
    Process->Store.UnreachablePrefix = OperatorPrefix;
  World.Clock.runFor(Duration(7000));
  EXPECT_EQ(World.Cluster.Starts, 100);
  int Placed = 0;
  for (auto &Process : World.Processes)
    Placed += Process->Log.Events[EventName::StepPlaced];
  EXPECT_EQ(Placed, 1);
  // A second owner finds that it cannot read it either.
  int Lost = 0;
  for (auto &Process : World.Processes)
    Lost += Process->Log.Events[EventName::OwnerLost];
  EXPECT_LE(Lost, 1);
  for (auto &Process : World.Processes)
    Process->Store.UnreachablePrefix.clear();
  World.Clock.runFor(Duration(2000));
  EXPECT_EQ(World.Cluster.Starts, 200);
  EXPECT_EQ(World.violations(), "");
}

// Guards against a takeover that misses records, or reads an outdated version
// of them, because they were written in a bundle with others.
TEST_F(StoreFaultsTest, TakeoverReadsBundledRecords) {
  begin(60);
  World.Cluster.DefaultWork.Length = Duration(2500);
  slowStore(Duration(120));
  std::vector<JobSpec> Jobs = submitMany(300);
  World.Clock.runFor(Duration(1800));
  int Started = World.Cluster.Starts;
  EXPECT_GT(Started, 200);
  World.kill(OwnerIndex);
  slowStore(Duration(2));
  World.Clock.runFor(Duration(14000));
  EXPECT_EQ(completed(Jobs), 300);
  EXPECT_EQ(World.Cluster.Starts, 300) << "no task was lost or repeated";
  EXPECT_EQ(World.violations(), "");
  EXPECT_EQ(World.Store.list(BundlePrefix).Items.size(), 0U)
      << "bundles are split into single records when the owner is idle";
}

// Guards against an owner that is blocked for seconds because the answers to
// its writes are lost.
TEST_F(StoreFaultsTest, LostAnswersDelayTheOwnerOnlyBriefly) {
  begin(4);
  World.Cluster.DefaultWork.Length = Duration(300);
  store(OwnerIndex).LoseAnswers = 3;
  std::vector<JobSpec> Jobs = submitMany(1);
  World.Clock.runFor(Duration(1500));
  EXPECT_EQ(completed(Jobs), 1);
  EXPECT_EQ(World.Cluster.Starts, 1);
}

// Guards against a caller that gets no conclusive answer although the store
// answers one of several attempts in time.
TEST_F(StoreFaultsTest, AcceptsInSpiteOfLostAnswers) {
  begin(4);
  store(1 - OwnerIndex).LoseAnswers = 3;
  JobSpec Job = World.job(1, {World.step(1)});
  auto Answers = World.send(1 - OwnerIndex, CallerAction::Submit, Job);
  World.Clock.runFor(Duration(1350));
  ASSERT_EQ(Answers->size(), 1U);
  EXPECT_EQ(Answers->front().Kind, RequestOutcome::Done)
      << Answers->front().Reason;
}

} // namespace
} // namespace teaselwalk::cell::testing
