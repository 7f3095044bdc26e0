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

/// Orders amounts by their components, for use as a key.
struct ResourcesLess {
  bool operator()(const Resources &A, const Resources &B) const {
    return std::tie(A.MilliCpu, A.MemoryMb, A.Accelerators, A.Slots,
                    A.Connections) < std::tie(B.MilliCpu, B.MemoryMb,
                                              B.Accelerators, B.Slots,
                                              B.Connections);
  }
};

/// As `fits`, inline: the decision's innermost loops are made of it.
inline bool covers(const Resources &Room, const Resources &Need) {
  return Need.MilliCpu <= Room.MilliCpu && Need.MemoryMb <= Room.MemoryMb &&
         Need.Accelerators <= Room.Accelerators && Need.Slots <= Room.Slots &&
         Need.Connections <= Room.Connections;
}

/// What is known about an endpoint.
struct SchedulableEndpoint {
  EndpointId Id;
  DataCentreId DataCentre;
  RackId Rack;
  Resources Capacity;
  bool Leaving = false; ///< Receives no new work; running work continues.
  bool Usable = true;   ///< False while failed or its data centre is out.
};

/// The endpoints of this process's shards with the room that is taken on them.
class EndpointTable {
public:
  using Index = PlacementIndex::Index;

  /// Insert an endpoint or change all its fields. Room that is taken stays
  /// taken. Returns its index, which stays valid until the endpoint is removed.
  Index update(const SchedulableEndpoint &Info);

  /// Remove an endpoint. The caller has released its tasks.
  void remove(const EndpointId &Id);

  std::optional<Index> find(const EndpointId &Id) const;
  const SchedulableEndpoint &info(Index At) const { return Rows[At].Info; }

  /// Capacity less what is taken. Negative after usage above the declared
  /// size or when the capacity was lowered.
  Resources room(Index At) const {
    return Rows[At].Info.Capacity - Rows[At].Taken;
  }
  Resources taken(Index At) const { return Rows[At].Taken; }
  Resources held(Index At) const { return Rows[At].Held; }

  /// Whether new work may be placed.
  bool isOpen(Index At) const;

  void reserve(Index At, const Resources &Amount);
  void release(Index At, const Resources &Amount);

  /// Keep \p Amount free for a reservation: `choose` does not hand it out.
  void hold(Index At, const Resources &Amount);
  void unhold(Index At, const Resources &Amount);
  /// Undo `hold` of \p Amount on each of \p Places. No room appears that was
  /// not there before the holds, so no endpoint counts as grown.
  void unholdTrial(const std::vector<Index> &Places, const Resources &Amount);

  /// An open endpoint with \p Need free beside what is held, or nothing.
  std::optional<Index> choose(const Resources &Need,
                              const PlacementIndex::RackLoad *Racks) const;

  /// The first open endpoint in id order with room. Looks at all endpoints;
  /// for measurements.
  std::optional<Index> firstFit(const Resources &Need) const;

  /// Whether \p Need is within the capacity of some endpoint, open or not.
  bool fitsSomeCapacity(const Resources &Need) const;
  /// How many tasks of \p Need all endpoints together could hold when empty.
  int64_t placesWhenEmpty(const Resources &Need) const;

  /// Capacity of the endpoints that are open, and the free part of it.
  const Resources &totalCapacity() const { return OpenCapacity; }
  Resources totalRoom() const { return OpenCapacity - OpenTaken; }

  /// Endpoints where room has appeared since `clearGrown`, perhaps repeatedly.
  const std::vector<Index> &grown() const { return Grown; }
  void clearGrown() { Grown.clear(); }
  /// Grows when `totalCapacity` changes.
  uint64_t capacityVersion() const { return CapacityVersion; }

  size_t size() const { return Ids.size(); }
  /// All indices in id order.
  const std::map<EndpointId, Index> &all() const { return Ids; }
  /// One above the largest index.
  Index indexEnd() const { return static_cast<Index>(Rows.size()); }
  uint32_t rackNumber(Index At) const { return Rows[At].Rack; }
  size_t rackCount() const { return Racks.size(); }

private:
  struct Row {
    SchedulableEndpoint Info;
    Resources Taken;
    Resources Held;
    uint32_t Rack = 0;
    bool Present = false;
  };

  void refresh(Index At);
  void countCapacity(const Row &Of, int64_t Sign);

  std::vector<Row> Rows;
  std::vector<Index> FreeRows;
  std::map<EndpointId, Index> Ids;
  std::unordered_map<EndpointId, Index> Lookup;
  std::unordered_map<RackId, uint32_t> Racks;
  std::map<Resources, int64_t, ResourcesLess> Shapes;
  Resources OpenCapacity;
  Resources OpenTaken;
  std::vector<Index> Grown;
  uint64_t CapacityVersion = 1;
  PlacementIndex Placement;
};

} // namespace teaselwalk::schedule
