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

private:
  void adapt();

  size_t Limit = InitialLimit;
  bool IsUsedUp = false; ///< Tasks had to wait in the current interval.
  TimePoint IntervalEnd; ///< Of the current interval.
  Duration Shortest{0};  ///< Shortest time to an answer in the interval.

  static constexpr size_t InitialLimit = 256;
};

} // namespace teaselwalk::cell
