#pragma once

#include "fake_world.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell::testing {

/// Longest time from the start of a world until its first owner schedules.
constexpr Duration SettleTime{1500};

inline TaskKey taskOf(const JobSpec &Job, int Step, int Index) {
  return {Job.Id, 0, Step, Index};
}

class OwnerTest : public ::testing::Test {
protected:
  void begin(int Processes, int Endpoints) {
    World.addEndpoints(Endpoints);
    World.addProcesses(Processes);
    World.Clock.runFor(SettleTime);
    ASSERT_LT(World.ownerIndex(), World.Processes.size());
  }

  void submit(const JobSpec &Job, size_t Process = 0) {
    auto Answers = World.send(Process, CallerAction::Submit, Job);
    World.Clock.runFor(Duration(50));
    ASSERT_EQ(Answers->size(), 1U);
    ASSERT_EQ(Answers->front().Kind, RequestOutcome::Done)
        << Answers->front().Reason;
  }

  void expectState(const JobSpec &Job, JobPhase Expected) {
    for (size_t I = 0; I < World.Processes.size(); ++I)
      if (World.Processes[I]) {
        CallerAnswer Answer = World.status(I, Job);
        EXPECT_EQ(Answer.Kind, RequestOutcome::Done) << Answer.Reason;
        EXPECT_EQ(Answer.State, Expected);
      }
    EXPECT_EQ(World.violations(), "");
  }

  FakeWorld World;
};

} // namespace teaselwalk::cell::testing
