#pragma once

#include "teaselwalk/cell/job.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselwalk::cell {

/// A queue and the URL under which callers reach it.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  bool IsPublic = false; ///< Accepts callers without a key.
  QueuePolicy Policy;
};

struct Team {
  std::string Name;
  std::vector<std::string> Keys; ///< Credentials of its callers.
  double Weight = 1;
  /// Quota: total resources of the team's running tasks. A resource that is 0
  /// is not limited.
  Resources Limit;
};

/// Limits on the requests of callers.
struct RequestLimits {
  int64_t MaxBodyBytes = 262144;
};

/// The operators' configuration.
struct Configuration {
  int64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<Team> Teams;
  RequestLimits Limits;

  /// The queue of \p Host with the longest prefix of \p Path, or null.
  const Queue *findQueue(const std::string &Host,
                         const std::string &Path) const;
  const Queue *queueNamed(const std::string &Name) const;
  /// The team of \p Key, or null.
  const Team *teamOfKey(const std::string &Key) const;
  const Team *teamNamed(const std::string &Name) const;

  /// Rebuilds the lookup tables. Call it after any change of `Queues` or
  /// `Teams`.
  void index();

private:
  std::unordered_map<std::string, size_t> TeamByKey;
  std::unordered_map<std::string, size_t> QueueByName;
  std::unordered_map<std::string, size_t> TeamByName;
  std::unordered_map<std::string, std::vector<size_t>> QueuesByHost;
};

/// What the operators have set: the configuration and the data centres that are
/// to be evacuated.
struct DesiredState {
  Configuration Config;
  std::set<std::string> EvacuatedDataCentres;
};

} // namespace teaselwalk::cell
