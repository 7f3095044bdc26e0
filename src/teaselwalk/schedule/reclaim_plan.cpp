#include "reclaim_plan.hpp"

#include <algorithm>
#include <optional>
#include <unordered_set>

// The choice of endpoints and victims for one preemption.
namespace teaselwalk::schedule {

namespace {

using TaskIndex = RunningSet::Index;

// Possible victims considered in one plan, which bounds the endpoints compared:
// this many, or more for a large gang.
constexpr size_t MaxDonorTasks = 16;
constexpr size_t DonorTasksPerTask = 4; // Of the unit that needs room.

/// Whether the running task may be preempted for the request. Quick calls and
/// urgent tasks never are; services only for urgent work or within their team.
bool isVictim(const SchedulerState &State, const ReclaimRequest &Request,
              const ReclaimPlan &SoFar, TaskIndex At) {
  const RunningRecord &Record = State.Running.at(At);
  bool Batch = Record.Class == TaskClass::Batch;
  bool Service = Record.Class == TaskClass::Service;
  if (Record.StopAt || (!Batch && !Service))
    return false;
  if (Request.OwnTeamOnly)
    return Record.Team == Request.Waiting->Team;
  if (Request.Reason == ReclaimReason::Urgent)
    return true;
  return Batch && Record.Team != Request.Waiting->Team &&
         State.Teams.shareWith(Record.Team,
                               Resources() - SoFar.Outgoing[Record.Team] -
                                   Record.Charged) >= Request.MinDonorShare;
}

/// Open endpoints that run possible victims and are large enough for a task of
/// the unit, those of the teams with the largest shares first.
std::vector<EndpointTable::Index> donorEndpoints(const SchedulerState &State,
                                                 const ReclaimRequest &Request,
                                                 const ReclaimPlan &SoFar) {
  std::vector<TeamTable::Index> Donors;
  for (TeamTable::Index Team = 0; Team < State.Teams.size(); ++Team)
    if (!State.Running.ofTeam(Team).empty() &&
        (!Request.OwnTeamOnly || Team == Request.Waiting->Team))
      Donors.push_back(Team);
  std::sort(Donors.begin(), Donors.end(), [&](auto A, auto B) {
    return State.Teams.at(A).Share > State.Teams.at(B).Share;
  });
  size_t Left = std::max(MaxDonorTasks,
                         DonorTasksPerTask * Request.Waiting->Tasks.size());
  std::vector<EndpointTable::Index> Result;
  std::unordered_set<EndpointTable::Index> Seen;
  for (TeamTable::Index Team : Donors) {
    const auto &Tasks = State.Running.ofTeam(Team);
    size_t Looked = 0;
    for (auto Next = Tasks.rbegin();
         Next != Tasks.rend() && Left > 0 && Looked < 4 * MaxDonorTasks;
         ++Next, ++Looked) {
      if (!isVictim(State, Request, SoFar, Next->second))
        continue;
      --Left;
      EndpointTable::Index At = State.Running.at(Next->second).Endpoint;
      if (State.Endpoints.isOpen(At) &&
          fits(Request.Waiting->Spec.Size, State.Endpoints.info(At).Capacity) &&
          Seen.insert(At).second)
        Result.push_back(At);
    }
  }
  return Result;
}

/// Room on \p At, apart from what is held, once all tasks that are being
/// preempted and the victims of the plan have ended, less the places that the
/// plan already uses.
Resources roomAfterStops(const SchedulerState &State, const ReclaimPlan &SoFar,
                         const Resources &Size, EndpointTable::Index At) {
  Resources Room = State.Endpoints.room(At) - State.Endpoints.held(At);
  for (TaskIndex Which : State.Running.onEndpoint(At))
    if (State.Running.at(Which).StopAt)
      Room += State.Running.at(Which).Charged;
  for (TaskIndex Which : SoFar.Victims)
    if (State.Running.at(Which).Endpoint == At)
      Room += State.Running.at(Which).Charged;
  for (const HeldPlace &Place : SoFar.Places)
    if (Place.Endpoint == At)
      for (int64_t I = 0; I < Place.Tasks; ++I)
        Room -= Size;
  return Room;
}

/// The victims on \p At that make room for one more task of the unit, perhaps
/// none; nothing if there are not enough.
std::optional<std::vector<TaskIndex>> victimsOn(const SchedulerState &State,
                                                const ReclaimRequest &Request,
                                                ReclaimPlan SoFar,
                                                EndpointTable::Index At) {
  const Resources &Size = Request.Waiting->Spec.Size;
  Resources Room = roomAfterStops(State, SoFar, Size, At);
  std::vector<TaskIndex> Order(State.Running.onEndpoint(At));
  // Batch before services, and the newest first, which lose the least work.
  std::sort(Order.begin(), Order.end(), [&](TaskIndex A, TaskIndex B) {
    const RunningRecord &Left = State.Running.at(A);
    const RunningRecord &Right = State.Running.at(B);
    return Left.Class != Right.Class ? Left.Class > Right.Class
                                     : Left.StartNumber > Right.StartNumber;
  });
  std::vector<TaskIndex> Victims;
  for (TaskIndex Next : Order) {
    if (fits(Size, Room))
      break;
    if (std::find(SoFar.Victims.begin(), SoFar.Victims.end(), Next) !=
            SoFar.Victims.end() ||
        !isVictim(State, Request, SoFar, Next))
      continue;
    const RunningRecord &Record = State.Running.at(Next);
    Room += Record.Charged;
    SoFar.Outgoing[Record.Team] += Record.Charged;
    Victims.push_back(Next);
  }
  if (!fits(Size, Room))
    return std::nullopt;
  // Spare the victims that turn out not to be needed, the last chosen first.
  for (size_t I = Victims.size(); I-- > 0;) {
    const Resources &Amount = State.Running.at(Victims[I]).Charged;
    if (!fits(Size, Room - Amount))
      continue;
    Room -= Amount;
    Victims.erase(Victims.begin() + static_cast<std::ptrdiff_t>(I));
  }
  return Victims;
}

void addPlace(const SchedulerState &State, ReclaimPlan &To,
              EndpointTable::Index At, const std::vector<TaskIndex> &Victims) {
  for (TaskIndex Next : Victims) {
    const RunningRecord &Record = State.Running.at(Next);
    To.Outgoing[Record.Team] += Record.Charged;
    To.Victims.push_back(Next);
  }
  for (HeldPlace &Place : To.Places)
    if (Place.Endpoint == At) {
      ++Place.Tasks;
      return;
    }
  To.Places.push_back({At, 1});
}

/// Dominant share of the cluster that the victims use.
double cost(const SchedulerState &State,
            const std::vector<TaskIndex> &Victims) {
  Resources Sum;
  for (TaskIndex Next : Victims)
    Sum += State.Running.at(Next).Charged;
  return dominantShare(Sum, State.Endpoints.totalCapacity());
}

bool planSingle(const SchedulerState &State, const ReclaimRequest &Request,
                ReclaimPlan &Out) {
  std::optional<std::vector<TaskIndex>> Best;
  EndpointTable::Index Where = 0;
  for (EndpointTable::Index At : donorEndpoints(State, Request, Out)) {
    std::optional<std::vector<TaskIndex>> Victims =
        victimsOn(State, Request, Out, At);
    if (Victims && (!Best || cost(State, *Victims) < cost(State, *Best))) {
      Best = std::move(Victims);
      Where = At;
    }
  }
  if (Best)
    addPlace(State, Out, Where, *Best);
  return Best.has_value();
}

bool planGang(const SchedulerState &State, const ReclaimRequest &Request,
              ReclaimPlan &Out) {
  size_t Missing = Request.Waiting->Tasks.size();
  for (EndpointTable::Index At : donorEndpoints(State, Request, Out))
    while (Missing > 0) {
      std::optional<std::vector<TaskIndex>> Victims =
          victimsOn(State, Request, Out, At);
      if (!Victims)
        break;
      addPlace(State, Out, At, *Victims);
      --Missing;
    }
  return Missing == 0;
}

} // namespace

bool planReclaim(const SchedulerState &State, const ReclaimRequest &Request,
                 ReclaimPlan &Out) {
  return Request.Waiting->isGang() ? planGang(State, Request, Out)
                                   : planSingle(State, Request, Out);
}

} // namespace teaselwalk::schedule
