#include "reclaim_plan.hpp"
#include "state_functions.hpp"

#include <algorithm>

// Preemption: whom it serves, in which order, and the commands to the tasks.
namespace teaselwalk::schedule {

namespace {

using TaskIndex = RunningSet::Index;

// Units planned for in one call. The others wait for the next, 250 ms later.
constexpr size_t MaxUrgentPlans = 16;
constexpr size_t MaxSharePlans = 4;
// A stop command is repeated after this time if the task has not ended.
constexpr Duration StopRepeatInterval{1000};

/// Resources that preemption is moving from team to team, by team.
struct PendingTransfers {
  std::vector<Resources> Outgoing; ///< Of tasks that are being preempted.
  std::vector<Resources> Incoming; ///< Of units with an `IsReclaiming` hold.
};

PendingTransfers pendingTransfers(const SchedulerState &State) {
  PendingTransfers Result;
  Result.Outgoing.resize(State.Teams.size());
  Result.Incoming.resize(State.Teams.size());
  for (const auto &[When, Task] : State.PendingStops)
    if (auto At = State.Running.find(Task))
      Result.Outgoing[State.Running.at(*At).Team] +=
          State.Running.at(*At).Charged;
  for (const auto &[Id, Value] : State.Holds)
    if (const Unit *Waiting = State.Queue.find(Id);
        Waiting && Value.IsReclaiming)
      Result.Incoming[Waiting->Team] += Waiting->total();
  return Result;
}

void beginPreemption(SchedulerState &State, TaskIndex At, ReclaimReason Reason,
                     TimePoint Now, std::vector<ReclaimStep> &Out) {
  RunningRecord &Record = State.Running.at(At);
  if (Record.StopAt)
    return;
  Record.StopAt = Now + State.Options.CheckpointGrace;
  Record.Reason = Reason;
  State.PendingStops.emplace(*Record.StopAt, Record.Task);
  Out.push_back({Record.Task, State.Endpoints.info(Record.Endpoint).Id,
                 protocol::StopMode::Checkpoint, Reason});
}

/// Stops tasks whose checkpoint took too long, and repeats stop commands to
/// tasks that have not ended.
void advancePreemptions(SchedulerState &State, TimePoint Now,
                        std::vector<ReclaimStep> &Out) {
  while (!State.PendingStops.empty() &&
         State.PendingStops.begin()->first <= Now) {
    TaskId Task = State.PendingStops.begin()->second;
    State.PendingStops.erase(State.PendingStops.begin());
    std::optional<TaskIndex> At = State.Running.find(Task);
    if (!At)
      continue;
    RunningRecord &Record = State.Running.at(*At);
    Record.StopAt = Now + StopRepeatInterval;
    State.PendingStops.emplace(*Record.StopAt, Task);
    Out.push_back({Task, State.Endpoints.info(Record.Endpoint).Id,
                   protocol::StopMode::Stop, Record.Reason});
  }
}

/// Preempts backfilled tasks that still run when the reservation starts.
void reclaimOverdueBackfill(SchedulerState &State, TimePoint Now,
                            std::vector<ReclaimStep> &Out) {
  if (!State.Reserved)
    return;
  const Hold &Reservation = State.Holds.at(*State.Reserved);
  if (Now < Reservation.Start)
    return;
  for (const HeldPlace &Place : Reservation.Places)
    for (TaskIndex At : State.Running.onEndpoint(Place.Endpoint))
      if (State.Running.at(At).IsBackfill)
        beginPreemption(State, At, ReclaimReason::Reservation, Now, Out);
}

/// Preempts the newest tasks of teams that are above their allowance, such as
/// after it was lowered.
void reclaimAboveAllowance(SchedulerState &State,
                           const PendingTransfers &Transfers, TimePoint Now,
                           std::vector<ReclaimStep> &Out) {
  for (TeamTable::Index Team = 0; Team < State.Teams.size(); ++Team) {
    const TeamAccount &Account = State.Teams.at(Team);
    Resources Left = Account.Declared - Transfers.Outgoing[Team];
    int64_t Count = Account.Running;
    auto IsAbove = [&] {
      return Count > Account.Settings.MaxRunningTasks ||
             !fits(Left, Account.Settings.Allowance);
    };
    if (!IsAbove())
      continue;
    const auto &Tasks = State.Running.ofTeam(Team);
    for (const auto &[Order, At] : Tasks)
      Count -= State.Running.at(At).StopAt ? 1 : 0;
    for (auto Next = Tasks.rbegin(); Next != Tasks.rend() && IsAbove();
         ++Next) {
      const RunningRecord &Record = State.Running.at(Next->second);
      if (Record.StopAt)
        continue;
      Left -= Record.Size;
      --Count;
      beginPreemption(State, Next->second, ReclaimReason::Allowance, Now, Out);
    }
  }
}

/// Preempts tasks to make room for a unit and holds the room for it. Returns
/// false if no plan was found.
bool reclaimFor(SchedulerState &State, const ReclaimRequest &Request,
                PendingTransfers &Transfers, TimePoint Now,
                std::vector<ReclaimStep> &Out) {
  ReclaimPlan Found;
  Found.Outgoing = Transfers.Outgoing;
  if (!planReclaim(State, Request, Found))
    return false;
  for (TaskIndex Victim : Found.Victims)
    beginPreemption(State, Victim, Request.Reason, Now, Out);
  Transfers.Outgoing = std::move(Found.Outgoing);
  Transfers.Incoming[Request.Waiting->Team] += Request.Waiting->total();
  Hold NewHold;
  NewHold.Unit = Request.Waiting->Id;
  NewHold.Size = Request.Waiting->Spec.Size;
  NewHold.Places = std::move(Found.Places);
  NewHold.Start = Now + State.Options.CheckpointGrace;
  NewHold.IsReclaiming = true;
  removeHold(State, NewHold.Unit);
  addHold(State, std::move(NewHold));
  return true;
}

bool isReclaiming(const SchedulerState &State, UnitId Id) {
  auto Found = State.Holds.find(Id);
  return Found != State.Holds.end() && Found->second.IsReclaiming;
}

size_t reclaimingHolds(const SchedulerState &State) {
  return static_cast<size_t>(
      std::count_if(State.Holds.begin(), State.Holds.end(),
                    [](const auto &Row) { return Row.second.IsReclaiming; }));
}

void reclaimForUrgent(SchedulerState &State, PendingTransfers &Transfers,
                      TimePoint Now, std::vector<ReclaimStep> &Out) {
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
      if (reclaimingHolds(State) >= State.Options.MaxReclaims)
        return;
      const Unit &Value = *State.Queue.find(Id);
      if (isReclaiming(State, Id))
        continue;
      if (++Plans > MaxUrgentPlans)
        return;
      bool Allowed = State.Teams.allows(
          Team, Value.Spec.Size, static_cast<int64_t>(Value.Tasks.size()));
      reclaimFor(State, {&Value, ReclaimReason::Urgent, 0, !Allowed}, Transfers,
                 Now, Out);
    }
  }
}

/// A unit of the team, other than urgent, that has waited for
/// `ShareReclaimWait` and for which no room is being taken back yet; null if
/// none is found. Classes come in their order, and within a class the oldest
/// shape comes first. The whole search ends at the first unit that has waited
/// less, or after `MaxShapes` units of a class.
const Unit *unitDueForReclaim(const SchedulerState &State,
                              TeamTable::Index Team, TimePoint Now) {
  for (TaskClass Class :
       {TaskClass::Call, TaskClass::Service, TaskClass::Batch}) {
    size_t Left = State.Options.MaxShapes;
    for (const auto &[First, Head] : State.Queue.queueOf(Team, Class).heads())
      for (UnitId Id : *Head.Units) {
        const Unit &Value = *State.Queue.find(Id);
        if (Left-- == 0 || Value.Arrived + State.Options.ShareReclaimWait > Now)
          return nullptr;
        if (!isReclaiming(State, Id))
          return &Value;
      }
  }
  return nullptr;
}

void reclaimForShares(SchedulerState &State, PendingTransfers &Transfers,
                      TimePoint Now, std::vector<ReclaimStep> &Out) {
  const double MeanShare = State.Teams.meanShare();
  std::vector<TeamTable::Index> Below;
  for (const auto &[Share, Team] : State.Teams.order(TeamTable::NormalTier))
    if (Share < MeanShare)
      Below.push_back(Team);
  const size_t First = State.ReclaimCalls++ * MaxSharePlans;
  for (size_t I = 0; I < std::min(MaxSharePlans, Below.size()); ++I) {
    if (reclaimingHolds(State) >= State.Options.MaxReclaims)
      return;
    const TeamTable::Index Team = Below[(First + I) % Below.size()];
    const Unit *Value = unitDueForReclaim(State, Team, Now);
    if (!Value)
      continue;
    Resources Expected = Transfers.Incoming[Team] + Value->total();
    if (!State.Teams.allows(Team, Expected,
                            static_cast<int64_t>(Value->Tasks.size())))
      continue;
    ReclaimRequest Request{Value, ReclaimReason::Share,
                           State.Teams.shareWith(Team, Expected) *
                               State.Options.ShareMargin,
                           false};
    reclaimFor(State, Request, Transfers, Now, Out);
  }
}

} // namespace

std::vector<ReclaimStep> reclaimSteps(SchedulerState &State, TimePoint Now) {
  std::vector<ReclaimStep> Out;
  refreshShares(State);
  advancePreemptions(State, Now, Out);
  reclaimOverdueBackfill(State, Now, Out);
  reclaimAboveAllowance(State, pendingTransfers(State), Now, Out);
  PendingTransfers Transfers = pendingTransfers(State);
  reclaimForUrgent(State, Transfers, Now, Out);
  reclaimForShares(State, Transfers, Now, Out);
  return Out;
}

} // namespace teaselwalk::schedule
