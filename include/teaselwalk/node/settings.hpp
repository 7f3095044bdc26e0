#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstdint>
#include <string>

namespace teaselwalk::node {

/// Bounds that the platform states for an installation. The defaults apply
/// where it states none.
struct Bounds {
  Duration MaxTaskLease{6000};  ///< Longest lease an endpoint grants.
  Duration KeyRevocation{5000}; ///< A withdrawn key is refused from then on.
  Duration GracePeriod{6000};   ///< From SIGTERM to SIGKILL.
  Duration StatusKept{120000};  ///< The state of an ended job is known.
};

/// What a process learns about itself and its surroundings at its start.
struct NodeSettings {
  std::string Name;
  std::string DataCentre;
  protocol::Address Callers; ///< Zero port: this process serves none.
  protocol::Address Readiness;
  protocol::Address Peers; ///< For the other processes of the system.
  protocol::Address Store;
  protocol::Address Advisor; ///< Zero port: there is no such service.
  int64_t MaxDescriptors = 1024;
  double Cores = 1; ///< Processor cores that this process may use.
  Bounds Limits;
};

} // namespace teaselwalk::node
