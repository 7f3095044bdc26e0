#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/configuration.hpp"
#include "teaselwalk/cell/features.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace teaselwalk::cell {

struct OwnerOptions {
  FeatureSet Features;
  Duration MaxTaskLease{6000}; ///< Longest lease an endpoint grants.
  /// Records of a job are removed this long after its end.
  Duration StatusKept{120000};
  size_t MaxRecordBytes = 1048576; ///< Largest value that the store takes.
  std::string EndpointPrefix; ///< Prefix of the discovery list in the store.
  /// Reads an entry of the discovery list; throws `Error` if it cannot.
  std::function<EndpointInfo(const StoreItem &)> DecodeEndpoint;
};

/// What the process provides to its owner.
struct OwnerHooks {
  /// Called when the store or an endpoint shows that another process has
  /// become the owner.
  std::function<void(const char *Reason)> OwnershipLost;
  /// When the store last confirmed the ownership.
  std::function<TimePoint()> OwnershipConfirmedAt;
  const DesiredState *Desired = nullptr; ///< Outlives the owner.
  /// When the store last confirmed `Desired`; nothing before the first time.
  std::function<std::optional<TimePoint>()> DesiredStateConfirmedAt;
};

/// Why a step with waiting tasks is not placed.
enum class WaitReason {
  StaleConfiguration, ///< The store has not confirmed the desired state.
  StartLimit,         ///< Too many starts are not answered.
  SetAside,           ///< Its record cannot be stored, or it had a fault.
  LateWork,           ///< It cannot be in time and the processor is short.
  UrgentWork,         ///< Urgent jobs need the room.
  TeamLimit,
  StartPause,   ///< After a refused start.
  CrashVerdict, ///< Suspected crashes are not settled.
  Advice,       ///< A request waits or is not answered.
  AdvicePause,  ///< No endpoint to ask about, or a request has failed.
  NoRoom
};

} // namespace teaselwalk::cell
