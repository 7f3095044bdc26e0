#include "testing/fake_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::cell::testing {
namespace {

/// After a trouble an owner with work and room starts it within this time.
constexpr Duration LongestStandstill{10000};
/// A lasting task that has failed runs again within this time.
constexpr Duration LongestRestart{7000};

class OwnerStandstillTest : public ::testing::Test {
protected:
  OwnerStandstillTest() {
    World.addEndpoints(4);
    World.addProcesses(3);
    World.Clock.runFor(Duration(1500));
    Index = World.ownerIndex();
  }

  FakeProcess &owner() { return *World.Processes[Index]; }

  JobSpec submit() {
    JobSpec Job = World.job(++JobCount, {FakeWorld::step(1)});
    World.send((Index + 1) % 3, CallerAction::Submit, Job);
    return Job;
  }

  std::vector<JobSpec> submit(size_t Count) {
    std::vector<JobSpec> Jobs(Count);
    std::generate(Jobs.begin(), Jobs.end(), [this] { return submit(); });
    return Jobs;
  }

  FakeWorld World;
  size_t Index = 0;
  int JobCount = 0;
};

// Guards against a fault in the start of one task that holds up the others, and
// its own task for ever (issue 41).
TEST_F(OwnerStandstillTest, AStartThatThrowsIsRepeatedAndDelaysNoOthers) {
  owner().Clock.CatchesExceptions = true;
  owner().Endpoints.ThrowingStarts = 1;
  std::vector<JobSpec> Jobs = submit(6);
  World.Clock.runFor(Duration(2500));
  int Done = 0;
  for (const JobSpec &Job : Jobs)
    Done += World.Cluster.isDone(Job.Id, 0) ? 1 : 0;
  EXPECT_EQ(Done, 5);
  World.Clock.runFor(LongestStandstill);
  for (const JobSpec &Job : Jobs)
    EXPECT_TRUE(World.Cluster.isDone(Job.Id, 0)) << Job.Id;
  EXPECT_EQ(World.violations(), "");
}

// Guards against a step whose placement throws each time and ends each pass
// before it reaches the others (issue 41).
TEST_F(OwnerStandstillTest, AStepThatThrowsHoldsUpNoOthers) {
  owner().Clock.CatchesExceptions = true;
  JobSpec Odd = submit();
  owner().Log.OnEvent = [Odd](EventName Name, const EventFields &Fields) {
    if (Name == EventName::StepPlaced && Fields[0].second == Odd.Id.str())
      throw std::runtime_error("odd step");
  };
  std::vector<JobSpec> Jobs = submit(6);
  World.Clock.runFor(Duration(2500));
  for (const JobSpec &Job : Jobs)
    EXPECT_TRUE(World.Cluster.isDone(Job.Id, 0)) << Job.Id;
  EXPECT_EQ(World.violations(), "");
}

// Guards against a pause of the process in a pass that delays the next passes
// by a multiple of it, while new work is started (issue 41).
TEST_F(OwnerStandstillTest, APauseWithinAPassDelaysNoLaterPass) {
  owner().Clock.WorkTime = FakeProcessClock::ProcessorTime(1);
  bool HasPaused = false;
  owner().Log.OnCount = [&](const std::string &Name, int64_t) {
    if (Name == "scheduling_passes" && !std::exchange(HasPaused, true))
      owner().Clock.spend(Duration(3000));
  };
  JobSpec Job = submit();
  World.Cluster.Work[{Job.Id, 0, 0, 0}] = {Duration(1000), 1};
  World.Clock.runFor(Duration(4000));
  ASSERT_TRUE(HasPaused);
  // It fails once, and its second run takes 1 s.
  World.Clock.runFor(Duration(3500));
  EXPECT_TRUE(World.Cluster.isDone(Job.Id, 0));
  EXPECT_EQ(World.violations(), "");
}

// Guards against an owner that renews its lease but cannot read the
// configuration, so that nothing starts (issue 41).
TEST_F(OwnerStandstillTest, AnOwnerThatCannotReadTheConfigurationIsReplaced) {
  owner().Store.UnreachablePrefix = OperatorPrefix;
  World.Clock.runFor(Duration(5000));
  JobSpec Job = submit();
  World.Clock.runFor(LongestStandstill);
  EXPECT_TRUE(World.Cluster.isDone(Job.Id, 0));
  EXPECT_NE(World.ownerIndex(), Index);
  EXPECT_EQ(World.violations(), "");
}

// Guards against an owner whose writes are not answered while its lease is
// renewed, so that a lasting task that failed waits longer than 7 s (issue 44).
TEST_F(OwnerStandstillTest, AnOwnerWhoseWritesAreLostIsReplacedIn7s) {
  StepSpec Step = FakeWorld::step(1);
  Step.Service = true;
  JobSpec Job = World.job(++JobCount, {Step});
  World.Cluster.Work[{Job.Id, 0, 0, 0}] = {Duration(2000), 1};
  World.send((Index + 1) % 3, CallerAction::Submit, Job);
  World.Clock.runFor(Duration(1000));
  ASSERT_EQ(World.Cluster.Starts, 1);
  owner().Log.KeepsLines = true;
  owner().Store.LosesWrites = true;
  World.Clock.runFor(Duration(1000) + LongestRestart);
  EXPECT_EQ(World.Cluster.Starts, 2);
  EXPECT_NE(World.ownerIndex(), Index);
  EXPECT_EQ(World.violations(), "");
}

// Guards against a write in flight that no log line names (issue 44).
TEST_F(OwnerStandstillTest, AWriteThatIsNotAnsweredIsLogged) {
  owner().Log.KeepsLines = true;
  owner().Store.LosesWrites = true;
  submit();
  World.Clock.runFor(Duration(3500));
  auto Reports = std::count_if(
      owner().Log.Lines.begin(), owner().Log.Lines.end(), [](const auto &Line) {
        return Line.first == EventName::StoreCallFailed &&
               std::count(Line.second.begin(), Line.second.end(),
                          std::pair<std::string, std::string>("outcome",
                                                              "waiting")) == 1;
      });
  EXPECT_GE(Reports, 2);
}

// Guards against an owner that gives up because the store loses calls of all
// processes: no other one could do better.
TEST_F(OwnerStandstillTest, ALossyStoreDoesNotReplaceTheOwner) {
  constexpr Duration LossyTime{500};
  for (auto &Process : World.Processes)
    Process->Store.LosesWrites = true;
  submit();
  for (int I = 0; I < 6; ++I) {
    for (auto &Process : World.Processes)
      Process->Store.IsSilent = true;
    World.Clock.runFor(LossyTime);
    for (auto &Process : World.Processes)
      Process->Store.IsSilent = false;
    World.Clock.runFor(LossyTime);
  }
  EXPECT_EQ(World.ownerIndex(), Index);
  EXPECT_EQ(owner().Log.Events[EventName::OwnerLost], 0);
}

// Guards against a shortage whose cause no log line names.
TEST_F(OwnerStandstillTest, TheReasonOfTheLongestWaitIsLogged) {
  owner().Log.KeepsLines = true;
  World.send((Index + 1) % 3, CallerAction::Submit,
             World.job(++JobCount, {FakeWorld::step(1, 100000)}));
  World.Clock.runFor(Duration(4500));
  int Reported = 0;
  for (const auto &[Name, Fields] : owner().Log.Lines) {
    if (Name != EventName::StepWaiting)
      continue;
    ++Reported;
    EXPECT_EQ(Fields[3].second, "no_room");
  }
  EXPECT_GE(Reported, 2);
  EXPECT_LE(Reported, 4);
}

} // namespace
} // namespace teaselwalk::cell::testing
