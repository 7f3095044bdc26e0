#pragma once

#include "teaselwalk/base/time.hpp"

#include <cstdint>
#include <optional>

namespace teaselwalk::cell {

/// Run times of the tasks of one step, which are all alike, so that they show
/// how fast the endpoints are. Declared run times do not: they are off by half.
class StepRunTimes {
public:
  /// Adds a run; returns its length in multiples of the mean of those before.
  /// Nothing as long as there are fewer than `MinOthers` of them, or if
  /// \p Length is not positive.
  std::optional<double> add(Duration Length);

  static constexpr int32_t MinOthers = 3;

private:
  int32_t Count = 0;
  double SumMs = 0;
};

} // namespace teaselwalk::cell
