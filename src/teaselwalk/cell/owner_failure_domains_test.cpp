#include "testing/owner_fixture.hpp"

#include <map>
#include <set>
#include <string>

namespace teaselwalk::cell::testing {
namespace {

constexpr int EndpointCount = 40;
constexpr int JobCount = 30;
constexpr int TasksPerJob = 6;
constexpr Duration RunTime{500};

/// A stream of small jobs on two data centres.
class OwnerFailureDomainsTest : public OwnerTest {
protected:
  /// Submits the jobs and returns the data centres that each one used.
  std::map<JobId, std::set<std::string>> play(const FeatureSet &Features,
                                              int64_t TargetMs) {
    World.Features = Features;
    World.Config.Queues.front().Policy.Target = Duration(TargetMs);
    World.requireAdvice();
    begin(1, EndpointCount);
    World.Cluster.DefaultWork.Length = RunTime;
    std::map<JobId, std::set<std::string>> Used;
    for (int I = 1; I <= JobCount; ++I) {
      JobSpec Job = World.job(I, {World.step(TasksPerJob, 3000),
                                  World.step(TasksPerJob, 3000, {0})});
      for (StepSpec &Step : Job.Steps)
        Step.Estimate = RunTime;
      World.send(0, CallerAction::Submit, Job);
      for (int Slice = 0; Slice < 20; ++Slice) {
        World.Clock.runFor(Duration(10));
        for (const auto &[Id, M] : World.Cluster.Machines)
          for (const auto &[Key, Run] : M.Running)
            Used[Key.Job].insert(M.Info.DataCentre);
      }
    }
    return Used;
  }

  static size_t spreadJobs(const std::map<JobId, std::set<std::string>> &Used) {
    size_t Count = 0;
    for (const auto &[Job, Centres] : Used)
      Count += Centres.size() > 1 ? 1 : 0;
    return Count;
  }

  static FeatureSet feature() { return FeatureSet::parse("failure_domains"); }
};

// Guards against jobs of which each has a task in the data centre that is lost.
TEST_F(OwnerFailureDomainsTest, JobsWithLittleTimeStayInOneDataCentre) {
  auto Used = play(feature(), 300);
  ASSERT_EQ(Used.size(), static_cast<size_t>(JobCount));
  EXPECT_EQ(spreadJobs(Used), 0U);
  std::map<std::string, int> Jobs;
  for (const auto &[Job, Centres] : Used)
    ++Jobs[*Centres.begin()];
  EXPECT_GE(Jobs["dc-a"], JobCount / 4);
  EXPECT_GE(Jobs["dc-b"], JobCount / 4);
}

// Guards against a change for deployments that did not ask for it.
TEST_F(OwnerFailureDomainsTest, WithoutTheFeatureJobsSpread) {
  EXPECT_GT(spreadJobs(play({}, 300)), 0U);
}

// Guards against jobs that wait for room in their data centre while another one
// has room, or after theirs was lost.
TEST_F(OwnerFailureDomainsTest,
       JobsGoOnElsewhereAfterTheLossOfTheirDataCentre) {
  World.Features = feature();
  World.Config.Queues.front().Policy.Target = Duration(300);
  begin(1, EndpointCount);
  World.Cluster.DefaultWork.Length = RunTime;
  std::vector<JobSpec> Jobs;
  for (int I = 1; I <= 8; ++I) {
    Jobs.push_back(World.job(I, {World.step(TasksPerJob, 3000),
                                 World.step(TasksPerJob, 3000, {0})}));
    World.send(0, CallerAction::Submit, Jobs.back());
  }
  World.Clock.runFor(Duration(250));
  for (auto &[Id, M] : World.Cluster.Machines)
    M.IsPartitioned = M.Info.DataCentre == "dc-a";
  World.Clock.runFor(Duration(20000));
  for (const JobSpec &Job : Jobs)
    EXPECT_TRUE(World.Cluster.isDone(Job.Id, 1)) << Job.Id;
  EXPECT_EQ(World.violations(), "");
}

} // namespace
} // namespace teaselwalk::cell::testing
