#include "teaselwalk/schedule/retry_budget.hpp"

#include <algorithm>

namespace teaselwalk::schedule {

double &RetryBudget::balanceOf(const TeamId &Team) {
  return Balances.try_emplace(Team, Options.InitialBalance).first->second;
}

void RetryBudget::noteFirstAttempt(const TeamId &Team) {
  double &Balance = balanceOf(Team);
  Balance = std::min(Balance + Options.RetryRatio,
                     std::max(Options.MaxBalance, Options.InitialBalance));
}

std::optional<Duration> RetryBudget::tryRetry(const TeamId &Team,
                                              uint32_t Failed,
                                              std::mt19937_64 &Random) {
  double &Balance = balanceOf(Team);
  if (Failed >= Options.MaxAttempts || Balance < 1)
    return std::nullopt;
  Balance -= 1;
  Duration Delay = Options.InitialDelay;
  for (uint32_t I = 1; I < Failed && Delay < Options.MaxDelay; ++I)
    Delay *= 2;
  Delay = std::min(Delay, Options.MaxDelay);
  std::uniform_int_distribution<int64_t> Jitter(Delay.count() / 2,
                                                Delay.count());
  return Duration(Jitter(Random));
}

} // namespace teaselwalk::schedule
