#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>

namespace teaselwalk::schedule {

/// Limits on retries, and the delays between them.
struct RetryOptions {
  uint32_t MaxAttempts = 3;   ///< Of one task, including the first.
  double RetryRatio = 0.1;    ///< Retries earned by each first attempt.
  double InitialBalance = 10; ///< Retries that a team starts with.
  double MaxBalance = 100;    ///< Largest number of unused retries of a team.
  Duration InitialDelay{200}; ///< Before the first retry; then doubles.
  Duration MaxDelay{5000};
};

/// Limits the retries of each team to a share of its first attempts, so that
/// retries do not multiply the load of a service that is failing.
class RetryBudget {
public:
  explicit RetryBudget(RetryOptions Options = {}) : Options(Options) {}

  /// Credits \p Team for the first attempt of a task.
  void noteFirstAttempt(const TeamId &Team);

  /// The delay before the next attempt, after attempt number \p Failed
  /// (counted from 1) has failed; nothing if the task must not be retried. A
  /// granted retry is deducted from the team's budget. The delay is random
  /// between half and all of the exponential backoff.
  std::optional<Duration> tryRetry(const TeamId &Team, uint32_t Failed,
                                   std::mt19937_64 &Random);

  void remove(const TeamId &Team) { Balances.erase(Team); }

private:
  double &balanceOf(const TeamId &Team);

  RetryOptions Options;
  std::unordered_map<TeamId, double> Balances;
};

} // namespace teaselwalk::schedule
