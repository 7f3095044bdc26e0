#pragma once

#include "teaselwalk/base/time.hpp"

#include <cstdint>

namespace teaselwalk::cell {

/// Which incarnation of an endpoint has answered a call, as far as its clock
/// tells.
enum class ClockOrigin {
  Same,   ///< The incarnation whose clock was read.
  Other,  ///< Certainly another one.
  Unknown ///< Either.
};

/// A reading of the clock of one incarnation of an endpoint.
///
/// The clock of each incarnation starts anew, so a time on it means nothing to
/// another one. Endpoint clocks run at most `ClockDriftPercent` slower than
/// the owner's.
struct ClockReading {
  int64_t IncarnationMs = 0; ///< Start of the incarnation; 0: unknown.
  int64_t ClockMs = 0;       ///< Its clock when it answered; 0: not read.
  TimePoint AskedAt;         ///< When the call was sent.
  TimePoint ReadAt;          ///< When the answer arrived.

  /// What the clock shows at \p Now, or less; 0 if it was not read.
  int64_t at(TimePoint Now) const;

  /// Whose clock shows \p AnswerMs in the answer, handled at \p Now, to a call
  /// that was sent after this reading.
  ClockOrigin originOf(int64_t AnswerMs, TimePoint Now) const;
};

} // namespace teaselwalk::cell
