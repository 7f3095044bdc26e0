#include "teaselwalk/cell/call_timer.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

/// The store answers in 4 ms, and in 240 ms while it is slow.
constexpr Duration ShortestTimeout{120};
constexpr Duration LongestTimeout{1000};
/// Of the usual time to an answer.
constexpr double TimeoutFactor = 4;
/// Least time from one attempt to the next.
constexpr Duration AttemptInterval{100};
/// Weight of the newest answer.
constexpr double AnswerWeight = 0.4;
/// The timeout doubles so many times at most.
constexpr int MostDoublings = 4;

} // namespace

Duration CallTimer::timeout(int Attempt) const {
  Duration First = std::max(
      ShortestTimeout, Duration(static_cast<int64_t>(UsualMs * TimeoutFactor)));
  return std::min<Duration>(First * (1 << std::min(Attempt, MostDoublings)),
                            LongestTimeout);
}

Duration CallTimer::pauseAfter(Duration Took) {
  return std::max(AttemptInterval - Took, Duration(0));
}

void CallTimer::answered(Duration Took) {
  UsualMs = UsualMs * (1 - AnswerWeight) +
            static_cast<double>(Took.count()) * AnswerWeight;
}

} // namespace teaselwalk::cell
