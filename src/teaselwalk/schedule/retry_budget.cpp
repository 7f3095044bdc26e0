#include "teaselwalk/schedule/retry_budget.hpp"

#include <algorithm>

namespace teaselwalk::schedule {

double &RetryBudget::saved(const TeamId &Team) {
  return Saved.try_emplace(Team, Options.Constant).first->second;
}

void RetryBudget::firstAttempt(const TeamId &Team) {
  double &Left = saved(Team);
  Left = std::min(Left + Options.Ratio,
                  std::max(Options.MaxSaved, Options.Constant));
}

std::optional<Duration> RetryBudget::retry(const TeamId &Team, uint32_t Failed,
                                           std::mt19937_64 &Random) {
  double &Left = saved(Team);
  if (Failed >= Options.MaxAttempts || Left < 1)
    return std::nullopt;
  Left -= 1;
  Duration Delay = Options.FirstDelay;
  for (uint32_t I = 1; I < Failed && Delay < Options.MaxDelay; ++I)
    Delay *= 2;
  Delay = std::min(Delay, Options.MaxDelay);
  std::uniform_int_distribution<int64_t> Jitter(Delay.count() / 2,
                                                Delay.count());
  return Duration(Jitter(Random));
}

} // namespace teaselwalk::schedule
