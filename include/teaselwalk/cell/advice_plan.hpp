#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/job.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace teaselwalk::cell {

/// An endpoint with room for tasks of a step that needs tickets.
struct AdviceCandidate {
  const EndpointId *Id = nullptr;
  int64_t Places = 0;     ///< Tasks of the step that fit there.
  double Score = 0;       ///< Lower ones are preferred.
  bool IsAllowed = false; ///< An earlier answer has allowed the step there.
  Duration TicketLeft{0}; ///< Remaining validity of its ticket; 0: none.
};

/// The tasks for which tickets are wanted.
struct AdviceNeed {
  int32_t Tasks = 0; ///< Tasks that wait for a ticket.
  /// All tasks start together, so their tickets must be valid at the same time.
  bool StartsTogether = false;
  double AllowedShare = 1; ///< Share of unknown endpoints that is allowed.
  Duration Base{0};        ///< Time of a request, without its endpoints.
  double PerEndpointMs = 0;
};

/// A request that takes longer is a long one.
constexpr Duration LongAdviceRequest{150};

/// Time that the advisory service needs for a request about \p Endpoints
/// endpoints.
Duration adviceTime(const AdviceNeed &Need, size_t Endpoints);

/// Estimate of the number of endpoints that a request names, each with room for
/// one task.
size_t expectedEndpoints(const AdviceNeed &Need);

/// Candidates, those with the lowest scores, that a plan for \p Need never
/// looks beyond; nothing if it may look at all of them.
std::optional<size_t> sufficientCandidates(const AdviceNeed &Need);

/// Returns the endpoints that the next request should name, at most as many as
/// the service accepts. The request is planned so that the tickets suffice for
/// all tasks with a probability of about 0.84 (the expected number of places
/// less one standard deviation is at least the number of tasks).
std::vector<EndpointId> planAdvice(const AdviceNeed &Need,
                                   std::vector<AdviceCandidate> Candidates);

} // namespace teaselwalk::cell
