#include "teaselwalk/schedule/endpoint_health.hpp"

#include <gtest/gtest.h>

#include <string>

namespace teaselwalk::schedule {
namespace {

const EndpointId Bad("bad");

/// Failures of five distinct tasks from two jobs: just enough for an ejection.
void failFiveTimes(EndpointHealth &Health, const EndpointId &Where,
                   TimePoint Now) {
  for (int I = 0; I < 5; ++I)
    Health.failed(Where, TaskId("t" + std::to_string(I)),
                  JobId("j" + std::to_string(I % 2)), Now);
}

// Guards against an endpoint that stays in use although it fails every task,
// and against one that is probed too often or too seldom while it keeps
// failing.
TEST(EndpointHealthTest, EjectedForTenSecondsDoublingToFiveMinutes) {
  EndpointHealth Health;
  TimePoint Now = timeAt(0);
  failFiveTimes(Health, Bad, Now);
  Duration Expected(10000);
  for (int Round = 0; Round < 8; ++Round) {
    EXPECT_EQ(Health.nextProbe(), Now + Expected);
    EXPECT_EQ(Health.state(Bad, Now + Expected - Duration(1)),
              HealthState::Ejected);
    Now += Expected;
    ASSERT_EQ(Health.state(Bad, Now), HealthState::ProbeDue);
    Health.probeStarted(Bad, Now);
    EXPECT_EQ(Health.state(Bad, Now), HealthState::Ejected);
    Health.failed(Bad, TaskId("trial"), JobId("trial"), Now);
    Expected = std::min(Expected * 2, Duration(300000));
  }
}

// Guards against an endpoint that stays ejected after it recovered, and against
// one that comes back because work from before the ejection succeeds.
TEST(EndpointHealthTest, SuccessfulProbeEndsEjection) {
  EndpointHealth Health;
  failFiveTimes(Health, Bad, timeAt(0));
  Health.succeeded(Bad, TaskId("older"), JobId("j0"));
  EXPECT_EQ(Health.state(Bad, timeAt(1)), HealthState::Ejected);
  Health.probeStarted(Bad, timeAt(10000));
  Health.succeeded(Bad, TaskId("trial"), JobId("j0"));
  EXPECT_EQ(Health.state(Bad, timeAt(10001)), HealthState::Healthy);
}

// Guards against an ejection after failures with successes in between.
TEST(EndpointHealthTest, SuccessResetsTheCount) {
  EndpointHealth Health;
  for (int I = 0; I < 20; ++I) {
    Health.failed(Bad, TaskId("t" + std::to_string(I)),
                  JobId("j" + std::to_string(I)), timeAt(I));
    if (I % 4 == 3)
      Health.succeeded(Bad, TaskId("ok"), JobId("ok"));
  }
  EXPECT_EQ(Health.state(Bad, timeAt(20)), HealthState::Healthy);
}

// Guards against a faulty job, or a faulty call that is retried everywhere,
// that gets every endpoint ejected.
TEST(EndpointHealthTest, FaultyJobEjectsNoEndpoint) {
  EndpointHealth Health;
  for (int I = 0; I < 200; ++I)
    Health.failed(EndpointId("e" + std::to_string(I / 10)),
                  TaskId("faulty/" + std::to_string(I)), JobId("faulty"),
                  timeAt(I));
  // A quick call, which belongs to no job, is retried on every endpoint.
  for (int I = 0; I < 20; ++I)
    for (int Again = 0; Again < 5; ++Again)
      Health.failed(EndpointId("e" + std::to_string(I)), TaskId("call/1"),
                    JobId(), timeAt(300));
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(Health.state(EndpointId("e" + std::to_string(I)), timeAt(300)),
              HealthState::Healthy);
}

// Guards against a faulty endpoint that stays in use because all its failures
// come from one large job, which might have been at fault itself.
TEST(EndpointHealthTest, OneJobCountsIfItSucceededElsewhere) {
  EndpointHealth Health;
  Health.succeeded(EndpointId("good"), TaskId("job/0"), JobId("job"));
  for (int I = 1; I <= 5; ++I)
    Health.failed(Bad, TaskId("job/" + std::to_string(I)), JobId("job"),
                  timeAt(I));
  EXPECT_EQ(Health.state(Bad, timeAt(6)), HealthState::Ejected);
}

} // namespace
} // namespace teaselwalk::schedule
