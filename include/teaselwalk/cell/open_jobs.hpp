#pragma once

#include "teaselwalk/cell/job_progress.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace teaselwalk::cell {

/// Ids of the jobs that have not ended, with the number of pending ones: those
/// of which no task has started.
class OpenJobs {
public:
  void add(const JobProgress &Job);
  void remove(const JobProgress &Job);
  /// An endpoint has started a task of \p Job.
  void markStarted(JobProgress &Job);

  int64_t pending(const std::string &Queue) const;
  size_t size() const { return Ids.size(); }
  auto begin() const { return Ids.begin(); }
  auto end() const { return Ids.end(); }

private:
  std::unordered_set<JobId> Ids;
  std::unordered_map<std::string, int64_t> Pending; ///< By queue.
};

} // namespace teaselwalk::cell
