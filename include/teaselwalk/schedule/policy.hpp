#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/time.hpp"

#include <vector>

namespace teaselwalk::schedule {

struct SchedulerState;
struct Placement;

/// How queued tasks are ordered and placed. `Fair` serves teams by weighted
/// dominant share, with reservations, backfill and preemption. `FirstFitFcfs`
/// is a baseline for measurements: strict order of arrival, first endpoint in
/// id order, no fairness, no backfill.
enum class Policy { Fair, FirstFitFcfs };

constexpr std::array<EnumName<Policy>, 2> PolicyNames = {{
    {Policy::Fair, "fair"},
    {Policy::FirstFitFcfs, "first_fit_fcfs"},
}};

/// The implementation of one policy.
struct PolicyFunctions {
  Policy Value;
  /// Appends the tasks to start to \p Out. Returns true if the limit
  /// `SchedulerOptions::MaxStartsPerDecision` cut the decision short.
  bool (*Decide)(SchedulerState &State, TimePoint Now,
                 std::vector<Placement> &Out);
  bool CanReclaim; ///< Whether running tasks are preempted.
};

const PolicyFunctions &functionsOf(Policy Value);

} // namespace teaselwalk::schedule
