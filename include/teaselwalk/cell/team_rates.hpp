#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace teaselwalk::cell {

/// Counts the submissions of each team by second. A team's weight is the number
/// of submissions a second that it is owed; what goes beyond it waits for the
/// work of others, so that one team cannot slow all down.
class TeamRates {
public:
  /// Counts a submission. True if it is beyond \p Weight; 0: no limit.
  bool addAndCheck(const std::string &Team, int64_t AcceptedMs, double Weight);

private:
  /// Submissions by second since 1970.
  using Seconds = std::map<int64_t, int32_t>;
  std::unordered_map<std::string, Seconds> Counts;
};

} // namespace teaselwalk::cell
