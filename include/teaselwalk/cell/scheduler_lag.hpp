#pragma once

#include "teaselwalk/base/time.hpp"

#include <algorithm>

namespace teaselwalk::cell {

/// How late the timers of the scheduler's thread run, smoothed: how long a
/// piece of work waits for the processor.
class SchedulerLag {
public:
  void record(Duration Late) {
    Late = std::clamp(Late, Duration(0), LongestSample);
    auto Sample = static_cast<double>(Late.count());
    Smoothed += (Sample - Smoothed) * SampleWeight;
  }

  Duration typical() const { return Duration(static_cast<int64_t>(Smoothed)); }

  /// True if there is more work than processor time.
  bool isLong() const { return typical() > LongestLag; }

private:
  static constexpr double SampleWeight = 0.05;
  static constexpr Duration LongestLag{30};
  /// A single long stall makes all timers late at once, and says little about
  /// the time after it.
  static constexpr Duration LongestSample{200};

  double Smoothed = 0; ///< In ms.
};

} // namespace teaselwalk::cell
