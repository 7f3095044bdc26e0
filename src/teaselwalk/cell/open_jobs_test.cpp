#include "teaselwalk/cell/open_jobs.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace teaselwalk::cell {
namespace {

JobProgress jobOf(int Number, const std::string &Queue) {
  JobSpec Spec;
  Spec.Id = JobId(std::to_string(Number));
  Spec.Queue = Queue;
  return JobProgress(Spec);
}

// Guards against a number of pending jobs that differs from the jobs.
TEST(OpenJobsTest, CountsPendingJobsLikeAWalkOverAllJobs) {
  const std::vector<std::string> Queues{"quick", "batch"};
  std::mt19937 Random(20261205);
  std::deque<JobProgress> Jobs;
  std::vector<bool> IsOpen;
  OpenJobs Open;
  for (int Round = 0; Round < 5000; ++Round) {
    size_t Index = Jobs.empty() ? 0 : Random() % Jobs.size();
    uint32_t Action = Jobs.empty() ? 0 : Random() % 4;
    if (Action == 0) {
      Jobs.push_back(jobOf(Round, Queues[Random() % Queues.size()]));
      Jobs.back().IsStarted = Random() % 4 == 0;
      IsOpen.push_back(true);
      Open.add(Jobs.back());
    } else if (Action == 1) {
      IsOpen[Index] = false;
      Open.remove(Jobs[Index]);
    } else {
      Open.markStarted(Jobs[Index]);
      EXPECT_TRUE(Jobs[Index].IsStarted);
    }
    for (const std::string &Queue : Queues) {
      int64_t Count = 0;
      for (size_t I = 0; I < Jobs.size(); ++I)
        Count += IsOpen[I] && !Jobs[I].IsStarted && Jobs[I].Spec.Queue == Queue;
      ASSERT_EQ(Open.pending(Queue), Count) << "round " << Round;
    }
  }
  EXPECT_EQ(Open.pending("unknown"), 0);
}

} // namespace
} // namespace teaselwalk::cell
