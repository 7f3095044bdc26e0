#include "teaselwalk/runtime/clock.hpp"

namespace teaselwalk::runtime {

TimePoint steadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::chrono::steady_clock::time_point toSteady(TimePoint Point) {
  return std::chrono::steady_clock::time_point(Point.time_since_epoch());
}

int64_t wallMillis() {
  return std::chrono::duration_cast<Duration>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace teaselwalk::runtime
