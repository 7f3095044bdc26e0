#include "state_functions.hpp"

#include <algorithm>
#include <tuple>

// The decisions of both policies: which queued units start now, and where.
namespace teaselwalk::schedule {

namespace {

using EndpointList = std::vector<EndpointTable::Index>;

// Wait after the first failed attempt to place a gang; doubles each time.
constexpr Duration MinGangRetryDelay{100};

bool isExpired(const Unit &Value, TimePoint Now) {
  return Value.Spec.Deadline && *Value.Spec.Deadline <= Now;
}

/// Endpoints for all tasks of a gang, or none. The room is held during the
/// search, so that each task sees what is left, and released at the end.
EndpointList endpointsForGang(SchedulerState &State, const Unit &Value) {
  EndpointList Chosen;
  PlacementIndex::RackLoad Racks(State.Endpoints.rackCount(), 0);
  while (Chosen.size() < Value.Tasks.size()) {
    std::optional<EndpointTable::Index> At =
        State.Endpoints.choose(Value.Spec.Size, &Racks);
    if (!At)
      break;
    State.Endpoints.hold(*At, Value.Spec.Size);
    ++Racks[State.Endpoints.rackNumber(*At)];
    Chosen.push_back(*At);
  }
  State.Endpoints.undoTrialHolds(Chosen, Value.Spec.Size);
  if (Chosen.size() < Value.Tasks.size())
    Chosen.clear();
  return Chosen;
}

EndpointList tryGang(SchedulerState &State, Unit &Value, TimePoint Now) {
  if (Now < Value.RetryAt ||
      !fits(Value.total(), State.Endpoints.totalRoom()) ||
      isKnownUnplaceable(State, Value.Spec.Size))
    return {};
  EndpointList Chosen = endpointsForGang(State, Value);
  if (Chosen.empty()) {
    Value.RetryDelay = std::clamp(
        Value.RetryDelay * 2, MinGangRetryDelay,
        std::max(MinGangRetryDelay, State.Options.MaxGangRetryDelay));
    Value.RetryAt = Now + Value.RetryDelay;
  }
  return Chosen;
}

EndpointList trySingle(SchedulerState &State, const Unit &Value, TimePoint Now,
                       bool &Backfill) {
  if (!isKnownUnplaceable(State, Value.Spec.Size)) {
    if (auto At = State.Endpoints.choose(Value.Spec.Size, nullptr))
      return {*At};
    noteUnplaceable(State, Value.Spec.Size);
  }
  if (auto At = chooseBackfill(State, Value, Now)) {
    Backfill = true;
    return {*At};
  }
  return {};
}

/// Starts a unit if its deadline, its team's allowance and the endpoints'
/// room permit it. Returns whether it was started.
bool tryUnit(SchedulerState &State, UnitId Id, TimePoint Now,
             std::vector<Placement> &Out) {
  Unit &Value = *State.Queue.find(Id);
  if (isExpired(Value, Now) ||
      !State.Teams.allows(Value.Team, Value.Spec.Size,
                          static_cast<int64_t>(Value.Tasks.size())))
    return false;
  bool Backfill = false;
  EndpointList Chosen = endpointsIfComplete(State, Id);
  if (Chosen.empty())
    Chosen = Value.isGang() ? tryGang(State, Value, Now)
                            : trySingle(State, Value, Now, Backfill);
  if (Chosen.empty())
    return false;
  startUnit(State, Id, Chosen, Backfill, Now, Out);
  return true;
}

/// Whether a search for room can succeed, from the sizes known not to fit.
bool mayFit(const SchedulerState &State, const ShapeHead &Head, TimePoint Now) {
  return !isKnownUnplaceable(State, Head.Size) ||
         (!Head.IsGang && covers(State.BackfillRoom, Head.Size) &&
          isInTimeForBackfill(State, Head.RunTime, Now));
}

/// Heads of the oldest shapes that may fit, largest first: large tasks seldom
/// find room, while small ones fit into what is left. Units that were overtaken
/// too often come before all others, oldest first.
std::vector<UnitId> candidates(const SchedulerState &State,
                               TeamTable::Index Team, TaskClass Class,
                               TimePoint Now) {
  struct Candidate {
    bool Overtaken;
    double Size;
    UnitId Id;
  };
  std::vector<Candidate> Found;
  const Resources &Whole = State.Endpoints.totalCapacity();
  size_t Left = State.Options.MaxShapes;
  for (const auto &[Id, Head] : State.Queue.queueOf(Team, Class).heads()) {
    if (Left-- == 0)
      break;
    if (!mayFit(State, Head, Now))
      continue;
    bool Overtaken =
        State.Queue.find(Id)->Overtaken >= State.Options.MaxOvertaken;
    Found.push_back(
        {Overtaken, Overtaken ? 0 : dominantShare(Head.Size, Whole), Id});
  }
  std::sort(Found.begin(), Found.end(),
            [](const Candidate &A, const Candidate &B) {
              return std::make_tuple(!A.Overtaken, -A.Size, A.Id) <
                     std::make_tuple(!B.Overtaken, -B.Size, B.Id);
            });
  std::vector<UnitId> Result;
  Result.reserve(Found.size());
  for (const Candidate &Next : Found)
    Result.push_back(Next.Id);
  return Result;
}

/// Records that \p Started overtook the older shape heads of its team and
/// class.
void noteOvertaking(SchedulerState &State, TeamTable::Index Team,
                    TaskClass Class, UnitId Started) {
  for (const auto &[Id, Head] : State.Queue.queueOf(Team, Class).heads()) {
    if (Id >= Started)
      return;
    ++State.Queue.find(Id)->Overtaken;
  }
}

bool tryClass(SchedulerState &State, TeamTable::Index Team, TaskClass Class,
              TimePoint Now, std::vector<Placement> &Out) {
  for (UnitId Id : candidates(State, Team, Class, Now)) {
    if (!tryUnit(State, Id, Now, Out))
      continue;
    noteOvertaking(State, Team, Class, Id);
    return true;
  }
  return false;
}

/// Whether the team could start nothing when it was last tried and no size has
/// come to fit since. Teams with queued gangs are always tried, because the
/// attempts to place a gang also depend on time.
bool isKnownBlocked(const SchedulerState &State, TeamTable::Index Team,
                    TeamTable::Tier Tier) {
  const TeamAccount &Account = State.Teams.at(Team);
  return Account.QueuedGangs == 0 &&
         Account.BlockedVersion[Tier] == State.Unplaceable.Version;
}

bool tryTeam(SchedulerState &State, TeamTable::Index Team, TeamTable::Tier Tier,
             TimePoint Now, std::vector<Placement> &Out) {
  if (Tier == TeamTable::UrgentTier)
    return tryClass(State, Team, TaskClass::Urgent, Now, Out);
  for (TaskClass Class :
       {TaskClass::Call, TaskClass::Service, TaskClass::Batch})
    if (tryClass(State, Team, Class, Now, Out))
      return true;
  return false;
}

/// Keeps teams above the mean share from starting work while a team below it
/// waits for room for a single task. Otherwise teams with small tasks would
/// fill every gap, and the gaps would stay too small for the other teams
/// forever.
class ShareGate {
public:
  ShareGate(const SchedulerState &State, TeamTable::Tier Tier)
      : Applies(Tier == TeamTable::NormalTier) {
    refresh(State);
  }

  void refresh(const SchedulerState &State) {
    if (Applies)
      MeanShare = State.Teams.meanShare();
  }
  void noteBlocked(const SchedulerState &State, TeamTable::Index Team) {
    Closed = Closed || (Applies &&
                        State.Teams.at(Team).Share <
                            MeanShare * (1 - State.Options.ShareBand) &&
                        nextSingleTask(State, Team) != nullptr);
  }
  bool isClosedFor(double Share) const { return Closed && Share > MeanShare; }

private:
  bool Applies;
  bool Closed = false;
  double MeanShare = 0;
};

/// Serves teams in ascending order of their shares. Teams that could start
/// nothing are not tried again in the same pass, because room only shrinks.
/// Returns true if \p Limit cut the pass short.
bool servePass(SchedulerState &State, TeamTable::Tier Tier, size_t Limit,
               TimePoint Now, std::vector<Placement> &Out) {
  const TeamTable::Order &Order = State.Teams.order(Tier);
  ShareGate Gate(State, Tier);
  auto Next = Order.begin();
  while (Next != Order.end()) {
    if (Out.size() >= Limit)
      return true;
    const auto [Share, Team] = *Next;
    const bool Known = isKnownBlocked(State, Team, Tier);
    if (Gate.isClosedFor(Share)) {
      // Quick calls are short and a caller waits for them, so they may start.
      if (!Known && tryClass(State, Team, TaskClass::Call, Now, Out)) {
        refreshUnplaceable(State);
        Next = Order.lower_bound({Share, Team});
      } else {
        ++Next;
      }
      continue;
    }
    if (!Known && tryTeam(State, Team, Tier, Now, Out)) {
      refreshUnplaceable(State);
      Gate.refresh(State);
      Next = Order.lower_bound({Share, Team});
      continue;
    }
    State.Teams.setBlocked(Team, Tier, State.Unplaceable.Version);
    Gate.noteBlocked(State, Team);
    ++Next;
  }
  return false;
}

/// Starts the units whose holds are complete, before all other work.
void startCompleteHolds(SchedulerState &State, TimePoint Now,
                        std::vector<Placement> &Out) {
  std::vector<UnitId> Units;
  for (const auto &[Unit, Value] : State.Holds)
    Units.push_back(Unit);
  for (UnitId Unit : Units)
    if (State.Holds.count(Unit) != 0 &&
        !endpointsIfComplete(State, Unit).empty())
      tryUnit(State, Unit, Now, Out);
}

} // namespace

bool decideFair(SchedulerState &State, TimePoint Now,
                std::vector<Placement> &Out) {
  refreshShares(State);
  State.Teams.updateSurplus(Now);
  size_t Limit = Out.size() + State.Options.MaxStartsPerDecision;
  refreshUnplaceable(State);
  startCompleteHolds(State, Now, Out);
  refreshUnplaceable(State);
  if (servePass(State, TeamTable::UrgentTier, Limit, Now, Out) ||
      servePass(State, TeamTable::NormalTier, Limit, Now, Out))
    return true;
  updateReservation(State, Now);
  updateShareHolds(State, Now);
  return false;
}

bool decideFirstFitFcfs(SchedulerState &State, TimePoint Now,
                        std::vector<Placement> &Out) {
  size_t Limit = Out.size() + State.Options.MaxStartsPerDecision;
  while (!State.Queue.units().empty()) {
    if (Out.size() >= Limit)
      return true;
    const Unit &Value = State.Queue.units().begin()->second;
    if (isExpired(Value, Now) ||
        !State.Teams.allows(Value.Team, Value.Spec.Size,
                            static_cast<int64_t>(Value.Tasks.size())))
      return false;
    EndpointList Chosen;
    while (Chosen.size() < Value.Tasks.size()) {
      auto At = State.Endpoints.firstFit(Value.Spec.Size);
      if (!At)
        break;
      State.Endpoints.hold(*At, Value.Spec.Size);
      Chosen.push_back(*At);
    }
    State.Endpoints.undoTrialHolds(Chosen, Value.Spec.Size);
    if (Chosen.size() < Value.Tasks.size())
      return false;
    startUnit(State, Value.Id, Chosen, false, Now, Out);
  }
  return false;
}

} // namespace teaselwalk::schedule
