#include "teaselwalk/schedule/placement_index.hpp"

#include "teaselwalk/schedule/endpoint_table.hpp"

#include <algorithm>
#include <cmath>

namespace teaselwalk::schedule {

namespace {

constexpr int64_t MilliCpuStep = 125; // Thousandths of a processor.
constexpr int64_t MemoryMbStep = 64;  // Megabytes.

// Candidates compared in one search. More of them improve packing only a little
// and cost time in proportion.
constexpr int MaxProbes = 48;
// Candidates from one cell, so that a large cell does not use up all probes.
constexpr int MaxProbesPerCell = 8;
// The same for gangs: more, so that several racks are among the candidates.
constexpr int MaxRackProbes = 128;
constexpr int MaxRackProbesPerCell = 32;
// Per task of the gang in the rack. Outweighs any difference in leftover room,
// which is at most 5.
constexpr float RackPenalty = 8;

/// Row or column of an amount: linear below 4 steps, then 4 per octave.
size_t gridIndex(int64_t Amount, int64_t Step, size_t Last) {
  int64_t Value = std::max<int64_t>(Amount, 0) / Step;
  if (Value < 4)
    return static_cast<size_t>(Value);
  auto Octave = static_cast<size_t>(
      63 - __builtin_clzll(static_cast<unsigned long long>(Value)));
  auto Quarter = static_cast<size_t>((Value >> (Octave - 2)) & 3);
  return std::min(Last, (Octave - 1) * 4 + Quarter);
}

void raise(Resources &Bound, const Resources &To) {
  for (int64_t Resources::*Field : ResourceFields)
    Bound.*Field = std::max(Bound.*Field, To.*Field);
}

float inverse(int64_t Value) {
  return Value > 0 ? 1.0F / static_cast<float>(Value) : 0.0F;
}

} // namespace

struct PlacementIndex::Search {
  const Resources &Need;
  const RackLoad *Racks;
  /// Candidates per cell. 0: look at all and take the first that fits.
  int CellLimit;
  int Probes = 0;
  bool Truncated = false; ///< Some members of a cell were skipped.
  float BestScore = 0;
  std::optional<Index> Best;
};

void PlacementIndex::update(Index Endpoint, const Resources &Room,
                            const Resources &Capacity, uint32_t Rack) {
  if (Endpoint >= Entries.size())
    Entries.resize(Endpoint + 1);
  Entry &E = Entries[Endpoint];
  if (hasNegative(Room) || Room.Slots < 1) {
    leaveCell(Endpoint);
    return;
  }
  E.Room = Room;
  E.PerCpu = inverse(Capacity.MilliCpu);
  E.PerMemory = inverse(Capacity.MemoryMb);
  E.PerSlot = inverse(Capacity.Slots);
  E.Rack = Rack;
  uint32_t Grid = Capacity.Accelerators > 0 ? 1 : 0;
  auto Cell = static_cast<int32_t>(
      gridIndex(Room.MilliCpu, MilliCpuStep, GridSize - 1) * GridSize +
      gridIndex(Room.MemoryMb, MemoryMbStep, GridSize - 1));
  if (E.Cell != Cell || E.Grid != Grid) {
    leaveCell(Endpoint);
    E.Grid = Grid;
    E.Cell = Cell;
    auto &Members = Grids[Grid].Cells[static_cast<size_t>(Cell)].Members;
    E.Position = static_cast<uint32_t>(Members.size());
    Members.push_back(Endpoint);
    Grids[Grid].NonEmptyCells[static_cast<size_t>(Cell) / GridSize] |=
        uint64_t{1} << (static_cast<size_t>(Cell) % GridSize);
  }
  raise(Grids[Grid].Cells[static_cast<size_t>(Cell)].Bound, Room);
}

void PlacementIndex::remove(Index Endpoint) {
  if (Endpoint < Entries.size())
    leaveCell(Endpoint);
}

void PlacementIndex::leaveCell(Index Endpoint) {
  Entry &E = Entries[Endpoint];
  if (E.Cell < 0)
    return;
  auto At = static_cast<size_t>(E.Cell);
  Cell &Left = Grids[E.Grid].Cells[At];
  Index Last = Left.Members.back();
  Left.Members[E.Position] = Last;
  Entries[Last].Position = E.Position;
  Left.Members.pop_back();
  if (Left.Members.empty()) {
    Left.Bound = Resources();
    Grids[E.Grid].NonEmptyCells[At / GridSize] &=
        ~(uint64_t{1} << (At % GridSize));
  }
  E.Cell = -1;
}

float PlacementIndex::score(const Entry &Candidate, const Search &State) const {
  const Resources &Room = Candidate.Room;
  float Cpu = static_cast<float>(Room.MilliCpu - State.Need.MilliCpu) *
              Candidate.PerCpu;
  float Memory = static_cast<float>(Room.MemoryMb - State.Need.MemoryMb) *
                 Candidate.PerMemory;
  float Slots =
      static_cast<float>(Room.Slots - State.Need.Slots) * Candidate.PerSlot;
  // Unbalanced leftovers are harder to fill, so they count as more room left.
  float Score = Cpu + Memory + Slots + std::abs(Cpu - Memory);
  if (State.Racks && Candidate.Rack < State.Racks->size())
    Score += RackPenalty * static_cast<float>((*State.Racks)[Candidate.Rack]);
  return Score;
}

void PlacementIndex::probeCell(Cell &Where, Search &State) const {
  if (!covers(Where.Bound, State.Need))
    return;
  const size_t Count = Where.Members.size();
  const auto Limit = static_cast<size_t>(State.CellLimit);
  // The sample is spread over the cell, as neighbours often share a rack.
  const size_t Stride =
      Limit > 0 && Count > Limit ? (Count + Limit - 1) / Limit : 1;
  State.Truncated |= Stride > 1;
  Resources Exact;
  for (size_t I = 0; I < Count; I += Stride) {
    const Entry &Candidate = Entries[Where.Members[I]];
    ++State.Probes;
    raise(Exact, Candidate.Room);
    if (!covers(Candidate.Room, State.Need))
      continue;
    float Score = score(Candidate, State);
    if (!State.Best || Score < State.BestScore) {
      State.Best = Where.Members[I];
      State.BestScore = Score;
    }
    if (State.CellLimit == 0)
      return;
  }
  if (Stride == 1)
    Where.Bound = Exact;
}

void PlacementIndex::searchGrid(Grid &Where, Search &State) const {
  size_t FirstRow = gridIndex(State.Need.MilliCpu, MilliCpuStep, GridSize - 1);
  size_t FirstColumn =
      gridIndex(State.Need.MemoryMb, MemoryMbStep, GridSize - 1);
  uint64_t Wanted = ~uint64_t{0} << FirstColumn;
  const int Limit = State.Racks ? MaxRackProbes : MaxProbes;
  for (size_t Row = FirstRow; Row < GridSize; ++Row) {
    uint64_t Bits = Where.NonEmptyCells[Row] & Wanted;
    while (Bits != 0) {
      auto Column = static_cast<size_t>(__builtin_ctzll(Bits));
      Bits &= Bits - 1;
      probeCell(Where.Cells[Row * GridSize + Column], State);
      if (State.Best && (State.Probes >= Limit || State.CellLimit == 0))
        return;
    }
  }
}

std::optional<PlacementIndex::Index>
PlacementIndex::choose(const Resources &Need, const RackLoad *Racks) const {
  // Endpoints with accelerators come last for work that needs none.
  for (size_t Which = Need.Accelerators > 0 ? 1 : 0; Which < 2; ++Which) {
    Search Quick{Need, Racks, Racks ? MaxRackProbesPerCell : MaxProbesPerCell};
    searchGrid(Grids[Which], Quick);
    if (Quick.Best)
      return Quick.Best;
    if (!Quick.Truncated)
      continue;
    Search Full{Need, Racks, 0};
    searchGrid(Grids[Which], Full);
    if (Full.Best)
      return Full.Best;
  }
  return std::nullopt;
}

} // namespace teaselwalk::schedule
