#include "testing/owner_fixture.hpp"

namespace teaselwalk::cell::testing {
namespace {

constexpr Duration TailTarget{100};
constexpr int64_t CalmTailMs = 20;
constexpr int64_t DisturbedTailMs = 150;

/// One endpoint with a serving and an opportunistic task, which do not end.
class CpuLimitTest : public OwnerTest {
protected:
  void SetUp() override {
    begin(1, 1);
    World.Cluster.DefaultWork.RunsUntilStopped = true;
    Serving = World.job(1, {World.step(1, 2000)});
    Serving.Steps[0].Service = true;
    Serving.Steps[0].TailTarget = TailTarget;
    Filler = World.job(2, {World.step(1, 2000)});
    Filler.Steps[0].Opportunistic = true;
    submit(Serving);
    submit(Filler);
    World.Clock.runFor(Duration(500));
    ASSERT_EQ(running().size(), 2U);
  }

  std::map<TaskKey, FakeCluster::Run> &running() {
    return World.Cluster.Machines[EndpointId("e0")].Running;
  }

  void setTail(int64_t Ms) { running()[taskOf(Serving, 0, 0)].LoadMetric = Ms; }

  int32_t limit() { return running()[taskOf(Filler, 0, 0)].CpuLimitPercent; }

  /// Time until the opportunistic task may use at most \p Percent.
  Duration timeToLimit(int32_t Percent) {
    TimePoint From = World.Clock.now();
    while (limit() > Percent && World.Clock.now() - From < Duration(10000))
      World.Clock.runFor(Duration(10));
    return World.Clock.now() - From;
  }

  int64_t renewalsWithin(Duration Length) {
    int64_t Before = World.Processes[0]->Log.Counts["renewals"];
    World.Clock.runFor(Length);
    return World.Processes[0]->Log.Counts["renewals"] - Before;
  }

  JobSpec Serving;
  JobSpec Filler;
};

// Guards against an owner whose processor time goes into renewals that change
// nothing.
TEST_F(CpuLimitTest, UndisturbedEndpointsAreRenewedOnceASecond) {
  setTail(CalmTailMs);
  World.Clock.runFor(Duration(1000));
  EXPECT_LE(renewalsWithin(Duration(10000)), 10);
  EXPECT_EQ(limit(), 100);
}

// Guards against a disturbance that lasts for the 4 s that the platform
// tolerates, of which the reported tail latency lags behind by 500 ms, or that
// two samples of the platform, 2 s apart, see at full strength.
TEST_F(CpuLimitTest, DisturbedEndpointsAreSlowedDownInTime) {
  for (int PhaseMs = 0; PhaseMs < 1200; PhaseMs += 50) {
    setTail(CalmTailMs);
    World.Clock.runFor(Duration(12000 + PhaseMs));
    ASSERT_EQ(limit(), 100);
    setTail(DisturbedTailMs);
    Duration ToFirst = timeToLimit(99);
    EXPECT_LT(ToFirst, Duration(1500)) << PhaseMs;
    EXPECT_LT(ToFirst + timeToLimit(0), Duration(3000)) << PhaseMs;
  }
}

// Guards against slow reactions where the tail latency is close to its target,
// not known, or where the limit is still lowered.
TEST_F(CpuLimitTest, EndpointsThatMayNeedAnotherLimitAreRenewedOften) {
  constexpr Duration Span(2000);
  constexpr int64_t OftenInSpan = 4;
  EXPECT_GE(renewalsWithin(Span), OftenInSpan) << "not known";
  setTail(TailTarget.count() * 7 / 10);
  World.Clock.runFor(Duration(1200));
  EXPECT_GE(renewalsWithin(Span), OftenInSpan) << "close";
  setTail(DisturbedTailMs);
  World.Clock.runFor(Duration(3000));
  setTail(CalmTailMs);
  World.Clock.runFor(Duration(500));
  ASSERT_LT(limit(), 100);
  EXPECT_GE(renewalsWithin(Span), OftenInSpan) << "lowered";
}

} // namespace
} // namespace teaselwalk::cell::testing
