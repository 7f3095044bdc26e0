#pragma once

#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace teaselwalk::cell {

/// What the advisory service has answered about a step on one endpoint.
struct EndpointAdvice {
  bool IsAllowed = false;
  std::string Ticket; ///< Needed to start the step's tasks there.
  TimePoint ValidUntil;
  /// The incarnation that was asked about. The answer does not hold for
  /// another one.
  int64_t IncarnationMs = 0;
};

/// What the advisory service has answered about one step.
struct StepAdvice {
  std::unordered_map<EndpointId, EndpointAdvice> Endpoints;
  bool IsInFlight = false; ///< A request is not answered yet.
  TimePoint NotBefore;     ///< No new request earlier.
  /// Number of the latest gain (`TrackedEndpoint::LatestGain`) when no endpoint
  /// was found that a request could name; 0: the latest search has found one.
  uint64_t SearchedUpTo = 0;
  /// When all endpoints are searched again even without a gain.
  TimePoint SearchAgainAt;
};

/// Endpoints in requests of a queue and how many of them were allowed, without
/// renewals. Starts with a few assumed answers.
struct AllowedCount {
  double Asked = 8;
  double Allowed = 4;
};

/// When no endpoint had room for a task.
struct FullFleet {
  Resources Need;
  std::string Label; ///< Only endpoints with this label; empty: all.
  TimePoint At;
};

} // namespace teaselwalk::cell
