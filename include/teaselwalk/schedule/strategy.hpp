#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/time.hpp"

#include <vector>

namespace teaselwalk::schedule {

struct SchedulerState;
struct Placement;

/// How tasks are ordered and placed. `FirstFitFcfs` is a baseline for
/// measurements: strict order of arrival, first endpoint in id order, no
/// fairness, no backfill.
enum class Policy { Fair, FirstFitFcfs };

constexpr std::array<EnumName<Policy>, 2> PolicyNames = {{
    {Policy::Fair, "fair"},
    {Policy::FirstFitFcfs, "first_fit_fcfs"},
}};

/// One row of the table of policies.
struct Strategy {
  Policy Value;
  /// Appends starts; true if the batch limit cut the decision short.
  bool (*Decide)(SchedulerState &State, TimePoint Now,
                 std::vector<Placement> &Out);
  bool Reclaims; ///< Whether running tasks are stopped for others.
};

const Strategy &strategyOf(Policy Value);

} // namespace teaselwalk::schedule
