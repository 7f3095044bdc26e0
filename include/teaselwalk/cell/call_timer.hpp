#pragma once

#include "teaselwalk/base/time.hpp"

namespace teaselwalk::cell {

/// Timeouts of calls that are safe to repeat, from the answers seen before: a
/// lost answer is noticed soon, and a slow store is not asked twice.
class CallTimer {
public:
  /// Timeout of attempt \p AttemptId, counted from 0.
  Duration timeout(int Attempt) const;

  /// An answer came after \p Took.
  void answered(Duration Took);

  /// Pause before the next attempt after one that ended after \p Took. An
  /// attempt that has waited for its answer is repeated at once.
  static Duration pauseAfter(Duration Took);

private:
  double UsualMs = 0; ///< Smoothed time to an answer.
};

} // namespace teaselwalk::cell
