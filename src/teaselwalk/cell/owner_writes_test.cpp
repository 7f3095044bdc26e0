#include "testing/fake_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselwalk::cell::testing {
namespace {

using ProcessorTime = FakeProcessClock::ProcessorTime;

/// Jobs that wait for room.
constexpr int WaitingJobs = 300;
/// Processor time of a scheduling pass for each step that waits.
constexpr ProcessorTime PassTimePerStep{200};

class OwnerWritesTest : public ::testing::Test {
protected:
  void begin() {
    World.addEndpoints(4, {8000, 8000, 0, 0, 0});
    World.addProcesses(1);
    World.Clock.runFor(Duration(1500));
    ASSERT_EQ(World.ownerIndex(), 0U);
  }

  FakeProcess &process() { return *World.Processes.front(); }

  void submit(const JobSpec &Job) {
    auto Answers = World.send(0, CallerAction::Submit, Job);
    World.Clock.runFor(Duration(50));
    ASSERT_EQ(Answers->size(), 1U);
    ASSERT_EQ(Answers->front().Kind, RequestOutcome::Done);
  }

  /// The time from now until \p IsReached.
  template <typename Condition> Duration timeUntil(Condition IsReached) {
    TimePoint Begun = World.Clock.now();
    while (!IsReached() && World.Clock.now() - Begun < Duration(5000))
      World.Clock.runFor(Duration(1));
    return World.Clock.now() - Begun;
  }

  FakeWorld World;
};

// Guards against ends that are stored, and so shown, only with the next pass,
// which waits for a multiple of the time that the latest one took.
TEST_F(OwnerWritesTest, EndsAreStoredWhileTheNextPassIsPostponed) {
  begin();
  World.Cluster.DefaultWork.Length = Duration(600000);
  submit(World.job(1, {FakeWorld::step(4, 7000)}));
  for (int I = 0; I < WaitingJobs; ++I)
    World.send(0, CallerAction::Submit,
               World.job(1000 + I, {FakeWorld::step(1, 8000)}));
  World.Clock.runFor(Duration(1000));
  process().Clock.WorkTime = ProcessorTime(10);
  process().Log.OnCount = [this](const std::string &Name, int64_t Amount) {
    if (Name == "steps_considered")
      process().Clock.spend(PassTimePerStep * Amount);
  };
  Duration Longest{0};
  for (int I = 0; I < 10; ++I) {
    JobSpec Short = World.job(2000 + I, {FakeWorld::step(1, 1000)});
    World.Cluster.Work[{Short.Id, 0, 0, 0}].Length = Duration(300 + 13 * I);
    submit(Short);
    timeUntil([&] { return World.Cluster.isDone(Short.Id, 0); });
    ASSERT_TRUE(World.Cluster.isDone(Short.Id, 0));
    Longest = std::max(Longest, timeUntil([&] {
                         return process().Core->localJob(Short.Id).Status ==
                                JobPhase::Completed;
                       }));
  }
  // One pass in progress, the pause before a write, and the write itself.
  EXPECT_LE(Longest, Duration(150));
  EXPECT_EQ(World.violations(), "");
}

} // namespace
} // namespace teaselwalk::cell::testing
