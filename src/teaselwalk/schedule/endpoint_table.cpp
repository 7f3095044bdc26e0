#include "teaselwalk/schedule/endpoint_table.hpp"

#include <algorithm>

namespace teaselwalk::schedule {

namespace {

bool acceptsWork(const SchedulableEndpoint &Info) {
  return Info.Usable && !Info.Leaving;
}

int64_t placesIn(const Resources &Need, const Resources &Room) {
  int64_t Places = INT64_MAX;
  for (int64_t Resources::*Field : ResourceFields)
    if (Need.*Field > 0)
      Places =
          std::min(Places, std::max<int64_t>(Room.*Field, 0) / Need.*Field);
  return Places == INT64_MAX ? 0 : Places;
}

Resources times(Resources Value, int64_t Factor) {
  for (int64_t Resources::*Field : ResourceFields)
    Value.*Field *= Factor;
  return Value;
}

} // namespace

EndpointTable::Index EndpointTable::update(const SchedulableEndpoint &Info) {
  Index At = 0;
  auto Found = Lookup.find(Info.Id);
  if (Found != Lookup.end()) {
    At = Found->second;
    countCapacity(Rows[At], -1);
  } else {
    if (FreeRows.empty()) {
      FreeRows.push_back(static_cast<Index>(Rows.size()));
      Rows.emplace_back();
    }
    At = FreeRows.back();
    FreeRows.pop_back();
    Rows[At] = Row();
    Lookup.emplace(Info.Id, At);
    Ids.emplace(Info.Id, At);
  }
  Row &Changed = Rows[At];
  Changed.Info = Info;
  Changed.IsPresent = true;
  Changed.Rack =
      RackNumbers.emplace(Info.Rack, static_cast<uint32_t>(RackNumbers.size()))
          .first->second;
  countCapacity(Changed, 1);
  RoomGained.push_back(At);
  refreshPlacement(At);
  return At;
}

void EndpointTable::remove(const EndpointId &Id) {
  auto Found = Lookup.find(Id);
  if (Found == Lookup.end())
    return;
  Index At = Found->second;
  countCapacity(Rows[At], -1);
  Placement.remove(At);
  Rows[At] = Row();
  FreeRows.push_back(At);
  Lookup.erase(Found);
  Ids.erase(Id);
}

std::optional<EndpointTable::Index>
EndpointTable::find(const EndpointId &Id) const {
  auto Found = Lookup.find(Id);
  if (Found == Lookup.end())
    return std::nullopt;
  return Found->second;
}

bool EndpointTable::isOpen(Index At) const {
  return Rows[At].IsPresent && acceptsWork(Rows[At].Info);
}

void EndpointTable::countCapacity(const Row &Of, int64_t Sign) {
  ++CapacityVersion;
  int64_t &Count = CapacityCounts[Of.Info.Capacity];
  Count += Sign;
  if (Count == 0)
    CapacityCounts.erase(Of.Info.Capacity);
  if (!acceptsWork(Of.Info))
    return;
  OpenCapacity += times(Of.Info.Capacity, Sign);
  OpenAllocated += times(Of.Allocated, Sign);
}

void EndpointTable::refreshPlacement(Index At) {
  const Row &Changed = Rows[At];
  if (isOpen(At))
    Placement.update(At, room(At) - Changed.Held, Changed.Info.Capacity,
                     Changed.Rack);
  else
    Placement.remove(At);
}

void EndpointTable::allocate(Index At, const Resources &Amount) {
  Rows[At].Allocated += Amount;
  if (isOpen(At))
    OpenAllocated += Amount;
  refreshPlacement(At);
}

void EndpointTable::release(Index At, const Resources &Amount) {
  Rows[At].Allocated -= Amount;
  if (isOpen(At))
    OpenAllocated -= Amount;
  RoomGained.push_back(At);
  refreshPlacement(At);
}

void EndpointTable::hold(Index At, const Resources &Amount) {
  Rows[At].Held += Amount;
  refreshPlacement(At);
}

void EndpointTable::unhold(Index At, const Resources &Amount) {
  Rows[At].Held -= Amount;
  RoomGained.push_back(At);
  refreshPlacement(At);
}

void EndpointTable::undoTrialHolds(const std::vector<Index> &Places,
                                   const Resources &Amount) {
  for (Index At : Places) {
    Rows[At].Held -= Amount;
    refreshPlacement(At);
  }
}

std::optional<EndpointTable::Index>
EndpointTable::choose(const Resources &Need,
                      const PlacementIndex::RackLoad *Racks) const {
  return Placement.choose(Need, Racks);
}

std::optional<EndpointTable::Index>
EndpointTable::firstFit(const Resources &Need) const {
  for (const auto &[Id, At] : Ids)
    if (isOpen(At) && fits(Need, room(At) - Rows[At].Held))
      return At;
  return std::nullopt;
}

bool EndpointTable::fitsSomeCapacity(const Resources &Need) const {
  return std::any_of(
      CapacityCounts.begin(), CapacityCounts.end(),
      [&](const auto &Entry) { return fits(Need, Entry.first); });
}

int64_t EndpointTable::placesWhenEmpty(const Resources &Need) const {
  int64_t Places = 0;
  for (const auto &[Capacity, Count] : CapacityCounts)
    Places += Count * placesIn(Need, Capacity);
  return Places;
}

} // namespace teaselwalk::schedule
