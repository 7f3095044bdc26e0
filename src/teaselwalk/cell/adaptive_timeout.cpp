#include "teaselwalk/cell/adaptive_timeout.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

/// A healthy store answers in 4 ms, a slow one in 240 ms.
constexpr Duration ShortestTimeout{120};
constexpr Duration LongestTimeout{1000};
/// Timeout of a first attempt, as a multiple of the usual time to an answer.
constexpr double TimeoutFactor = 4;
/// Shortest time from the start of an attempt to the next one.
constexpr Duration MinAttemptInterval{100};
/// Weight of the newest answer in the usual time.
constexpr double AnswerWeight = 0.4;
/// The timeout doubles with each attempt, up to this many times.
constexpr int MaxDoublings = 4;

} // namespace

Duration AdaptiveTimeout::timeout(int Attempt) const {
  Duration First =
      std::max(ShortestTimeout,
               Duration(static_cast<int64_t>(AverageMs * TimeoutFactor)));
  return std::min<Duration>(First * (1 << std::min(Attempt, MaxDoublings)),
                            LongestTimeout);
}

Duration AdaptiveTimeout::pauseAfter(Duration Took) {
  return std::max(MinAttemptInterval - Took, Duration(0));
}

void AdaptiveTimeout::recordAnswer(Duration Took) {
  AverageMs = AverageMs * (1 - AnswerWeight) +
              static_cast<double>(Took.count()) * AnswerWeight;
}

} // namespace teaselwalk::cell
