#include "testing/fake_world.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell::testing {
namespace {

// Guards against an owner on a VM too small for the load while a stronger one
// is there, and against a cluster without an owner when the strong one is gone.
TEST(LeadershipTest, TheStrongestProcessOwnsTheJobs) {
  FakeWorld World;
  World.Strengths = {{0, 0.12}, {1, 0.12}, {2, 0.5}};
  World.addEndpoints(2);
  World.addProcesses(3);
  World.Clock.runFor(Duration(6000));
  EXPECT_EQ(World.ownerIndex(), 2U);

  World.kill(2);
  World.Clock.runFor(Duration(3500));
  ASSERT_LT(World.ownerIndex(), 2U) << "a weak process takes over";

  World.revive(2);
  World.Clock.runFor(Duration(8000));
  EXPECT_EQ(World.ownerIndex(), 2U) << "it hands over when a strong one comes";
  EXPECT_EQ(World.violations(), "");
}

// Guards against processes of the same strength that wait for each other.
TEST(LeadershipTest, EqualProcessesDoNotHandOver) {
  FakeWorld World;
  World.Strengths = {{0, 0.25}, {1, 0.25}};
  World.addEndpoints(1);
  World.addProcesses(2);
  World.Clock.runFor(Duration(1500));
  size_t First = World.ownerIndex();
  ASSERT_LT(First, 2U);
  World.Clock.runFor(Duration(30000));
  EXPECT_EQ(World.ownerIndex(), First);
}

} // namespace
} // namespace teaselwalk::cell::testing
