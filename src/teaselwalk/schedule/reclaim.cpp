#include "state_functions.hpp"

#include <algorithm>
#include <unordered_set>

namespace teaselwalk::schedule {

namespace {

using Slot = RunningSet::Slot;

// Bounds of one plan: donors' tasks looked at, and endpoints compared.
constexpr size_t MaxDonorTasks = 16;
constexpr size_t DonorTasksPerTask = 4;
// Plans of one call. The rest waits for the next call, 250 ms later.
constexpr size_t MaxUrgentPlans = 16;
constexpr size_t MaxSharePlans = 4;
// A stop whose task has not ended is asked for again after this time.
constexpr Duration StopRepeat{1000};

/// Amounts that are about to move between teams.
struct Moving {
  std::vector<Resources> Leaving; ///< Of tasks that are being stopped.
  std::vector<Resources> Coming;  ///< Of units that have a hold.
};

/// What a unit may take from others.
struct Claim {
  const Unit *For = nullptr;
  ReclaimReason Reason = ReclaimReason::Share;
  double ShareAfter = 0; ///< Donors keep at least this share.
  bool OwnTeamOnly = false;
};

struct Plan {
  std::vector<HeldPlace> Places;
  std::vector<Slot> Victims;
  std::vector<Resources> Leaving; ///< Per team, with the victims.
};

Moving moving(const SchedulerState &State) {
  Moving Result;
  Result.Leaving.resize(State.Teams.size());
  Result.Coming.resize(State.Teams.size());
  for (const auto &[When, Task] : State.Stops)
    if (auto At = State.Running.find(Task))
      Result.Leaving[State.Running.at(*At).Team] +=
          State.Running.at(*At).Charged;
  for (const auto &[Id, Value] : State.Holds)
    if (const Unit *Waiting = State.Queue.find(Id); Waiting && Value.Reclaiming)
      Result.Coming[Waiting->Team] += Waiting->total();
  return Result;
}

void beginStop(SchedulerState &State, Slot At, ReclaimReason Reason,
               TimePoint Now, std::vector<ReclaimStep> &Out) {
  RunningRecord &Record = State.Running.at(At);
  if (Record.StopAt)
    return;
  Record.StopAt = Now + State.Options.CheckpointGrace;
  Record.Reason = Reason;
  State.Stops.emplace(*Record.StopAt, Record.Task);
  Out.push_back({Record.Task, State.Endpoints.info(Record.Endpoint).Id,
                 protocol::StopMode::Checkpoint, Reason});
}

/// Stop tasks whose checkpoint took too long, and repeat unanswered stops.
void advanceStops(SchedulerState &State, TimePoint Now,
                  std::vector<ReclaimStep> &Out) {
  while (!State.Stops.empty() && State.Stops.begin()->first <= Now) {
    TaskId Task = State.Stops.begin()->second;
    State.Stops.erase(State.Stops.begin());
    std::optional<Slot> At = State.Running.find(Task);
    if (!At)
      continue;
    RunningRecord &Record = State.Running.at(*At);
    Record.StopAt = Now + StopRepeat;
    State.Stops.emplace(*Record.StopAt, Task);
    Out.push_back({Task, State.Endpoints.info(Record.Endpoint).Id,
                   protocol::StopMode::Stop, Record.Reason});
  }
}

/// End work in the reservation's room that ran longer than declared.
void reclaimOverdueBackfill(SchedulerState &State, TimePoint Now,
                            std::vector<ReclaimStep> &Out) {
  if (!State.Reserved)
    return;
  const Hold &Kept = State.Holds.at(*State.Reserved);
  if (Now < Kept.Start)
    return;
  for (const HeldPlace &Place : Kept.Places)
    for (Slot At : State.Running.on(Place.Endpoint))
      if (State.Running.at(At).Backfill)
        beginStop(State, At, ReclaimReason::Reservation, Now, Out);
}

/// Stop the newest tasks of teams whose allowance was lowered.
void reclaimAboveAllowance(SchedulerState &State, const Moving &Amounts,
                           TimePoint Now, std::vector<ReclaimStep> &Out) {
  for (TeamTable::Index Team = 0; Team < State.Teams.size(); ++Team) {
    const TeamAccount &Account = State.Teams.at(Team);
    Resources Left = Account.Declared - Amounts.Leaving[Team];
    int64_t Count = Account.Running;
    auto IsAbove = [&] {
      return Count > Account.Settings.RunningTasks ||
             !fits(Left, Account.Settings.Allowance);
    };
    if (!IsAbove())
      continue;
    const auto &Tasks = State.Running.of(Team);
    for (const auto &[Order, At] : Tasks)
      Count -= State.Running.at(At).StopAt ? 1 : 0;
    for (auto Next = Tasks.rbegin(); Next != Tasks.rend() && IsAbove();
         ++Next) {
      const RunningRecord &Record = State.Running.at(Next->second);
      if (Record.StopAt)
        continue;
      Left -= Record.Size;
      --Count;
      beginStop(State, Next->second, ReclaimReason::Allowance, Now, Out);
    }
  }
}

bool isVictim(const SchedulerState &State, const Claim &Wish, const Plan &Soon,
              Slot At) {
  const RunningRecord &Record = State.Running.at(At);
  bool Batch = Record.Class == TaskClass::Batch;
  bool Service = Record.Class == TaskClass::Service;
  if (Record.StopAt || (!Batch && !Service))
    return false;
  if (Wish.OwnTeamOnly)
    return Record.Team == Wish.For->Team;
  if (Wish.Reason == ReclaimReason::Urgent)
    return true;
  return Batch && Record.Team != Wish.For->Team &&
         State.Teams.shareWith(Record.Team,
                               Resources() - Soon.Leaving[Record.Team] -
                                   Record.Charged) >= Wish.ShareAfter;
}

/// Endpoints with tasks of the teams that have most above their share.
std::vector<EndpointTable::Index> donorEndpoints(const SchedulerState &State,
                                                 const Claim &Wish,
                                                 const Plan &Soon) {
  std::vector<TeamTable::Index> Donors;
  for (TeamTable::Index Team = 0; Team < State.Teams.size(); ++Team)
    if (!State.Running.of(Team).empty() &&
        (!Wish.OwnTeamOnly || Team == Wish.For->Team))
      Donors.push_back(Team);
  std::sort(Donors.begin(), Donors.end(), [&](auto A, auto B) {
    return State.Teams.at(A).Share > State.Teams.at(B).Share;
  });
  size_t Left =
      std::max(MaxDonorTasks, DonorTasksPerTask * Wish.For->Tasks.size());
  std::vector<EndpointTable::Index> Result;
  std::unordered_set<EndpointTable::Index> Seen;
  for (TeamTable::Index Team : Donors) {
    const auto &Tasks = State.Running.of(Team);
    size_t Looked = 0;
    for (auto Next = Tasks.rbegin();
         Next != Tasks.rend() && Left > 0 && Looked < 4 * MaxDonorTasks;
         ++Next, ++Looked) {
      if (!isVictim(State, Wish, Soon, Next->second))
        continue;
      --Left;
      EndpointTable::Index At = State.Running.at(Next->second).Endpoint;
      if (State.Endpoints.isOpen(At) &&
          fits(Wish.For->Spec.Size, State.Endpoints.info(At).Capacity) &&
          Seen.insert(At).second)
        Result.push_back(At);
    }
  }
  return Result;
}

/// Room on \p At once all stops so far have ended, beside what is held.
Resources roomAfterStops(const SchedulerState &State, const Plan &Soon,
                         const Resources &Size, EndpointTable::Index At) {
  Resources Room = State.Endpoints.room(At) - State.Endpoints.held(At);
  for (Slot Which : State.Running.on(At))
    if (State.Running.at(Which).StopAt)
      Room += State.Running.at(Which).Charged;
  for (Slot Which : Soon.Victims)
    if (State.Running.at(Which).Endpoint == At)
      Room += State.Running.at(Which).Charged;
  for (const HeldPlace &Place : Soon.Places)
    if (Place.Endpoint == At)
      for (int64_t I = 0; I < Place.Tasks; ++I)
        Room -= Size;
  return Room;
}

/// The victims on \p At that make room for one more task, or nothing.
std::optional<std::vector<Slot>> victimsOn(const SchedulerState &State,
                                           const Claim &Wish, Plan Soon,
                                           EndpointTable::Index At) {
  const Resources &Size = Wish.For->Spec.Size;
  Resources Room = roomAfterStops(State, Soon, Size, At);
  std::vector<Slot> Order(State.Running.on(At));
  // Batch before services, and the newest first: they lose the least work.
  std::sort(Order.begin(), Order.end(), [&](Slot A, Slot B) {
    const RunningRecord &Left = State.Running.at(A);
    const RunningRecord &Right = State.Running.at(B);
    return Left.Class != Right.Class ? Left.Class > Right.Class
                                     : Left.Order > Right.Order;
  });
  std::vector<Slot> Victims;
  for (Slot Next : Order) {
    if (fits(Size, Room))
      break;
    if (std::find(Soon.Victims.begin(), Soon.Victims.end(), Next) !=
            Soon.Victims.end() ||
        !isVictim(State, Wish, Soon, Next))
      continue;
    const RunningRecord &Record = State.Running.at(Next);
    Room += Record.Charged;
    Soon.Leaving[Record.Team] += Record.Charged;
    Victims.push_back(Next);
  }
  if (!fits(Size, Room))
    return std::nullopt;
  // Keep those that turn out not to be needed.
  for (size_t I = Victims.size(); I-- > 0;) {
    const Resources &Amount = State.Running.at(Victims[I]).Charged;
    if (!fits(Size, Room - Amount))
      continue;
    Room -= Amount;
    Victims.erase(Victims.begin() + static_cast<std::ptrdiff_t>(I));
  }
  return Victims;
}

void addPlace(const SchedulerState &State, Plan &To, EndpointTable::Index At,
              const std::vector<Slot> &Victims) {
  for (Slot Next : Victims) {
    const RunningRecord &Record = State.Running.at(Next);
    To.Leaving[Record.Team] += Record.Charged;
    To.Victims.push_back(Next);
  }
  for (HeldPlace &Place : To.Places)
    if (Place.Endpoint == At) {
      ++Place.Tasks;
      return;
    }
  To.Places.push_back({At, 1});
}

double cost(const SchedulerState &State, const std::vector<Slot> &Victims) {
  Resources Sum;
  for (Slot Next : Victims)
    Sum += State.Running.at(Next).Charged;
  return dominantShare(Sum, State.Endpoints.totalCapacity());
}

bool planSingle(const SchedulerState &State, const Claim &Wish, Plan &Out) {
  std::optional<std::vector<Slot>> Best;
  EndpointTable::Index Where = 0;
  for (EndpointTable::Index At : donorEndpoints(State, Wish, Out)) {
    std::optional<std::vector<Slot>> Victims = victimsOn(State, Wish, Out, At);
    if (Victims && (!Best || cost(State, *Victims) < cost(State, *Best))) {
      Best = std::move(Victims);
      Where = At;
    }
  }
  if (Best)
    addPlace(State, Out, Where, *Best);
  return Best.has_value();
}

bool planGang(const SchedulerState &State, const Claim &Wish, Plan &Out) {
  size_t Missing = Wish.For->Tasks.size();
  for (EndpointTable::Index At : donorEndpoints(State, Wish, Out))
    while (Missing > 0) {
      std::optional<std::vector<Slot>> Victims =
          victimsOn(State, Wish, Out, At);
      if (!Victims)
        break;
      addPlace(State, Out, At, *Victims);
      --Missing;
    }
  return Missing == 0;
}

/// Stop others for a unit and keep the room for it.
bool claimRoom(SchedulerState &State, const Claim &Wish, Moving &Amounts,
               TimePoint Now, std::vector<ReclaimStep> &Out) {
  Plan Found;
  Found.Leaving = Amounts.Leaving;
  if (!(Wish.For->isGang() ? planGang(State, Wish, Found)
                           : planSingle(State, Wish, Found)))
    return false;
  for (Slot Victim : Found.Victims)
    beginStop(State, Victim, Wish.Reason, Now, Out);
  Amounts.Leaving = std::move(Found.Leaving);
  Amounts.Coming[Wish.For->Team] += Wish.For->total();
  Hold Kept;
  Kept.Unit = Wish.For->Id;
  Kept.Size = Wish.For->Spec.Size;
  Kept.Places = std::move(Found.Places);
  Kept.Start = Now + State.Options.CheckpointGrace;
  Kept.Reclaiming = true;
  removeHold(State, Kept.Unit);
  addHold(State, std::move(Kept));
  return true;
}

bool isReclaiming(const SchedulerState &State, UnitId Id) {
  auto Found = State.Holds.find(Id);
  return Found != State.Holds.end() && Found->second.Reclaiming;
}

size_t reclaimCount(const SchedulerState &State) {
  return static_cast<size_t>(
      std::count_if(State.Holds.begin(), State.Holds.end(),
                    [](const auto &Row) { return Row.second.Reclaiming; }));
}

void claimForUrgent(SchedulerState &State, Moving &Amounts, TimePoint Now,
                    std::vector<ReclaimStep> &Out) {
  TeamTable::Order Order = State.Teams.order(TeamTable::UrgentLane);
  size_t Plans = 0;
  for (const auto &[Share, Team] : Order) {
    std::vector<UnitId> Heads;
    for (const auto &[First, Head] :
         State.Queue.lanes(Team, TaskClass::Urgent).heads())
      for (UnitId Id : *Head.Lane)
        if (Heads.size() < State.Options.MaxReclaims)
          Heads.push_back(Id);
    for (UnitId Id : Heads) {
      if (reclaimCount(State) >= State.Options.MaxReclaims)
        return;
      const Unit &Value = *State.Queue.find(Id);
      if (isReclaiming(State, Id))
        continue;
      if (++Plans > MaxUrgentPlans)
        return;
      bool Allowed = State.Teams.allows(
          Team, Value.Spec.Size, static_cast<int64_t>(Value.Tasks.size()));
      claimRoom(State, {&Value, ReclaimReason::Urgent, 0, !Allowed}, Amounts,
                Now, Out);
    }
  }
}

/// The oldest unit at the head of a lane that has waited for `ShareDelay`.
const Unit *waitingLong(const SchedulerState &State, TeamTable::Index Team,
                        TimePoint Now) {
  for (TaskClass Class :
       {TaskClass::Call, TaskClass::Service, TaskClass::Batch}) {
    size_t Left = State.Options.MaxLanes;
    for (const auto &[First, Head] : State.Queue.lanes(Team, Class).heads())
      for (UnitId Id : *Head.Lane) {
        const Unit &Value = *State.Queue.find(Id);
        if (Left-- == 0 || Value.Arrived + State.Options.ShareDelay > Now)
          return nullptr;
        if (!isReclaiming(State, Id))
          return &Value;
      }
  }
  return nullptr;
}

void claimForShares(SchedulerState &State, Moving &Amounts, TimePoint Now,
                    std::vector<ReclaimStep> &Out) {
  const double Level = State.Teams.level();
  std::vector<TeamTable::Index> Below;
  for (const auto &[Share, Team] : State.Teams.order(TeamTable::OtherLane))
    if (Share < Level)
      Below.push_back(Team);
  const size_t First = State.ReclaimCalls++ * MaxSharePlans;
  for (size_t I = 0; I < std::min(MaxSharePlans, Below.size()); ++I) {
    if (reclaimCount(State) >= State.Options.MaxReclaims)
      return;
    const TeamTable::Index Team = Below[(First + I) % Below.size()];
    const Unit *Value = waitingLong(State, Team, Now);
    if (!Value)
      continue;
    Resources Soon = Amounts.Coming[Team] + Value->total();
    if (!State.Teams.allows(Team, Soon,
                            static_cast<int64_t>(Value->Tasks.size())))
      continue;
    Claim Wish{Value, ReclaimReason::Share,
               State.Teams.shareWith(Team, Soon) * State.Options.ShareMargin,
               false};
    claimRoom(State, Wish, Amounts, Now, Out);
  }
}

} // namespace

std::vector<ReclaimStep> reclaimSteps(SchedulerState &State, TimePoint Now) {
  std::vector<ReclaimStep> Out;
  refreshShares(State);
  advanceStops(State, Now, Out);
  reclaimOverdueBackfill(State, Now, Out);
  reclaimAboveAllowance(State, moving(State), Now, Out);
  Moving Amounts = moving(State);
  claimForUrgent(State, Amounts, Now, Out);
  claimForShares(State, Amounts, Now, Out);
  return Out;
}

} // namespace teaselwalk::schedule
