#pragma once

#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/cell/endpoint_table.hpp"
#include "teaselwalk/cell/job_progress.hpp"

#include <cstddef>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace teaselwalk::cell {

/// A step with waiting tasks, and what decides when it is placed.
struct BacklogStep {
  JobProgress *Job = nullptr;
  StepKey Key;
  bool IsRestart = false;   ///< As `Owner::isRestart`.
  bool IsWorthless = false; ///< So late that its result has no value.
  bool IsOverRate = false;  ///< Submitted beyond the rate of its team.
  bool IsLate = false;      ///< As `Owner::isLate`.
  int32_t Priority = 0;
  bool IsMissed = false; ///< The job ends after its objective in any case.
  TimePoint Objective;

  /// The order in which steps are placed.
  friend bool operator<(const BacklogStep &A, const BacklogStep &B) {
    return std::tie(B.IsRestart, A.IsWorthless, A.IsOverRate, A.IsLate,
                    A.Priority, A.IsMissed, A.Objective, A.Key) <
           std::tie(A.IsRestart, B.IsWorthless, B.IsOverRate, B.IsLate,
                    B.Priority, B.IsMissed, B.Objective, B.Key);
  }
};

/// What one scheduling pass has found out. Room only shrinks in a pass.
struct PassState {
  /// Needs for which no endpoint had room, by service.
  std::unordered_map<std::string, std::vector<Resources>> Failed;
  size_t OverdueStarts = 0; ///< Those in `OpenStarts` that do not count.
};

} // namespace teaselwalk::cell
