#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>

namespace teaselwalk::schedule {

/// Bounds on retries.
struct RetryOptions {
  uint32_t MaxAttempts = 3; ///< Per task, with the first.
  double Ratio = 0.1;       ///< Retries per first attempt.
  double Constant = 10;     ///< Retries of a team before any first attempt.
  double MaxSaved = 100;    ///< Unused retries that a team may collect.
  Duration FirstDelay{200}; ///< Doubles with each attempt.
  Duration MaxDelay{5000};
};

/// Limits retries per team, so that a failing service does not multiply its
/// own load.
class RetryBudget {
public:
  explicit RetryBudget(RetryOptions Options = {}) : Options(Options) {}

  void firstAttempt(const TeamId &Team);

  /// The wait before the next attempt after attempt \p Failed (counted from
  /// 1), or nothing if there must be none. A granted retry is used up. The wait
  /// is between half and all of the doubling delay.
  std::optional<Duration> retry(const TeamId &Team, uint32_t Failed,
                                std::mt19937_64 &Random);

  void remove(const TeamId &Team) { Saved.erase(Team); }

private:
  double &saved(const TeamId &Team);

  RetryOptions Options;
  std::unordered_map<TeamId, double> Saved;
};

} // namespace teaselwalk::schedule
