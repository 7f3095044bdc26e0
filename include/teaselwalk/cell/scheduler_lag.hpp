#pragma once

#include "teaselwalk/base/time.hpp"

#include <algorithm>

namespace teaselwalk::cell {

/// How late the timers of the scheduler's thread run, smoothed: how long a
/// piece of work waits for the processor.
class SchedulerLag {
public:
  void record(Duration Late) {
    double Sample = static_cast<double>(std::max(Late, Duration(0)).count());
    Smoothed += (Sample - Smoothed) * SampleWeight;
  }

  Duration typical() const { return Duration(static_cast<int64_t>(Smoothed)); }

  /// True if there is more work than processor time.
  bool isShort() const { return typical() > LongestLag; }

private:
  static constexpr double SampleWeight = 0.05;
  static constexpr Duration LongestLag{30};

  double Smoothed = 0; ///< In ms.
};

} // namespace teaselwalk::cell
