#pragma once

#include <chrono>
#include <cstdint>

/// Time as a parameter. The decision modules never read a clock.
namespace teaselwalk {

/// A clock without a `now()`: time points come from the caller, either from
/// the process's steady clock or from a test.
struct VirtualClock {
  using rep = int64_t;
  using period = std::milli;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<VirtualClock>;
  static constexpr bool is_steady = true; // NOLINT: required by the standard
};

/// A span of time in milliseconds.
using Duration = std::chrono::milliseconds;

/// A point on the steady clock of one process. Not comparable between
/// processes.
using TimePoint = VirtualClock::time_point;

/// The time point \p Milliseconds after the clock's origin.
constexpr TimePoint timeAt(int64_t Milliseconds) {
  return TimePoint(Duration(Milliseconds));
}

/// Two steady clocks differ by at most this many percent in rate.
constexpr int ClockDriftPercent = 2;

/// \p Length as it may appear on a clock that runs slower or faster, rounded
/// up. A waiting party uses this so that it never waits too short.
constexpr Duration withDrift(Duration Length) {
  return Duration((Length.count() * (100 + ClockDriftPercent) + 99) / 100);
}

} // namespace teaselwalk
