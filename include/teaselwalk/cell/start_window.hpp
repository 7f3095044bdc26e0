#pragma once

#include "teaselwalk/base/time.hpp"

#include <cstddef>

namespace teaselwalk::cell {

/// Limits how many start requests may be on their way at a time, so that their
/// answers are handled long before they time out. What exceeds the limit waits
/// in the backlog, where the most urgent task is next. The limit follows the
/// shortest time to an answer within an interval: if even that is long, this
/// process is late, not an endpoint.
class StartWindow {
public:
  /// Records that a start request was answered, or timed out, after \p Took.
  void recordAnswer(TimePoint Now, Duration Took);

  /// Records that tasks had to wait because of the limit.
  void recordHeldBack() { IsUsedUp = true; }

  size_t limit() const { return Limit; }

  /// True if an open start that was sent \p Age ago does not count: this
  /// process handles answers in time, so its endpoint does not answer.
  bool isOverdue(Duration Age) const { return !IsLate && Age > LongestDelay; }

private:
  void adapt();

  size_t Limit = InitialLimit;
  bool IsUsedUp = false; ///< Tasks had to wait in the current interval.
  TimePoint IntervalEnd; ///< Of the current interval.
  Duration Shortest{0};  ///< Shortest time to an answer in the interval.

  /// Even the quickest answer of the interval before took too long.
  bool IsLate = false;

  static constexpr size_t InitialLimit = 256;
  /// Time to an answer above which the limit shrinks. A start request times out
  /// after 800 ms.
  static constexpr Duration LongestDelay{150};
};

} // namespace teaselwalk::cell
