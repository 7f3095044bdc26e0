#include "testing/owner_fixture.hpp"

#include "teaselwalk/cell/job_progress.hpp"
#include "teaselwalk/cell/keys.hpp"

#include <vector>

namespace teaselwalk::cell::testing {
namespace {

using ProcessorTime = FakeProcessClock::ProcessorTime;

constexpr int EndedJobs = 3000;
constexpr int OpenJobCount = 20;
/// Processor time to read one record; each job has two.
constexpr ProcessorTime RecordTime{1000};

/// Processes of which each needs processor time to read stored records, and a
/// store with many records of ended jobs.
class TakeoverLoadTest : public OwnerTest {
protected:
  void SetUp() override {
    begin(6, 4);
    First = World.ownerIndex();
    for (auto &Process : World.Processes) {
      Process->Clock.WorkTime = ProcessorTime(10);
      Process->Log.OnCount = [Each = Process.get()](const std::string &Name,
                                                    int64_t Amount) {
        if (Name == "records_loaded")
          Each->Clock.spend(RecordTime * Amount);
      };
    }
    for (int I = 1; I <= EndedJobs; ++I)
      Ended.push_back(storeEndedJob(I));
  }

  JobSpec storeEndedJob(int Number) {
    JobSpec Job = World.job(Number, {World.step(3), World.step(2, 500, {0})});
    Job.Queue = World.Config.Queues.front().Name;
    Job.Team = World.Config.Teams.front().Name;
    Job.Policy = World.Config.Queues.front().Policy;
    Job.AcceptedMs = World.Clock.wallMillis();
    JobProgress Progress(Job);
    for (auto &[Number, Occurrence] : Progress.Occurrences)
      for (size_t S = 0; S < Job.Steps.size(); ++S)
        for (TaskProgress &Task : Occurrence.Steps[S].Tasks)
          Progress.complete(Occurrence, S, Task);
    Progress.Status = JobPhase::Completed;
    Progress.EndedMs = World.Clock.wallMillis();
    Progress.Version = 4;
    World.Cluster.Jobs[Job.Id] = Job;
    World.Store.put(jobKey(Job.Id), encodeJob(Job));
    World.Store.put(stateKey(Job.Id), Progress.encode());
    return Job;
  }

  int countOf(EventName Name) {
    int Count = 0;
    for (auto &Process : World.Processes)
      if (Process)
        Count += Process->Log.Events[Name];
    return Count;
  }

  std::vector<JobSpec> Ended;
  size_t First = 0;
};

// Guards against a takeover that takes longer than others wait for the new
// owner, which then is replaced before it is ready, again and again (issue 26).
TEST_F(TakeoverLoadTest, AnOwnerThatReadsManyRecordsIsNotReplaced) {
  World.kill(First);
  World.Clock.runFor(Duration(20000));
  EXPECT_EQ(countOf(EventName::OwnerClaimed), 1);
  EXPECT_EQ(countOf(EventName::OwnerReady), 1);
}

} // namespace
} // namespace teaselwalk::cell::testing
