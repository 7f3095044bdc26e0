#pragma once

#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::cell {

/// Room on endpoints that is kept for waiting tasks of a step, so that other
/// work does not take it first. It need not be free yet.
class RoomReservations {
public:
  /// Endpoints, and the number of tasks for which room is reserved there.
  using Rows = std::vector<std::pair<EndpointId, int32_t>>;

  /// Replaces the reservations of \p Step by room for tasks of \p Need, which
  /// are kept until \p Until.
  void set(const StepKey &Step, const Resources &Need, const Rows &Places,
           TimePoint Until);
  /// Drops the reservations of \p Step; returns the endpoints.
  std::vector<EndpointId> remove(const StepKey &Step);
  /// A task of \p Step was placed on \p Endpoint. At most \p Waiting tasks keep
  /// their room; returns the endpoints whose room is no longer reserved.
  std::vector<EndpointId> onPlaced(const StepKey &Step,
                                   const EndpointId &Endpoint, int32_t Waiting);
  /// Drops the reservations that have ended; returns the endpoints.
  std::vector<EndpointId> removeEnded(TimePoint Now);

  bool isEmpty() const { return ByStep.empty(); }
  /// Number of tasks of \p Step for which room is reserved.
  int32_t tasksOf(const StepKey &Step) const;
  /// Room on \p Endpoint that is reserved for other steps than \p Step.
  Resources keptFrom(const StepKey &Step, const EndpointId &Endpoint) const;

private:
  struct Reservation {
    Resources Need; ///< Of one task.
    std::map<EndpointId, int32_t> Tasks;
    TimePoint Until;
  };

  /// Adds room for \p Tasks tasks to the total of \p Endpoint.
  void add(const EndpointId &Endpoint, const Resources &Need, int32_t Tasks);

  std::map<StepKey, Reservation> ByStep;
  std::unordered_map<EndpointId, Resources> Total;
};

} // namespace teaselwalk::cell
