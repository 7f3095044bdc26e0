#include "reclaim_plan.hpp"
#include "state_functions.hpp"

#include <algorithm>

namespace teaselwalk::schedule {

namespace {

using Slot = RunningSet::Slot;

// Units planned for in one call. The others wait for the next, 250 ms later.
constexpr size_t MaxUrgentPlans = 16;
constexpr size_t MaxSharePlans = 4;
// A stop command is repeated after this time if the task has not ended.
constexpr Duration StopRepeat{1000};

/// Resources that preemption is moving from team to team, by team.
struct Moving {
  std::vector<Resources> Leaving; ///< Of tasks that are being preempted.
  std::vector<Resources> Coming;  ///< Of units with a `Reclaiming` hold.
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

/// Stops tasks whose checkpoint took too long, and repeats stop commands to
/// tasks that have not ended.
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

/// Preempts backfilled tasks that still run when the reservation starts.
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

/// Preempts the newest tasks of teams that are above their allowance, such as
/// after it was lowered.
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

/// Preempts tasks to make room for a unit and holds the room for it. Returns
/// false if no plan was found.
bool claimRoom(SchedulerState &State, const Claim &Wish, Moving &Amounts,
               TimePoint Now, std::vector<ReclaimStep> &Out) {
  Plan Found;
  Found.Leaving = Amounts.Leaving;
  if (!planRoom(State, Wish, Found))
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
  TeamTable::Order Order = State.Teams.order(TeamTable::UrgentTier);
  size_t Plans = 0;
  for (const auto &[Share, Team] : Order) {
    std::vector<UnitId> Heads;
    for (const auto &[First, Head] :
         State.Queue.queueOf(Team, TaskClass::Urgent).heads())
      for (UnitId Id : *Head.Units)
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

/// A unit of the team, other than urgent, that has waited for `ShareDelay` and
/// for which no room is being taken back yet; null if there is none. Classes
/// come in their order, and within a class the oldest shape comes first.
const Unit *waitingLong(const SchedulerState &State, TeamTable::Index Team,
                        TimePoint Now) {
  for (TaskClass Class :
       {TaskClass::Call, TaskClass::Service, TaskClass::Batch}) {
    size_t Left = State.Options.MaxShapes;
    for (const auto &[First, Head] : State.Queue.queueOf(Team, Class).heads())
      for (UnitId Id : *Head.Units) {
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
  for (const auto &[Share, Team] : State.Teams.order(TeamTable::NormalTier))
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
