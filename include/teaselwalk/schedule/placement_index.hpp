#pragma once

#include "teaselwalk/base/resources.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace teaselwalk::schedule {

/// Finds an endpoint with room for a task without looking at all endpoints.
///
/// Endpoints are kept in a grid of cells by free processor and free memory, on
/// a logarithmic scale with four steps per octave. A bit mask per row skips
/// empty cells. Endpoints with accelerators are in a grid of their own, which
/// is searched last for tasks that need none.
class PlacementIndex {
public:
  using Index = uint32_t;

  /// Number of tasks of the current gang in each rack; a low number is
  /// preferred.
  using RackLoad = std::vector<uint32_t>;

  /// Enter \p Endpoint or change its room. An endpoint without a free slot or
  /// with a negative component is left out.
  void update(Index Endpoint, const Resources &Room, const Resources &Capacity,
              uint32_t Rack);
  void remove(Index Endpoint);

  /// An endpoint whose room covers \p Need, or nothing if none does. Among a
  /// bounded number of candidates the one with the least room left is taken;
  /// with \p Racks, first the one in the least loaded rack.
  std::optional<Index> choose(const Resources &Need,
                              const RackLoad *Racks = nullptr) const;

private:
  static constexpr size_t Steps = 64;

  struct Cell {
    std::vector<Index> Members;
    /// Upper bound of the members' room; made exact by a full scan.
    Resources Bound;
  };
  struct Grid {
    std::array<uint64_t, Steps> Rows{};
    std::vector<Cell> Cells{Steps * Steps};
  };
  struct Entry {
    Resources Room;
    float PerCpu = 0;    ///< Inverse of the capacity.
    float PerMemory = 0; ///< Inverse of the capacity.
    float PerSlot = 0;   ///< Inverse of the capacity.
    uint32_t Rack = 0;
    uint32_t Grid = 0;
    int32_t Cell = -1; ///< -1 when not in a grid.
    uint32_t Position = 0;
  };
  struct Search;

  void leaveCell(Index Endpoint);
  void searchGrid(Grid &Where, Search &State) const;
  void probeCell(Cell &Where, Search &State) const;
  float score(const Entry &Candidate, const Search &State) const;

  mutable std::array<Grid, 2> Grids;
  std::vector<Entry> Entries;
};

} // namespace teaselwalk::schedule
