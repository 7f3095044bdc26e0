#pragma once

#include "teaselwalk/cell/job.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselwalk::cell {

/// A queue and the address under which callers reach it.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  bool Open = false; ///< Accepts callers without a key.
  QueuePolicy Policy;
};

struct Team {
  std::string Name;
  std::vector<std::string> Keys;
  double Weight = 1;
  Resources Limit; ///< Of all that runs; 0: no limit in that resource.
};

/// Limits of a caller's request.
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

  /// Rebuilds the indices after a change of the lists.
  void index();

private:
  std::unordered_map<std::string, size_t> TeamByKey;
  std::unordered_map<std::string, size_t> QueueByName;
  std::unordered_map<std::string, size_t> TeamByName;
  std::unordered_map<std::string, std::vector<size_t>> QueuesByHost;
};

/// What the operators ask for at present.
struct DesiredState {
  Configuration Config;
  std::set<std::string> EvacuatedDataCentres;
};

} // namespace teaselwalk::cell
