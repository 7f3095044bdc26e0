#include "teaselwalk/cell/clock_reading.hpp"

namespace teaselwalk::cell {

int64_t ClockReading::at(TimePoint Now) const {
  return ClockMs == 0 ? 0 : ClockMs + (Now - ReadAt).count();
}

ClockOrigin ClockReading::originOf(int64_t AnswerMs, TimePoint Now) const {
  if (ClockMs == 0 || AnswerMs == 0)
    return ClockOrigin::Unknown;
  Duration Elapsed = withDrift(Now - AskedAt);
  // Both readings are rounded to whole milliseconds.
  if (AnswerMs < ClockMs || AnswerMs > ClockMs + Elapsed.count() + 1)
    return ClockOrigin::Other;
  // A clock that has started at zero since the reading shows no more than the
  // time since then.
  return AnswerMs > Elapsed.count() ? ClockOrigin::Same : ClockOrigin::Unknown;
}

} // namespace teaselwalk::cell
