#include "testing/fake_world.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell::testing {
namespace {

/// Longest time from the start of a world until its first owner schedules.
constexpr Duration SettleTime{1500};
constexpr int JobCount = 300;
constexpr Resources Capacity{8000, 8000, 0, 0, 0};

class OwnerAdviceLoadTest : public ::testing::Test {
protected:
  void begin(int Endpoints) {
    World.requireAdvice();
    World.addEndpoints(Endpoints, Capacity);
    World.addProcesses(1);
    World.Clock.runFor(SettleTime);
    ASSERT_EQ(World.ownerIndex(), 0U);
  }

  void submitJobs(int MilliCpu) {
    for (int I = 1; I <= JobCount; ++I)
      World.send(0, CallerAction::Submit,
                 World.job(I, {World.step(1, MilliCpu)}));
  }

  /// How often the owner has looked at all endpoints for an advice request.
  int64_t plans() { return World.Processes[0]->Log.Counts["advice_plans"]; }

  FakeWorld World;
};

// Guards against passes that take longer the more steps wait for advice: each
// plan of a request looks at all endpoints.
TEST_F(OwnerAdviceLoadTest, OnlyRequestsThatAreSentArePlanned) {
  World.Advisory.Base = Duration(200);
  begin(50);
  submitJobs(1000);
  World.Clock.runFor(Duration(2000));
  EXPECT_GE(World.Advisory.Requests.size(), 8U);
  EXPECT_LE(plans(), static_cast<int64_t>(World.Advisory.Requests.size()) + 1);
}

// Guards against a full fleet that is searched again and again for each step.
TEST_F(OwnerAdviceLoadTest, AFullFleetIsNotSearchedForEachStep) {
  World.Cluster.DefaultWork.Length = Duration(60000);
  begin(8);
  World.send(0, CallerAction::Submit,
             World.job(JobCount + 1, {World.step(8, 8000)}));
  World.Clock.runFor(Duration(1000));
  ASSERT_EQ(World.Cluster.Starts, 8);
  submitJobs(1000);
  World.Clock.runFor(Duration(500));
  int64_t Before = plans();
  World.Clock.runFor(Duration(2000));
  // One search for each scheduling pass of 15 ms at most.
  EXPECT_LE(plans() - Before, 2000 / 15);
  EXPECT_EQ(World.Cluster.Starts, 8);
}

} // namespace
} // namespace teaselwalk::cell::testing
