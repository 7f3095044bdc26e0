#include "teaselwalk/cell/start_window.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

constexpr size_t SmallestLimit = 32;
constexpr size_t LargestLimit = 4096;
constexpr Duration AdaptInterval{100};
constexpr size_t ShrinkPercent = 70;
constexpr size_t GrowPercent = 125;

} // namespace

void StartWindow::recordAnswer(TimePoint Now, Duration Took) {
  if (Now >= IntervalEnd) {
    if (IntervalEnd != TimePoint())
      adapt();
    IntervalEnd = Now + AdaptInterval;
    Shortest = Took;
    IsUsedUp = false;
  }
  Shortest = std::min(Shortest, Took);
}

void StartWindow::adapt() {
  size_t Percent = 100;
  IsLate = Shortest > LongestDelay;
  if (IsLate)
    Percent = ShrinkPercent;
  else if (IsUsedUp)
    Percent = GrowPercent;
  Limit = std::clamp(Limit * Percent / 100, SmallestLimit, LargestLimit);
}

} // namespace teaselwalk::cell
