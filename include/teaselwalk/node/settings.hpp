#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/features.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace teaselwalk::node {

/// Time limits that the platform sets for an installation. The defaults apply
/// to those that it leaves out.
struct Bounds {
  Duration MaxTaskLease{6000}; ///< Longest lease an endpoint grants.
  /// A withdrawn caller key is refused by all processes after this time.
  Duration KeyRevocation{5000};
  Duration GracePeriod{6000}; ///< Between SIGTERM and SIGKILL.
  /// Time for which the status of an ended job can still be queried.
  Duration StatusKept{120000};
};

/// Settings of one process, read once at its start: its name and location, the
/// addresses that it listens on and connects to, and its limits.
struct NodeSettings {
  std::string Name; ///< Name of the VM.
  std::string DataCentre;
  /// Listens here for callers. Required: an empty address cannot be bound.
  protocol::Address Callers;
  protocol::Address Readiness; ///< Listens here for readiness probes.
  protocol::Address Peers;     ///< Listens here for the other processes.
  protocol::Address Store;
  int64_t MaxStoreValueBytes = 1048576; ///< Largest value the store takes.
  protocol::Address Advisor; ///< Port 0: there is no advisory service.
  int64_t MaxDescriptors = 1024;
  int64_t MemoryMb = 256; ///< Memory of the VM.
  double Cores = 1;       ///< CPU cores that this process may use.
  /// Operators may take a data centre out of service at any time.
  bool HasEvacuations = true;
  /// Features that are on; nothing: as `defaultFeatures`.
  std::optional<cell::FeatureSet> Features;
  Bounds Limits;
};

/// The features of a deployment that names none. Deployments whose operators
/// take data centres out of service run as before the features existed: a job
/// that is kept together would lose all its endpoints at once.
inline cell::FeatureSet defaultFeatures(const NodeSettings &Settings) {
  return Settings.HasEvacuations ? cell::FeatureSet() : cell::FeatureSet::all();
}

} // namespace teaselwalk::node
