#include "testing/fake_world.hpp"

#include "teaselwalk/cell/keys.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace teaselwalk::cell::testing {
namespace {

using ProcessorTime = FakeProcessClock::ProcessorTime;

constexpr int EndpointCount = 200;
constexpr int LastingJobs = 20;
constexpr Duration RunTime{300};
/// Between two jobs; keeps the processor 70% busy.
constexpr Duration NormalInterval{10};

/// One process whose work takes processor time, a stream of small jobs that
/// other processes accept, and lasting jobs.
class OwnerOverloadTest : public ::testing::Test {
protected:
  void SetUp() override {
    World.addEndpoints(EndpointCount);
    World.addProcesses(1);
    World.Clock.runFor(Duration(1500));
    World.Cluster.DefaultWork.Length = RunTime;
    for (int I = 0; I < LastingJobs; ++I) {
      JobSpec Job = World.job(++JobCount, {FakeWorld::step(1)});
      Job.Steps[0].Service = true;
      Lasting.push_back({Job.Id, 0, 0, 0});
      World.Cluster.Work[Lasting.back()].RunsUntilStopped = true;
      submit(Job);
    }
    World.Clock.runFor(Duration(1000));
    process().Log.KeepsLines = true;
    process().Clock.WorkTime = ProcessorTime(200);
    process().Clock.RequestTime = ProcessorTime(200);
    process().Clock.StartTime = ProcessorTime(1200);
    load(Duration(6000), NormalInterval);
  }

  FakeProcess &process() { return *World.Processes.front(); }

  void submit(JobSpec Job) {
    Job.Queue = World.Config.Queues.front().Name;
    Job.Policy = World.Config.Queues.front().Policy;
    Job.AcceptedMs = World.Clock.wallMillis();
    World.Cluster.Jobs[Job.Id] = Job;
    World.Store.put(jobKey(Job.Id), encodeJob(Job));
    AcceptedAt[Job.Id.str()] = World.Clock.now();
  }

  /// Submits a job every \p Interval.
  void load(Duration Length, Duration Interval) {
    TimePoint End = World.Clock.now() + Length;
    while (World.Clock.now() < End) {
      submit(World.job(++JobCount,
                       {FakeWorld::step(2), FakeWorld::step(1, 1000, {0})}));
      World.Clock.runFor(Interval);
    }
  }

  /// Number of released tasks by reason.
  std::map<std::string, int> lostRuns() {
    std::map<std::string, int> Count;
    for (const auto &[Name, Fields] : process().Log.Lines)
      if (Name == EventName::RunLost)
        ++Count[Fields.back().second];
    return Count;
  }

  /// 95th percentile of the time from acceptance to completion.
  Duration latency(TimePoint From, TimePoint Until) {
    std::map<std::string, Duration> AgeOf;
    for (const auto &[Name, Fields] : process().Log.Lines)
      if (Name == EventName::JobFinished)
        AgeOf[Fields[0].second] = Duration(std::stoll(Fields[2].second));
    std::vector<Duration> Ages;
    for (const auto &[Id, At] : AcceptedAt)
      if (At >= From && At < Until)
        Ages.push_back(AgeOf.count(Id) != 0 ? AgeOf[Id] : Duration::max());
    std::sort(Ages.begin(), Ages.end());
    return Ages[Ages.size() * 95 / 100];
  }

  void expectNothingLost() {
    EXPECT_EQ(process().Log.Counts["orders_failed"], 0);
    for (const auto &[Why, Count] : lostRuns())
      ADD_FAILURE() << Count << " tasks released: " << Why;
    for (const TaskKey &Key : Lasting)
      EXPECT_EQ(World.Cluster.StartsOf[Key], 1) << textOf(Key);
    for (const auto &[Id, Job] : World.Cluster.Jobs)
      EXPECT_TRUE(
          Job.Steps[0].Service ||
          World.Cluster.isDone(Id, static_cast<int32_t>(Job.Steps.size()) - 1))
          << Id;
    EXPECT_EQ(World.violations(), "");
  }

  FakeWorld World;
  std::vector<TaskKey> Lasting;
  std::map<std::string, TimePoint> AcceptedAt;
  int JobCount = 0;
};

// Guards against an overload that feeds itself: a burst makes answers to starts
// late, each late answer counts as lost, costs a higher fencing token and a
// renewal, and its task is released and placed again.
TEST_F(OwnerOverloadTest, ABurstReleasesNoTasks) {
  TimePoint Burst = World.Clock.now();
  load(Duration(4000), NormalInterval * 3 / 10);
  TimePoint After = World.Clock.now();
  load(Duration(20000), NormalInterval);
  EXPECT_LT(latency(Burst, After), Duration(5000));
  World.Clock.runFor(Duration(5000));
  expectNothingLost();
}

// Guards against work that stays late after a burst that was a little too much.
TEST_F(OwnerOverloadTest, IsBackToNormalSoonAfterABurst) {
  TimePoint Before = World.Clock.now();
  load(Duration(4000), NormalInterval * 5 / 9);
  TimePoint After = World.Clock.now();
  load(Duration(10000), NormalInterval);
  Duration Normal = latency(Before - Duration(5000), Before - Duration(1000));
  EXPECT_LT(latency(After + Duration(5000), After + Duration(8000)),
            Normal * 5 / 4);
  World.Clock.runFor(Duration(5000));
  expectNothingLost();
}

} // namespace
} // namespace teaselwalk::cell::testing
