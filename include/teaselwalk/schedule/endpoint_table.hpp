#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/schedule/placement_index.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace teaselwalk::schedule {

/// Lexicographic order of the components, for use as a map key.
struct ResourcesLess {
  bool operator()(const Resources &A, const Resources &B) const {
    return std::tie(A.MilliCpu, A.MemoryMb, A.Accelerators, A.Slots,
                    A.Connections) < std::tie(B.MilliCpu, B.MemoryMb,
                                              B.Accelerators, B.Slots,
                                              B.Connections);
  }
};

/// Same as `fits`, with the arguments swapped; inline because the innermost
/// loops of a decision call it.
inline bool covers(const Resources &Room, const Resources &Need) {
  return Need.MilliCpu <= Room.MilliCpu && Need.MemoryMb <= Room.MemoryMb &&
         Need.Accelerators <= Room.Accelerators && Need.Slots <= Room.Slots &&
         Need.Connections <= Room.Connections;
}

/// An endpoint as the scheduler sees it.
struct SchedulableEndpoint {
  EndpointId Id;
  DataCentreId DataCentre;
  RackId Rack;
  Resources Capacity;
  bool Leaving = false; ///< Receives no new work; running work continues.
  bool Usable = true;   ///< False while it must not receive new work, such
                        ///< as when it failed or its data centre is out.
};

/// The endpoints that one scheduler places tasks on, with what is allocated and
/// held on each.
///
/// The room of an endpoint is its capacity less what running tasks have
/// allocated. Part of it may be held for reservations.
class EndpointTable {
public:
  using Index = PlacementIndex::Index;

  /// Inserts an endpoint or replaces all its fields; allocations and holds are
  /// kept. Returns its index, which stays valid until the endpoint is removed.
  Index update(const SchedulableEndpoint &Info);

  /// Removes an endpoint. The caller has released its tasks before.
  void remove(const EndpointId &Id);

  std::optional<Index> find(const EndpointId &Id) const;
  const SchedulableEndpoint &info(Index At) const { return Rows[At].Info; }

  /// Capacity less what is allocated. Components are negative if tasks use
  /// more than they declared or if the capacity was lowered.
  Resources room(Index At) const {
    return Rows[At].Info.Capacity - Rows[At].Allocated;
  }
  Resources allocated(Index At) const { return Rows[At].Allocated; }
  Resources held(Index At) const { return Rows[At].Held; }

  /// Whether new work may be placed on the endpoint.
  bool isOpen(Index At) const;

  void allocate(Index At, const Resources &Amount);
  void release(Index At, const Resources &Amount);

  /// Keeps \p Amount of the room free: `choose` does not hand it out.
  void hold(Index At, const Resources &Amount);
  void unhold(Index At, const Resources &Amount);
  /// Undoes tentative holds of \p Amount, one for each entry of \p Places. The
  /// room is then what it was before the holds, so `roomGained` does not
  /// change.
  void undoTrialHolds(const std::vector<Index> &Places,
                      const Resources &Amount);

  /// An open endpoint that has room for \p Need apart from what is held, or
  /// nothing if there is none.
  std::optional<Index> choose(const Resources &Need,
                              const PlacementIndex::RackLoad *Racks) const;

  /// The first open endpoint in id order that has room for \p Need apart from
  /// what is held. Linear in the number of endpoints; for the baseline policy.
  std::optional<Index> firstFit(const Resources &Need) const;

  /// Whether \p Need is within the capacity of some endpoint, open or not.
  bool fitsSomeCapacity(const Resources &Need) const;
  /// Number of tasks of size \p Need that all endpoints, open or not, could
  /// hold together if they were empty.
  int64_t placesWhenEmpty(const Resources &Need) const;

  /// Sums over all open endpoints.
  const Resources &totalCapacity() const { return OpenCapacity; }
  Resources totalRoom() const { return OpenCapacity - OpenAllocated; }

  /// Endpoints that may have gained room since `clearRoomGained`, with
  /// duplicates.
  const std::vector<Index> &roomGained() const { return RoomGained; }
  void clearRoomGained() { RoomGained.clear(); }
  /// Increases whenever `totalCapacity` may have changed.
  uint64_t capacityVersion() const { return CapacityVersion; }

  size_t size() const { return Ids.size(); }
  /// All indices in id order.
  const std::map<EndpointId, Index> &all() const { return Ids; }
  /// One above the largest index.
  Index indexEnd() const { return static_cast<Index>(Rows.size()); }
  uint32_t rackNumber(Index At) const { return Rows[At].Rack; }
  size_t rackCount() const { return RackNumbers.size(); }

private:
  struct Row {
    SchedulableEndpoint Info;
    Resources Allocated;
    Resources Held;
    uint32_t Rack = 0;
    bool IsPresent = false;
  };

  void refreshPlacement(Index At);
  void countCapacity(const Row &Of, int64_t Sign);

  std::vector<Row> Rows;
  std::vector<Index> FreeRows;
  std::map<EndpointId, Index> Ids;
  std::unordered_map<EndpointId, Index> Lookup;
  std::unordered_map<RackId, uint32_t> RackNumbers;
  std::map<Resources, int64_t, ResourcesLess> CapacityCounts;
  Resources OpenCapacity;
  Resources OpenAllocated;
  std::vector<Index> RoomGained;
  uint64_t CapacityVersion = 1;
  PlacementIndex Placement;
};

} // namespace teaselwalk::schedule
