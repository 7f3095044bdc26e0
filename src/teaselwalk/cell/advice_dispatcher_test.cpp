#include "teaselwalk/cell/advice_dispatcher.hpp"

#include "testing/fake_clock.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace teaselwalk::cell::testing {
namespace {

/// Records through which process each request goes. The test answers it by
/// calling `Done`.
class ManualAdvisor : public Advisor {
public:
  void ask(const protocol::Address &Through, const StepKey &Step,
           const std::vector<EndpointId> &Candidates, Duration,
           std::function<void(Advice)> Done) override {
    Asked.push_back(
        {Through.Port, Step.Job.str(), Candidates, std::move(Done)});
  }
  struct Row {
    uint16_t Port;
    std::string Job;
    std::vector<EndpointId> Candidates;
    std::function<void(Advice)> Done;
  };
  std::vector<Row> Asked;
};

class AdviceDispatcherTest : public ::testing::Test {
protected:
  void ask(const char *Job, int64_t ExpectedMs, int64_t Deadline,
           AdviceRequest Next = {}) {
    Next.Step = {JobId(Job), 0, 0};
    Next.Expected = Duration(ExpectedMs);
    Next.Deadline = timeAt(Deadline);
    Next.Candidates = [this] { return Candidates; };
    Dispatcher.ask(std::move(Next),
                   [this](const std::vector<EndpointId> &, const Advice &A) {
                     Outcomes.push_back(A.Outcome);
                   });
  }

  /// Answers the latest request.
  void answer() {
    AdvisoryService.Asked.back().Done({AdviceOutcome::Answered, {}, {}});
  }
  std::string latest() const { return AdvisoryService.Asked.back().Job; }

  static AdviceRequest ofUrgency(AdviceUrgency Urgency) {
    AdviceRequest Next;
    Next.Urgency = Urgency;
    return Next;
  }

  FakeClock Clock;
  ManualAdvisor AdvisoryService;
  FakeRecorder Log;
  AdviceDispatcher Dispatcher{Clock, AdvisoryService, Log};
  std::vector<EndpointId> Candidates{EndpointId("e1")};
  std::vector<AdviceOutcome> Outcomes;
};

// Guards against a route and a step that wait for ever because the end of a
// call is never reported (issue 44).
TEST_F(AdviceDispatcherTest, ACallWithoutAnEndIsSentAgainAndGivenUp) {
  Dispatcher.setRoutes({{}, {"p", 1}});
  ask("a", 20, 5000);
  for (int Call = 1; Call <= 3; ++Call) {
    EXPECT_EQ(AdvisoryService.Asked.size(), static_cast<size_t>(Call));
    EXPECT_TRUE(Outcomes.empty());
    Clock.runFor(Duration(1100));
    Dispatcher.endOverdue();
  }
  ASSERT_EQ(Outcomes.size(), 1U);
  EXPECT_EQ(Outcomes.front(), AdviceOutcome::Unknown);
  // A late end changes nothing.
  answer();
  EXPECT_EQ(Outcomes.size(), 1U);
}

// Guards against two open requests of one process: the service would answer
// them one after the other.
TEST_F(AdviceDispatcherTest, SendsOneRequestPerProcess) {
  Dispatcher.setRoutes({{}, {"p", 1}});
  ask("a", 20, 5000);
  ask("b", 20, 5000);
  ask("c", 20, 5000);
  ASSERT_EQ(AdvisoryService.Asked.size(), 2U);
  EXPECT_NE(AdvisoryService.Asked[0].Port, AdvisoryService.Asked[1].Port);
  AdvisoryService.Asked[0].Done({AdviceOutcome::Answered, {}, {}});
  EXPECT_EQ(AdvisoryService.Asked.size(), 3U);
}

// Guards against a short request that waits behind long ones.
TEST_F(AdviceDispatcherTest, KeepsARouteForShortRequests) {
  Dispatcher.setRoutes({{}, {"p", 1}, {"p", 2}});
  for (const char *Job : {"a", "b", "c", "d"})
    ask(Job, 500, 5000);
  EXPECT_EQ(AdvisoryService.Asked.size(), 2U);
  ask("short", 20, 9000);
  ASSERT_EQ(AdvisoryService.Asked.size(), 3U);
  EXPECT_EQ(AdvisoryService.Asked[2].Job, "short");
}

// Guards against a request that is lost because the process it was asked
// through cannot reach the service.
TEST_F(AdviceDispatcherTest, RepeatsThroughAnotherProcess) {
  Dispatcher.setRoutes({{}, {"p", 1}});
  ask("a", 20, 5000);
  uint16_t First = AdvisoryService.Asked[0].Port;
  AdvisoryService.Asked[0].Done({});
  EXPECT_TRUE(Outcomes.empty());
  ASSERT_EQ(AdvisoryService.Asked.size(), 2U);
  EXPECT_NE(AdvisoryService.Asked[1].Port, First);
  AdvisoryService.Asked[1].Done({AdviceOutcome::Answered, {}, {}});
  EXPECT_EQ(Outcomes, std::vector<AdviceOutcome>{AdviceOutcome::Answered});
}

// Guards against a request that names endpoints which have filled up while it
// waited for a route, and against one that is sent although its step no longer
// needs it.
TEST_F(AdviceDispatcherTest, ChoosesTheEndpointsWhenARouteIsFree) {
  Dispatcher.setRoutes({{}});
  ask("a", 20, 5000);
  ask("b", 20, 5000);
  ask("c", 20, 6000);
  Candidates = {EndpointId("e2"), EndpointId("e3")};
  AdvisoryService.Asked[0].Done({AdviceOutcome::Answered, {}, {}});
  ASSERT_EQ(AdvisoryService.Asked.size(), 2U);
  EXPECT_EQ(AdvisoryService.Asked[1].Candidates, Candidates);
  Candidates.clear();
  AdvisoryService.Asked[1].Done({AdviceOutcome::Answered, {}, {}});
  Clock.runFor(Duration(1));
  EXPECT_EQ(AdvisoryService.Asked.size(), 2U);
  ASSERT_EQ(Outcomes.size(), 3U);
  EXPECT_EQ(Outcomes[2], AdviceOutcome::Dropped);
}

// Guards against requests that wait for ever because all routes pause after
// lost requests.
TEST_F(AdviceDispatcherTest, UsesARouteAgainAfterItsPause) {
  Dispatcher.setRoutes({{}});
  ask("a", 20, 5000);
  AdvisoryService.Asked[0].Done({});
  EXPECT_EQ(AdvisoryService.Asked.size(), 1U);
  Clock.runFor(Duration(1500));
  EXPECT_EQ(AdvisoryService.Asked.size(), 2U);
}

// Guards against late requests with early deadlines that make all others late.
TEST_F(AdviceDispatcherTest, SendsWhatIsStillInTimeFirst) {
  Dispatcher.setRoutes({{}});
  ask("busy", 20, 5000);
  AdviceRequest Expiring;
  Expiring.InTimeUntil = Clock.now() + Duration(100);
  ask("late", 20, 5000, Expiring);
  AdviceRequest Useless;
  Useless.UsefulUntil = Clock.now() + Duration(100);
  ask("worthless", 20, 4000, Useless);
  ask("over rate", 20, 3000, ofUrgency(AdviceUrgency::OverRate));
  ask("in time", 20, 9000);
  ask("restart", 20, 9000, ofUrgency(AdviceUrgency::Restart));
  Clock.runFor(Duration(200));
  for (const char *Next :
       {"restart", "in time", "late", "over rate", "worthless"}) {
    answer();
    EXPECT_EQ(latest(), Next);
  }
}

// Guards against a request that is never sent while more urgent ones arrive.
TEST_F(AdviceDispatcherTest, SendsTheOldestRequestWhileMoreUrgentOnesArrive) {
  Dispatcher.setRoutes({{}});
  ask("busy", 20, 5000);
  ask("worthless", 20, 5000, ofUrgency(AdviceUrgency::Worthless));
  for (int I = 0; I < 100 && latest() != "worthless"; ++I) {
    Clock.runFor(Duration(1));
    ask("in time", 20, 1000);
    answer();
  }
  EXPECT_EQ(latest(), "worthless");
}

// Guards against old short requests that take the turn of an old long one.
TEST_F(AdviceDispatcherTest, SendsTheOldestLongRequestBesideShortOnes) {
  Dispatcher.setRoutes({{}, {"p", 1}});
  ask("long", 500, 5000);
  ask("worthless", 500, 5000, ofUrgency(AdviceUrgency::Worthless));
  bool IsSent = false;
  for (int I = 0; I < 2000 && !IsSent; ++I) {
    Clock.runFor(Duration(20));
    ask("short", 20, 1000);
    ask("long", 500, 1000);
    size_t Open = AdvisoryService.Asked.size();
    for (size_t R = std::max<size_t>(Open, 2) - 2; R < Open; ++R)
      if (auto Done = std::exchange(AdvisoryService.Asked[R].Done, nullptr))
        Done({AdviceOutcome::Answered, {}, {}});
    IsSent =
        std::any_of(AdvisoryService.Asked.begin(), AdvisoryService.Asked.end(),
                    [](const auto &Row) { return Row.Job == "worthless"; });
  }
  EXPECT_TRUE(IsSent);
}

// Guards against long requests that wait although reserved routes are idle.
TEST_F(AdviceDispatcherTest, LongRequestsUseIdleReservedRoutesExceptOne) {
  Dispatcher.setRoutes({{}, {"p", 1}, {"p", 2}, {"p", 3}, {"p", 4}, {"p", 5}});
  ask("short", 20, 9000);
  answer();
  for (int I = 0; I < 8; ++I)
    ask("long", 500, 5000);
  EXPECT_EQ(AdvisoryService.Asked.size(), 5U);
  Clock.runFor(Duration(1300));
  EXPECT_EQ(AdvisoryService.Asked.size(), 6U);
  ask("short", 20, 9000);
  EXPECT_EQ(latest(), "short");
  ask("second short", 20, 1000);
  EXPECT_EQ(AdvisoryService.Asked.size(), 7U);
  AdvisoryService.Asked[1].Done({AdviceOutcome::Answered, {}, {}});
  EXPECT_EQ(latest(), "second short");
}

// Guards against pauses that grow although no other route could be used
// meanwhile.
TEST_F(AdviceDispatcherTest, TriesEachSecondWhileNoRouteIsAnswered) {
  Dispatcher.setRoutes({{}});
  for (int I = 0; I < 20; ++I)
    ask("a", 20, 5000);
  for (int Second = 0; Second < 10; ++Second) {
    AdvisoryService.Asked.back().Done({});
    size_t Before = AdvisoryService.Asked.size();
    Clock.runFor(Duration(1200));
    EXPECT_EQ(AdvisoryService.Asked.size(), Before + 1);
  }
}

// Guards against a crowd of short requests of which all become late because
// long ones, which take the service twenty times as long, go first.
TEST_F(AdviceDispatcherTest, PrefersLateShortRequestsIfAskedTo) {
  Dispatcher.preferShortRequests();
  Dispatcher.setRoutes({{}});
  ask("first", 20, 1000);
  AdviceRequest Late;
  Late.InTimeUntil = Clock.now();
  ask("long", 500, 500);
  ask("short", 20, 9000, Late);
  Clock.runFor(Duration(100));
  answer();
  EXPECT_EQ(latest(), "short");
  answer();
  EXPECT_EQ(latest(), "long");
}

} // namespace
} // namespace teaselwalk::cell::testing
