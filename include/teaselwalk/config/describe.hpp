#pragma once

#include "teaselwalk/config/document.hpp"

#include <string>
#include <unordered_map>
#include <vector>

/// The difference between two documents in words, with its consequences.
namespace teaselwalk::config {

/// One difference. A dangerous one stops running work or locks somebody out.
struct Difference {
  std::string Text;
  bool Dangerous = false;
  std::string Object; ///< Name of what changes; the confirmation repeats it.
};

/// What each team has running across the fleet, as far as it is known.
using RunningUsage = std::unordered_map<TeamId, Resources>;

/// All differences: data centres, teams, queues, operators. The text holds no
/// salt and no hash.
std::vector<Difference> describeChanges(const Document &Old,
                                        const Document &New,
                                        const RunningUsage &Running = {});

/// What an operator must type to confirm the dangerous ones: the names of
/// their objects, each once, separated by spaces. Empty if there are none.
std::string confirmationFor(const std::vector<Difference> &Changes);

} // namespace teaselwalk::config
