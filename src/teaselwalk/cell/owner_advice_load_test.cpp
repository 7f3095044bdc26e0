#include "testing/fake_world.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell::testing {
namespace {

/// Longest time from the start of a world until its first owner schedules.
constexpr Duration SettleTime{1500};
constexpr int JobCount = 300;
/// Room for the tasks of all jobs.
constexpr int64_t LargeRoom = int64_t{1000} * JobCount;
constexpr Resources LargeCapacity{LargeRoom, LargeRoom, 0, 0, 0};
/// Processes through which all jobs can ask within a short time.
constexpr int ManyRoutes = 20;
/// Longest time until the service has answered all jobs.
constexpr Duration AnswerTime{3000};
/// Longest time until the owner has read an entry of the discovery list.
constexpr Duration RelistTime{800};
/// Longest time until a step that could not be placed anywhere uses new room.
constexpr Duration NoticeTime{400};
/// Upper limit of the searches in 2 s: one each 20 ms, and one each 5 ms.
constexpr int64_t MaxPlans = 2000 / 20 + 2000 / 5;
constexpr Resources Capacity{8000, 8000, 0, 0, 0};

class OwnerAdviceLoadTest : public ::testing::Test {
protected:
  void begin(int Endpoints, int Processes = 1) {
    World.requireAdvice();
    World.addEndpoints(Endpoints, Capacity);
    World.addProcesses(Processes);
    World.Clock.runFor(SettleTime);
    ASSERT_LT(World.ownerIndex(), World.Processes.size());
  }

  void submitJobs(const StepSpec &Step) {
    for (int I = 1; I <= JobCount; ++I)
      World.send(0, CallerAction::Submit, World.job(I, {Step}));
  }
  void submitJobs(int MilliCpu) { submitJobs(World.step(1, MilliCpu)); }

  /// Submits jobs that are soon refused by all endpoints but \p Allowed.
  void submitJobsThatOnlyMayRunOn(const EndpointId &Allowed) {
    World.Advisory.Allows = [Allowed](const StepKey &, const EndpointId &Id) {
      return Id == Allowed;
    };
    submitJobs(1000);
    World.Clock.runFor(AnswerTime);
    ASSERT_GE(World.Advisory.Requests.size(), static_cast<size_t>(JobCount));
  }

  /// How often the owner has looked at all endpoints for an advice request.
  int64_t plans() { return ownerCount("advice_plans"); }

  int64_t ownerCount(const char *Name) {
    return World.Processes[World.ownerIndex()]->Log.Counts[Name];
  }

  /// Starts of the tasks of `submitJobs`.
  int starts() const {
    int Total = 0;
    for (const auto &[Task, Count] : World.Cluster.StartsOf)
      Total += std::stoi(Task.Job.str(), nullptr, 16) <= JobCount ? Count : 0;
    return Total;
  }

  /// How often the owner has examined an endpoint with room for a plan.
  int64_t examined() { return ownerCount("advice_endpoints_examined"); }

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
  int64_t ExaminedBefore = examined();
  World.Clock.runFor(Duration(2000));
  // One search for each scheduling pass of 15 ms at most.
  EXPECT_LE(plans() - Before, 2000 / 15);
  EXPECT_EQ(examined(), ExaminedBefore);
  EXPECT_EQ(World.Cluster.Starts, 8);
}

// Guards against passes that grow with the number of steps whose required
// label no endpoint has.
TEST_F(OwnerAdviceLoadTest, StepsWithoutALabelledEndpointShareTheirSearches) {
  begin(8);
  StepSpec Step = World.step(1);
  Step.RequiredLabel = "fast";
  submitJobs(Step);
  World.Clock.runFor(Duration(2000));
  EXPECT_LE(plans(), MaxPlans);
  EXPECT_TRUE(World.Advisory.Requests.empty());
}

// Guards against passes that grow with the number of steps which all endpoints
// with room have refused.
TEST_F(OwnerAdviceLoadTest, StepsThatAreRefusedEverywhereShareTheirSearches) {
  World.Advisory.Base = Duration(1);
  begin(8);
  submitJobsThatOnlyMayRunOn(EndpointId("none"));
  int64_t Before = plans();
  World.Clock.runFor(Duration(2000));
  EXPECT_LE(plans() - Before, MaxPlans);
  EXPECT_EQ(starts(), 0);
}

// Guards against steps that wait long after an endpoint has got the label which
// they require.
TEST_F(OwnerAdviceLoadTest, ALabelThatAppearsIsUsedSoon) {
  World.Advisory.Base = Duration(1);
  World.addEndpoints(1, LargeCapacity);
  begin(8, ManyRoutes);
  World.Cluster.DefaultWork.Length = Duration(60000);
  StepSpec Step = World.step(1);
  Step.RequiredLabel = "fast";
  submitJobs(Step);
  World.Clock.runFor(AnswerTime);
  EndpointId Fast("e0");
  World.Cluster.Machines[Fast].Info.Labels.emplace_back("fast");
  World.listEndpoint(Fast);
  World.Clock.runFor(RelistTime + NoticeTime);
  EXPECT_EQ(starts(), JobCount);
}

// Guards against steps that wait long for a new endpoint after all others have
// refused them.
TEST_F(OwnerAdviceLoadTest, ANewEndpointIsAskedAboutSoon) {
  World.Advisory.Base = Duration(1);
  begin(8, ManyRoutes);
  World.Cluster.DefaultWork.Length = Duration(60000);
  submitJobsThatOnlyMayRunOn(EndpointId("e8"));
  World.addEndpoints(1, LargeCapacity);
  World.Clock.runFor(RelistTime + NoticeTime);
  EXPECT_EQ(starts(), JobCount);
}

// Guards against steps that wait long for room on an endpoint that was full
// when all others refused them.
TEST_F(OwnerAdviceLoadTest, RoomOnAFullEndpointIsUsedSoon) {
  World.Advisory.Base = Duration(1);
  World.addEndpoints(1, LargeCapacity);
  begin(8, ManyRoutes);
  World.Cluster.DefaultWork.Length = Duration(60000);
  JobSpec Long = World.job(JobCount + 1, {World.step(1, LargeRoom)});
  World.Cluster.Work[{Long.Id, 0, 0, 0}].Length = AnswerTime + Duration(1000);
  World.send(0, CallerAction::Submit, Long);
  World.Clock.runFor(Duration(500));
  ASSERT_EQ(World.Cluster.Starts, 1);
  submitJobsThatOnlyMayRunOn(EndpointId("e0"));
  ASSERT_EQ(starts(), 0);
  World.Clock.runFor(Duration(500) + NoticeTime);
  EXPECT_EQ(starts(), JobCount);
}

// Guards against steps that wait long after the end of an evacuation because
// all other endpoints have refused them.
TEST_F(OwnerAdviceLoadTest, AnEvacuationThatEndsIsNoticedSoon) {
  World.Advisory.Base = Duration(1);
  World.Store.put(std::string(EvacuationPrefix) + "dc-a", "1");
  World.addEndpoints(1, LargeCapacity);
  begin(8, ManyRoutes);
  World.Cluster.DefaultWork.Length = Duration(60000);
  submitJobsThatOnlyMayRunOn(EndpointId("e0"));
  ASSERT_EQ(starts(), 0);
  World.Store.remove(std::string(EvacuationPrefix) + "dc-a");
  World.Clock.runFor(NoticeTime);
  EXPECT_EQ(starts(), JobCount);
}

} // namespace
} // namespace teaselwalk::cell::testing
