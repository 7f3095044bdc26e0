#pragma once

#include "teaselwalk/base/time.hpp"

namespace teaselwalk::cell {

/// Timeouts of calls that are safe to repeat, adapted to how long answers have
/// taken: a lost answer is noticed soon, and a slow store does not get each
/// call twice.
class AdaptiveTimeout {
public:
  /// Timeout of attempt \p Attempt, counted from 0.
  Duration timeout(int Attempt) const;

  /// Records that a call was answered after \p Took.
  void recordAnswer(Duration Took);

  /// Pause after an attempt that failed after \p Took. One that timed out is
  /// repeated at once.
  static Duration pauseAfter(Duration Took);

private:
  double AverageMs = 0; ///< Smoothed time to an answer.
};

} // namespace teaselwalk::cell
