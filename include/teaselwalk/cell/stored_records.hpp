#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::cell {

/// A job and the version of its record that was written.
using RecordVersion = std::pair<JobId, int64_t>;
/// The records in one write to the store.
struct StoreWrite {
  std::vector<RecordVersion> Separate;     ///< Each under the key of its job.
  std::string Bundle;                      ///< Key of the bundle; empty: none.
  std::vector<RecordVersion> Bundled;      ///< Together under the key `Bundle`.
  std::vector<JobId> Removed;              ///< Jobs of which nothing is left.
  std::vector<std::string> RemovedBundles; ///< Their keys.
};

/// The records of one job in the store; the newer one counts.
struct StoredRecords {
  std::string Separate; ///< Under the key of the job; empty: none.
  std::string Bundled;  ///< Newest one in a bundle; empty: none.
  int64_t BundledVersion = 0;
};

} // namespace teaselwalk::cell
