#pragma once

#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::cell {

/// Room on endpoints that steps are expected to use once the advisory service
/// has answered. Requests about other steps name other endpoints, so that the
/// answers do not all allow the same places.
class RoomClaims {
public:
  using Rows = std::vector<std::pair<EndpointId, Resources>>;

  /// Sets the claims of \p Step.
  void set(const StepKey &Step, Rows Claims);
  /// Drops and returns the claims of \p Step.
  Rows remove(const StepKey &Step);
  /// Room on \p Endpoint that steps claim.
  Resources claimed(const EndpointId &Endpoint) const;

private:
  std::map<StepKey, Rows> ByStep;
  std::unordered_map<EndpointId, Resources> Total;
};

} // namespace teaselwalk::cell
