#include "state_functions.hpp"

#include <algorithm>

// Bookkeeping of holds, and backfill of the reservation's room.
namespace teaselwalk::schedule {

namespace {

Resources times(Resources Value, int64_t Factor) {
  for (int64_t Resources::*Field : ResourceFields)
    Value.*Field *= Factor;
  return Value;
}

} // namespace

void addHold(SchedulerState &State, Hold Value) {
  for (const HeldPlace &Place : Value.Places)
    State.Endpoints.hold(Place.Endpoint, times(Value.Size, Place.Tasks));
  State.Holds[Value.Unit] = std::move(Value);
}

void removeHold(SchedulerState &State, UnitId Unit) {
  auto Found = State.Holds.find(Unit);
  if (Found == State.Holds.end())
    return;
  for (const HeldPlace &Place : Found->second.Places)
    State.Endpoints.unhold(Place.Endpoint,
                           times(Found->second.Size, Place.Tasks));
  State.Holds.erase(Found);
  if (State.Reserved == Unit)
    State.Reserved.reset();
}

std::vector<EndpointTable::Index> endpointsIfComplete(SchedulerState &State,
                                                      UnitId Unit) {
  auto Found = State.Holds.find(Unit);
  if (Found == State.Holds.end())
    return {};
  Hold &Value = Found->second;
  auto HasRoom = [&](const HeldPlace &Place) {
    return State.Endpoints.isOpen(Place.Endpoint) &&
           fits(times(Value.Size, Place.Tasks),
                State.Endpoints.room(Place.Endpoint));
  };
  // The place that had no room last time most likely still has none.
  if (!HasRoom(Value.Places[Value.FailedPlace]))
    return {};
  for (size_t I = 0; I < Value.Places.size(); ++I)
    if (!HasRoom(Value.Places[I])) {
      Value.FailedPlace = I;
      return {};
    }
  std::vector<EndpointTable::Index> Result;
  for (const HeldPlace &Place : Value.Places)
    Result.insert(Result.end(), static_cast<size_t>(Place.Tasks),
                  Place.Endpoint);
  return Result;
}

Resources backfillRoom(const SchedulerState &State) {
  Resources Largest;
  if (!State.Reserved)
    return Largest;
  const Hold &Reservation = State.Holds.at(*State.Reserved);
  for (const HeldPlace &Place : Reservation.Places) {
    Resources Room = State.Endpoints.room(Place.Endpoint);
    for (int64_t Resources::*Field : ResourceFields)
      Largest.*Field = std::max(Largest.*Field, Room.*Field);
  }
  return Largest;
}

bool isInTimeForBackfill(const SchedulerState &State, Duration RunTime,
                         TimePoint Now) {
  if (RunTime <= Duration(0) || !State.Reserved)
    return false;
  const Hold &Reservation = State.Holds.at(*State.Reserved);
  return !Reservation.IsReclaiming && Now + RunTime <= Reservation.Start;
}

std::optional<EndpointTable::Index>
chooseBackfill(const SchedulerState &State, const Unit &Value, TimePoint Now) {
  // Places checked, to bound the cost of a decision.
  constexpr int MaxProbes = 32;
  if (Value.isGang() || !isInTimeForBackfill(State, Value.Spec.RunTime, Now))
    return std::nullopt;
  const Hold &Reservation = State.Holds.at(*State.Reserved);
  int Left = MaxProbes;
  for (const HeldPlace &Place : Reservation.Places) {
    if (Left-- == 0)
      break;
    // Backfill may use what the reservation holds, but not what other holds
    // keep on the same endpoint.
    Resources Others = State.Endpoints.held(Place.Endpoint) -
                       times(Reservation.Size, Place.Tasks);
    if (State.Endpoints.isOpen(Place.Endpoint) &&
        covers(State.Endpoints.room(Place.Endpoint) - Others, Value.Spec.Size))
      return Place.Endpoint;
  }
  return std::nullopt;
}

void dropHoldsOn(SchedulerState &State, EndpointTable::Index Endpoint) {
  std::vector<UnitId> Dropped;
  for (const auto &[Unit, Value] : State.Holds)
    if (std::any_of(
            Value.Places.begin(), Value.Places.end(),
            [&](const HeldPlace &Place) { return Place.Endpoint == Endpoint; }))
      Dropped.push_back(Unit);
  for (UnitId Unit : Dropped)
    removeHold(State, Unit);
}

} // namespace teaselwalk::schedule
