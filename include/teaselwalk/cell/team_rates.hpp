#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace teaselwalk::cell {

/// Counts the submissions of each team by second. The weight of a team is the
/// number of submissions a second that it is entitled to. Jobs beyond it are
/// scheduled after all jobs within the rate of their team, so that one team
/// cannot slow down the others.
class TeamRates {
public:
  /// Counts a submission. True if its second has more submissions than
  /// \p Weight; 0: no limit.
  bool addAndCheck(const std::string &Team, int64_t AcceptedMs, double Weight);

private:
  /// Number of submissions by second since 1970.
  using Seconds = std::map<int64_t, int32_t>;
  std::unordered_map<std::string, Seconds> Counts;
};

} // namespace teaselwalk::cell
