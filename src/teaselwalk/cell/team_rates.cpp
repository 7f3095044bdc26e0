#include "teaselwalk/cell/team_rates.hpp"

namespace teaselwalk::cell {
namespace {

constexpr int64_t MsPerSecond = 1000;
/// Seconds with submissions kept for each team. More than the latest one is
/// needed because a new owner reads the jobs in any order.
constexpr size_t SecondsKept = 120;

} // namespace

bool TeamRates::addAndCheck(const std::string &Team, int64_t AcceptedMs,
                            double Weight) {
  Seconds &Known = Counts[Team];
  int32_t Count = ++Known[AcceptedMs / MsPerSecond];
  if (Known.size() > SecondsKept)
    Known.erase(Known.begin());
  return Weight > 0 && Count > Weight;
}

} // namespace teaselwalk::cell
