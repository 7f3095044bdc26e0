#pragma once

#include "teaselwalk/base/resources.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace teaselwalk::schedule {

/// Finds an endpoint with room for a task without scanning all endpoints.
///
/// Endpoints are kept in a grid of cells: rows by free processor, columns by
/// free memory, both on a logarithmic scale with four steps per octave. A bit
/// mask per row lets a search skip empty cells. Endpoints with accelerators
/// have a grid of their own, which is searched last for tasks that need none.
class PlacementIndex {
public:
  using Index = uint32_t;

  /// Number of tasks of the gang being placed in each rack; racks with fewer
  /// are preferred.
  using RackLoad = std::vector<uint32_t>;

  /// Inserts \p Endpoint or changes its room. An endpoint without a free slot
  /// or with a negative component is left out of the index.
  void update(Index Endpoint, const Resources &Room, const Resources &Capacity,
              uint32_t Rack);
  void remove(Index Endpoint);

  /// An endpoint whose room covers \p Need, or nothing if none does. Best fit
  /// among a bounded number of candidates: the least room left wins. With
  /// \p Racks, the least loaded rack comes first.
  std::optional<Index> choose(const Resources &Need,
                              const RackLoad *Racks = nullptr) const;

private:
  static constexpr size_t GridSize = 64;

  struct Cell {
    std::vector<Index> Members;
    /// Upper bound of the members' room in each component. Updates only raise
    /// it; a search that looks at all members makes it exact.
    Resources Bound;
  };
  struct Grid {
    std::array<uint64_t, GridSize> NonEmptyCells{};
    std::vector<Cell> Cells{GridSize * GridSize};
  };
  struct Entry {
    Resources Room;
    float PerCpu = 0;    ///< Inverse of the capacity.
    float PerMemory = 0; ///< Inverse of the capacity.
    float PerSlot = 0;   ///< Inverse of the capacity.
    uint32_t Rack = 0;
    uint32_t Grid = 0;
    int32_t Cell = -1;     ///< -1 when not in a grid.
    uint32_t Position = 0; ///< Among the members of the cell.
  };
  struct Search;

  void leaveCell(Index Endpoint);
  void searchGrid(Grid &Where, Search &State) const;
  void probeCell(Cell &Where, Search &State) const;
  float score(const Entry &Candidate, const Search &State) const;

  /// Endpoints without and with accelerators. Mutable, because searches
  /// tighten the bounds of cells.
  mutable std::array<Grid, 2> Grids;
  std::vector<Entry> Entries;
};

} // namespace teaselwalk::schedule
