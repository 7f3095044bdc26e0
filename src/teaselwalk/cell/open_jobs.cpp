#include "teaselwalk/cell/open_jobs.hpp"

#include <utility>

namespace teaselwalk::cell {

void OpenJobs::add(const JobProgress &Job) {
  if (Ids.insert(Job.Spec.Id).second && !Job.IsStarted)
    ++Pending[Job.Spec.Queue];
}

void OpenJobs::remove(const JobProgress &Job) {
  if (Ids.erase(Job.Spec.Id) != 0 && !Job.IsStarted)
    --Pending[Job.Spec.Queue];
}

void OpenJobs::markStarted(JobProgress &Job) {
  bool WasStarted = std::exchange(Job.IsStarted, true);
  if (!WasStarted && Ids.count(Job.Spec.Id) != 0)
    --Pending[Job.Spec.Queue];
}

int64_t OpenJobs::pending(const std::string &Queue) const {
  auto Found = Pending.find(Queue);
  return Found == Pending.end() ? 0 : Found->second;
}

} // namespace teaselwalk::cell
