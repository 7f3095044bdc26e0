#include "state_functions.hpp"

#include <algorithm>
#include <set>

// Planning of the reservation and of share holds, from the expected ends of
// running tasks.
namespace teaselwalk::schedule {

namespace {

/// From `When` on, one more task of the unit fits on the endpoint.
struct Opening {
  TimePoint When;
  EndpointTable::Index Endpoint;
};

// Endpoints considered when a hold is planned: this many per task of the unit,
// but not fewer than the minimum. Bounds the cost on a large cluster.
constexpr size_t EndpointsPerTask = 4;
constexpr size_t MinEndpoints = 64;
constexpr UnitId PlanStride = 61;
// Least further run time expected of a task that overran its declared end.
constexpr Duration MinOverrun{1000};
// A hold is planned again when its start has passed by this much, because tasks
// ran longer than declared.
constexpr Duration ReplanDelay{3500};

/// The declared end. A task that has run longer is expected to run on for half
/// the time that it has run so far, so that plans rely on it less and less
/// often.
TimePoint expectedEnd(const RunningRecord &Record, TimePoint Now) {
  if (*Record.End > Now)
    return *Record.End;
  return Now + std::max<Duration>(MinOverrun, (Now - Record.Start) / 2);
}

/// Appends the times at which an endpoint gains room for tasks of \p Size, by
/// the expected ends of its running tasks; at most \p Wanted of them.
void findOpenings(const SchedulerState &State, EndpointTable::Index At,
                  const Resources &Size, size_t Wanted, TimePoint Now,
                  std::vector<Opening> &Out) {
  Resources Room = State.Endpoints.room(At) - State.Endpoints.held(At);
  std::vector<std::pair<TimePoint, const Resources *>> Ends;
  for (RunningSet::Index Task : State.Running.onEndpoint(At)) {
    const RunningRecord &Record = State.Running.at(Task);
    if (Record.End)
      Ends.emplace_back(expectedEnd(Record, Now), &Record.Charged);
  }
  std::sort(Ends.begin(), Ends.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  size_t Found = 0;
  auto Fill = [&](TimePoint When) {
    for (; Found < Wanted && fits(Size, Room); ++Found) {
      Room -= Size;
      Out.push_back({When, At});
    }
  };
  Fill(Now);
  for (const auto &[When, Amount] : Ends) {
    if (Found >= Wanted)
      break;
    Room += *Amount;
    Fill(When);
  }
}

/// A hold on the places that are expected to open first; nothing if there are
/// not enough.
std::optional<Hold> planHold(const SchedulerState &State, const Unit &Value,
                             TimePoint Now) {
  const size_t Wanted = Value.Tasks.size();
  size_t Left = std::max(MinEndpoints, EndpointsPerTask * Wanted);
  std::vector<Opening> Openings;
  for (EndpointTable::Index At = 0; At < State.Endpoints.indexEnd() && Left > 0;
       ++At) {
    if (!State.Endpoints.isOpen(At) ||
        !fits(Value.Spec.Size, State.Endpoints.info(At).Capacity))
      continue;
    --Left;
    findOpenings(State, At, Value.Spec.Size, Wanted, Now, Openings);
  }
  if (Openings.size() < Wanted)
    return std::nullopt;
  std::stable_sort(
      Openings.begin(), Openings.end(),
      [](const Opening &A, const Opening &B) { return A.When < B.When; });
  Openings.resize(Wanted);
  Hold Result;
  Result.Unit = Value.Id;
  Result.Size = Value.Spec.Size;
  Result.Start = Openings.back().When;
  std::sort(Openings.begin(), Openings.end(),
            [](const Opening &A, const Opening &B) {
              return A.Endpoint < B.Endpoint;
            });
  for (const Opening &Next : Openings) {
    if (Result.Places.empty() || Result.Places.back().Endpoint != Next.Endpoint)
      Result.Places.push_back({Next.Endpoint, 0});
    ++Result.Places.back().Tasks;
  }
  return Result;
}

bool mayReserve(const SchedulerState &State, const Unit &Value) {
  return State.Holds.count(Value.Id) == 0 &&
         State.Teams.allows(Value.Team, Value.Spec.Size,
                            static_cast<int64_t>(Value.Tasks.size()));
}

/// The oldest gang that has no hold and is within its team's allowance, or an
/// older such single task that has waited for `ReservationWait`. Single tasks
/// of teams above the mean share do not count: their team as a whole is not
/// starved, and a team with a long queue would keep the reservation forever.
const Unit *nextForReservation(const SchedulerState &State, TimePoint Now) {
  // Gangs considered; the others wait for the next decision.
  constexpr int MaxLooked = 64;
  int Left = MaxLooked;
  const Unit *Best = nullptr;
  for (UnitId Id : State.Queue.gangs()) {
    const Unit &Value = *State.Queue.find(Id);
    if (Left-- == 0)
      break;
    if (mayReserve(State, Value)) {
      Best = &Value;
      break;
    }
  }
  const double MeanShare = State.Teams.meanShare();
  for (const auto &[Share, Team] : State.Teams.order(TeamTable::NormalTier)) {
    if (Share > MeanShare)
      break;
    const Unit *Value = nextSingleTask(State, Team);
    if (Value && Value->Arrived + State.Options.ReservationWait <= Now &&
        (!Best || Value->Id < Best->Id))
      Best = Value;
  }
  return Best;
}

/// Drops the share holds that are late and those of teams whose share has
/// reached \p ShareThreshold. Returns the teams that keep a hold.
std::set<TeamTable::Index> dropStaleShareHolds(SchedulerState &State,
                                               double ShareThreshold,
                                               TimePoint Now) {
  std::set<TeamTable::Index> Kept;
  std::vector<UnitId> Dropped;
  for (const auto &[Id, Value] : State.Holds) {
    if (!Value.IsForShare)
      continue;
    TeamTable::Index Team = State.Queue.find(Id)->Team;
    if (State.Teams.at(Team).Share >= ShareThreshold ||
        Now >= Value.Start + ReplanDelay)
      Dropped.push_back(Id);
    else
      Kept.insert(Team);
  }
  for (UnitId Id : Dropped)
    removeHold(State, Id);
  return Kept;
}

} // namespace

const Unit *nextSingleTask(const SchedulerState &State, TeamTable::Index Team) {
  for (TaskClass Class :
       {TaskClass::Call, TaskClass::Service, TaskClass::Batch}) {
    size_t Left = State.Options.MaxShapes;
    for (const auto &[First, Head] : State.Queue.queueOf(Team, Class).heads()) {
      if (Left-- == 0)
        break;
      if (Head.IsGang)
        continue;
      // If the head of the shape already has a hold, the next unit counts.
      for (UnitId Next : *Head.Units) {
        const Unit &Value = *State.Queue.find(Next);
        if (mayReserve(State, Value))
          return &Value;
        if (State.Holds.count(Next) == 0)
          break;
      }
    }
  }
  return nullptr;
}

void updateShareHolds(SchedulerState &State, TimePoint Now) {
  double ShareThreshold =
      State.Teams.meanShare() * (1 - State.Options.ShareBand);
  std::set<TeamTable::Index> Kept =
      dropStaleShareHolds(State, ShareThreshold, Now);
  for (const auto &[Share, Team] : State.Teams.order(TeamTable::NormalTier)) {
    if (Share >= ShareThreshold || Kept.size() >= State.Options.MaxShareHolds)
      return;
    const Unit *Next =
        Kept.count(Team) == 0 ? nextSingleTask(State, Team) : nullptr;
    if (!Next)
      continue;
    if (std::optional<Hold> Plan = planHold(State, *Next, Now)) {
      Plan->IsForShare = true;
      Kept.insert(Team);
      addHold(State, std::move(*Plan));
    }
  }
}

void updateReservation(SchedulerState &State, TimePoint Now) {
  if (State.Reserved) {
    const Unit &Value = *State.Queue.find(*State.Reserved);
    if (State.Teams.allows(Value.Team, Value.Spec.Size,
                           static_cast<int64_t>(Value.Tasks.size())) &&
        Now < State.Holds.at(Value.Id).Start + ReplanDelay)
      return;
    removeHold(State, *State.Reserved);
  }
  const Unit *Next = nextForReservation(State, Now);
  if (!Next)
    return;
  if (std::optional<Hold> Plan = planHold(State, *Next, Now)) {
    State.Reserved = Next->Id;
    addHold(State, std::move(*Plan));
    // Teams that were blocked may now be able to backfill the reserved room.
    State.BackfillRoom = backfillRoom(State);
    ++State.Unplaceable.Version;
  }
}

} // namespace teaselwalk::schedule
