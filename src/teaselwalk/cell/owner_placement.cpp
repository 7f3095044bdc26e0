#include "owner_limits.hpp"

#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace teaselwalk::cell {
namespace {

/// Penalty in the score of an endpoint, in thousandths of a processor, for each
/// task that a suspected one would take along if it crashed the endpoint.
constexpr double NeighbourPenalty = 200000;

/// Share of the declared run time that a step surely needs: declared times are
/// off by half.
constexpr double SurelyNeeded = 0.6;

/// How often a task that is placed waits for the scheduler's thread: its record
/// is stored, its start is answered, its end is read.
constexpr int WaitsPerTask = 3;

/// Calls \p Place with the index of each waiting task of a step until it
/// returns false: first the tasks of a service that ran before.
template <typename Call>
void forWaitingTasks(const StepSpec &Step, const StepProgress &State,
                     Call Place) {
  auto ForAll = [&](auto IsMeant) {
    for (size_t T = 0; T < State.Tasks.size() && State.Waiting > 0; ++T)
      if (State.Tasks[T].Phase == TaskPhase::Waiting &&
          IsMeant(State.Tasks[T]) && !Place(T))
        return false;
    return true;
  };
  auto RanBefore = [](const TaskProgress &Task) { return Task.Attempt > 0; };
  if (Step.Service && !ForAll(RanBefore))
    return;
  ForAll([&](const TaskProgress &Task) {
    return !Step.Service || !RanBefore(Task);
  });
}

/// The resources that a task reserves on its endpoint. An opportunistic task
/// reserves no CPU, because it gives way to tasks that need it.
Resources reservedResources(const StepSpec &Step) {
  Resources Need = Step.Need;
  if (Step.Opportunistic)
    Need.MilliCpu = 0;
  return Need;
}

} // namespace

void Owner::requestSchedulingPass() {
  if (IsPassRequested || !IsLoaded)
    return;
  IsPassRequested = true;
  // A pause of this process in a pass says nothing about the next ones.
  Duration Delay = std::clamp<Duration>(LastPassTime * PassTimeFactor,
                                        PassDelay, LongestPassPause);
  NextPassAt = Clock.now() + Delay;
  Clock.after(Delay, guarded([this] {
                IsPassRequested = false;
                TimePoint Start = Clock.now();
                runSchedulingPass();
                LastPassTime = Clock.now() - Start;
                Log.time("scheduling_pass", LastPassTime);
              }));
}

void Owner::tick() {
  // First: an exception in the code below must not end the passes.
  Clock.after(TickInterval, guarded([this] { tick(); }));
  requestSchedulingPass();
  watchProgress();
  updateDueJobs();
  removeEndedJobs();
  compactBundles();
  giveUpAfterSilence();
  TimePoint Now = Clock.now();
  noteGains(AllowedRoom.removeEnded(Now));
  noteGains(RequestedRoom.removeEnded(Now));
  for (auto &[Id, Endpoint] : Table)
    releaseIfLeasesEnded(Endpoint, Now);
  for (auto It = Table.begin(); It != Table.end();) {
    // Drops the entries that a takeover has made for endpoints that the
    // discovery list never named.
    bool IsEmpty = It->second.Info.Address.Port == 0 &&
                   It->second.Tasks.empty() && !It->second.IsListed &&
                   !awaitsVerdict(It->second);
    It = IsEmpty ? Table.erase(It) : std::next(It);
  }
}

void Owner::updateDueJobs() {
  int64_t Wall = Clock.wallMillis();
  for (const JobId &Id : Open) {
    JobProgress &Job = *Jobs[Id];
    if (Job.Spec.Repetitions > 0 && !Job.AreAllDue &&
        Wall >= Job.Spec.FirstStartMs)
      addReadySteps(Job);
  }
}

bool Owner::addToBacklog(JobProgress &Job, const StepKey &Key) {
  if (!Backlog.insert(Key).second)
    return false;
  Job.stateOf({Key.Job, Key.Occurrence, Key.Step, 0}).WaitingSince =
      Clock.now();
  noteUrgentArrival(Job, Key);
  return true;
}

void Owner::addReadySteps(JobProgress &Job) {
  int64_t Wall = Clock.wallMillis();
  closeEndedOccurrences(Job);
  Job.openDue(Wall);
  Job.AreAllDue = false;
  for (auto &[Number, Occurrence] : Job.Occurrences) {
    if (Job.Spec.Repetitions > 0 && Wall < Job.dueMs(Number))
      return;
    for (size_t S = 0; S < Job.Spec.Steps.size(); ++S)
      if (Occurrence.Steps[S].Waiting > 0 && Job.isReady(Occurrence, S)) {
        StepKey Key{Job.Spec.Id, Number, static_cast<int32_t>(S)};
        if (addToBacklog(Job, Key))
          requestStepPass(Key);
      }
  }
  Job.AreAllDue = Job.NextOccurrence == Job.Spec.occurrences();
}

void Owner::closeEndedOccurrences(JobProgress &Job) {
  for (int32_t Number : Job.closeEnded())
    forgetSteps(Job, Number);
}

void Owner::forgetSteps(const JobProgress &Job, int32_t Occurrence) {
  for (size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
    StepKey Key{Job.Spec.Id, Occurrence, static_cast<int32_t>(S)};
    Backlog.erase(Key);
    ChangedSteps.erase(Key);
    StepAdvices.erase(Key);
    dropReservations(Key);
  }
}

bool Owner::hasObjective(const JobProgress &Job, const StepKey &Key) {
  return Job.Spec.Repetitions == 0 &&
         !Job.Spec.Steps[static_cast<size_t>(Key.Step)].Service;
}

bool Owner::isRestart(const JobProgress &Job, const StepKey &Key) {
  return Job.Spec.Steps[static_cast<size_t>(Key.Step)].Service &&
         Job.mayHaveStarted();
}

bool Owner::isLate(const JobProgress &Job, const StepKey &Key) const {
  // Declared times are rough, so they decide only if not all work can be done.
  if (!hasObjective(Job, Key) || !Lag.isLong())
    return false;
  return Clock.now() + Job.ChainFrom[static_cast<size_t>(Key.Step)] +
             Lag.typical() * WaitsPerTask >
         Job.Objective;
}

bool Owner::isMissed(const JobProgress &Job, const StepKey &Key) const {
  if (!Options.Features.has(Feature::UrgentRoom) || !hasObjective(Job, Key))
    return false;
  auto Chain =
      static_cast<double>(Job.ChainFrom[static_cast<size_t>(Key.Step)].count());
  return Clock.now() + Duration(static_cast<int64_t>(Chain * SurelyNeeded)) >
         Job.Objective;
}

std::vector<BacklogStep> Owner::collectBacklog(std::set<StepKey> &Keys) {
  std::vector<BacklogStep> Result;
  TimePoint Now = Clock.now();
  for (auto It = Keys.begin(); It != Keys.end();) {
    JobProgress *Job = jobOf(It->Job);
    bool IsWaiting =
        Job != nullptr && !Job->isEnded() &&
        Job->Occurrences.count(It->Occurrence) != 0 &&
        Job->stateOf({It->Job, It->Occurrence, It->Step, 0}).Waiting > 0;
    if (!IsWaiting) {
      It = Keys.erase(It);
      continue;
    }
    if (Job->SetAsideUntil > Now) {
      ++It;
      continue;
    }
    BacklogStep Next;
    Next.Job = Job;
    Next.Key = *It;
    Next.IsRestart = isRestart(*Job, *It);
    Next.IsOverRate = Job->IsOverRate && !Next.IsRestart;
    Next.IsLate = isLate(*Job, *It);
    Next.Priority = policyOf(*Job).Priority;
    Next.IsMissed = isMissed(*Job, *It);
    Next.Objective = Job->Objective;
    Next.IsWorthless = hasObjective(*Job, *It) && Now > Job->worthlessAt();
    Result.push_back(std::move(Next));
    ++It;
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<BacklogStep>::const_iterator
Owner::placeSteps(const std::vector<BacklogStep> &Steps,
                  std::vector<BacklogStep>::const_iterator From) {
  Pass = {};
  Pass.OverdueStarts = countOverdueStarts();
  TimePoint End = Clock.now() + MaxPassTime;
  auto Next = From;
  // A placement that may not be followed by a start would be given back after
  // it is stored, and made again.
  for (; Next != Steps.end() && Clock.now() < End; ++Next) {
    if (!isDesiredStateFresh() || isStartLimitReached()) {
      Next = Steps.end();
      break;
    }
    // What can no longer be in time is left for when there is time for it.
    if (Next->IsLate) {
      Log.count("late_steps_deferred");
      continue;
    }
    if (isHeldBack(*Next->Job, Next->Key)) {
      Log.count("steps_held_back");
      continue;
    }
    Log.count("steps_considered");
    isolateFaults(*Next->Job, [&] { placeStep(*Next); });
  }
  Pass = {};
  writeChanged();
  return Next;
}

void Owner::runSchedulingPass() {
  Log.count("scheduling_passes");
  updateFleetView();
  std::vector<BacklogStep> Steps = collectBacklog(Backlog);
  // A pass that was too short for the backlog is continued.
  auto From = NextToPlace
                  ? std::lower_bound(Steps.cbegin(), Steps.cend(), *NextToPlace)
                  : Steps.cbegin();
  auto Next = placeSteps(Steps, From);
  TicksSincePass = 0;
  NextToPlace.reset();
  if (Next == Steps.cend()) {
    if (From == Steps.cbegin())
      ChangedSteps.clear();
    return;
  }
  NextToPlace = *Next;
  NextToPlace->Job = nullptr;
  requestSchedulingPass();
}

void Owner::requestStepPass(const StepKey &Key) {
  ChangedSteps.insert(Key);
  if (LastPassTime * PassTimeFactor <= PassDelay)
    return requestSchedulingPass();
  if (IsStepPassRequested || !IsLoaded)
    return;
  IsStepPassRequested = true;
  Duration Delay =
      std::clamp<Duration>(LastStepPassTime, PassDelay, LongestPassPause);
  Clock.after(Delay, guarded([this] {
                IsStepPassRequested = false;
                TimePoint Start = Clock.now();
                runStepPass();
                LastStepPassTime = Clock.now() - Start;
                Log.time("step_pass", LastStepPassTime);
              }));
}

void Owner::runStepPass() {
  if (ChangedSteps.empty())
    return;
  Log.count("step_passes");
  std::set<StepKey> Keys = std::exchange(ChangedSteps, {});
  std::vector<BacklogStep> Steps = collectBacklog(Keys);
  auto Next = placeSteps(Steps, Steps.cbegin());
  for (; Next != Steps.cend(); ++Next)
    ChangedSteps.insert(Next->Key);
  if (!ChangedSteps.empty())
    requestStepPass(*ChangedSteps.begin());
}

void Owner::placeStep(const BacklogStep &Next) {
  JobProgress &Job = *Next.Job;
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Next.Key.Step)];
  StepProgress &State =
      Job.stateOf({Next.Key.Job, Next.Key.Occurrence, Next.Key.Step, 0});
  if (!fitsTeamLimit(Job, Step.Need))
    return;
  chooseHome(Job, Next.Key);
  StepAdvice *Advice = adviceFor(Job, Next.Key);
  if (Step.Gang)
    return placeGang(Next, State, Advice);
  TimePoint Now = Clock.now();
  std::string Places;
  int32_t Placed = 0;
  bool IsShort = false;
  forWaitingTasks(Step, State, [&](size_t T) {
    TaskProgress &Task = State.Tasks[T];
    if (Task.NotBefore > Now || Task.mustAwaitVerdict())
      return true;
    if (!fitsTeamLimit(Job, Step.Need) || isStartLimitReached())
      return false;
    bool IsSuspected = Task.isSuspected();
    TrackedEndpoint *Endpoint =
        chooseEndpoint(Job, Step, Next.Key, Advice, IsSuspected);
    if (Endpoint == nullptr) {
      IsShort = true;
      return IsSuspected;
    }
    TaskKey Key{Next.Key.Job, Next.Key.Occurrence, Next.Key.Step,
                static_cast<int32_t>(T)};
    Job.assign(State, Task, Endpoint->Info.Id, Task.Attempt + 1);
    noteAssignment(*Endpoint, Task);
    Task.AssignmentVersion = Job.Version + 1;
    OpenStarts.emplace(Key, TimePoint::max());
    reserveResources(*Endpoint, Job, Key);
    if (AllowedRoom.tasksOf(Next.Key) > 0)
      noteGains(AllowedRoom.onPlaced(Next.Key, Endpoint->Info.Id,
                                     State.restarting()));
    if (IsSuspected)
      Endpoint->IsolatedTask = Key;
    ++Placed;
    Places += (Places.empty() ? "" : ",") + std::to_string(T) + "@" +
              Endpoint->Info.Id.str();
    return true;
  });
  if (Placed > 0) {
    markChanged(Job);
    Log.event(EventName::StepPlaced,
              {{"job", Next.Key.Job.str()},
               {"step", std::to_string(Next.Key.Occurrence) + '.' +
                            std::to_string(Next.Key.Step)},
               {"placed", std::to_string(Placed)},
               {"waiting", std::to_string(State.Waiting)},
               {"config", std::to_string(Hooks.Desired->Config.Version)},
               {"places", Places}});
  }
  if (IsShort && isRestart(Job, Next.Key))
    updateReservation(Job, Next.Key, State, Advice);
  if (IsShort && Advice != nullptr)
    askAdvice(Job, Next.Key, *Advice);
}

bool Owner::hasFailedInPass(const std::string &Service,
                            const Resources &Need) const {
  auto Failed = Pass.Failed.find(Service);
  return Failed != Pass.Failed.end() &&
         std::any_of(Failed->second.begin(), Failed->second.end(),
                     [&](const Resources &Less) { return fits(Less, Need); });
}

TrackedEndpoint *Owner::chooseEndpoint(const JobProgress &Job,
                                       const StepSpec &Step, const StepKey &Key,
                                       StepAdvice *Advice, bool IsSuspected) {
  Resources Need = reservedResources(Step);
  const std::string &Service = policyOf(Job).Service;
  TrackedEndpoint *Best = nullptr;
  double BestScore = std::numeric_limits<double>::max();
  auto Consider = [&](TrackedEndpoint &Endpoint) {
    Resources Room =
        Endpoint.freeCapacity() - keptRoom(Job, Key, Endpoint.Info.Id);
    if (!fits(Need, Room) || isIsolated(Endpoint, Job.Spec.Id))
      return;
    if (!Step.RequiredLabel.empty() && !Endpoint.hasLabel(Step.RequiredLabel))
      return;
    if (Step.Opportunistic &&
        Endpoint.freeCapacity().MilliCpu - Endpoint.OpportunisticCpu <
            Step.Need.MilliCpu)
      return;
    if (Step.MaxPerEndpoint > 0 &&
        countTasksOn(Endpoint, Key) >= Step.MaxPerEndpoint)
      return;
    double Score = score(Endpoint, Job, Key);
    if (IsSuspected)
      Score += NeighbourPenalty * static_cast<double>(Endpoint.Tasks.size());
    if (Score >= BestScore)
      return;
    BestScore = Score;
    Best = &Endpoint;
  };
  TimePoint Now = Clock.now();
  if (Advice == nullptr) {
    if (!isRestart(Job, Key) && hasFailedInPass(Service, Need))
      return nullptr;
    // An opportunistic task prefers the emptiest endpoints.
    Table.visitByRoom(
        Need.MilliCpu, [&](EndpointTable::Row &Row, int64_t LeastFreeCpu) {
          // None of those that follow has a lower score.
          bool IsFound = !Step.Opportunistic && !IsSuspected &&
                         BestScore <= static_cast<double>(LeastFreeCpu);
          if (!IsFound && fits(Need, Row.Free) &&
              mayStartOn(*Row.Endpoint, Service, Now))
            Consider(*Row.Endpoint);
          return !IsFound;
        });
    // The places of a gang may be given back, so its failure shows nothing.
    bool IsGeneral = Step.RequiredLabel.empty() && !Step.Opportunistic &&
                     Step.MaxPerEndpoint == 0 && !Step.Gang && !IsSuspected;
    if (Best == nullptr && IsGeneral)
      Pass.Failed[Service].push_back(Need);
    return Best;
  }
  for (const auto &[Id, Known] : Advice->Endpoints) {
    if (!Known.IsAllowed || Known.ValidUntil <= Now)
      continue;
    auto Found = Table.find(Id);
    if (Found != Table.end() &&
        Found->second.IncarnationMs == Known.IncarnationMs &&
        mayStartOn(Found->second, Service, Now))
      Consider(Found->second);
  }
  return Best;
}

int32_t Owner::countTasksOn(const TrackedEndpoint &Endpoint,
                            const StepKey &Key) const {
  return static_cast<int32_t>(std::count_if(
      Endpoint.Tasks.begin(), Endpoint.Tasks.end(), [&](const TaskKey &Task) {
        return Task.Job == Key.Job && Task.Step == Key.Step &&
               Task.Occurrence == Key.Occurrence;
      }));
}

bool Owner::fitsTeamLimit(const JobProgress &Job, const Resources &Need) const {
  const Team *SubmittingTeam = Hooks.Desired->Config.teamNamed(Job.Spec.Team);
  if (SubmittingTeam == nullptr)
    return true;
  Resources Total = Need;
  auto Used = TeamUsage.find(Job.Spec.Team);
  if (Used != TeamUsage.end())
    Total += Used->second;
  for (int64_t Resources::*Field : ResourceFields)
    if (SubmittingTeam->Limit.*Field > 0 &&
        Total.*Field > SubmittingTeam->Limit.*Field)
      return false;
  return true;
}

void Owner::reserveResources(TrackedEndpoint &Endpoint, JobProgress &Job,
                             const TaskKey &Key) {
  const StepSpec &Step = Job.stepOf(Key);
  if (!Endpoint.Tasks.insert(Key).second)
    return;
  ++Job.ReservedTasks;
  ++Job.Occurrences.at(Key.Occurrence).ReservedTasks;
  Endpoint.Reserved += reservedResources(Step);
  TeamUsage[Job.Spec.Team] += Step.Need;
  if (Step.Service)
    Endpoint.ReservedByServices += reservedResources(Step);
  Endpoint.ServingTasks += Step.TailTarget.count() > 0 ? 1 : 0;
  Endpoint.OpportunisticTasks += Step.Opportunistic ? 1 : 0;
  Endpoint.OpportunisticCpu += Step.Opportunistic ? Step.Need.MilliCpu : 0;
  Table.updateRoom(Endpoint);
}

void Owner::noteAssignment(const TrackedEndpoint &Endpoint,
                           TaskProgress &Task) const {
  Task.IncarnationMs = Endpoint.IncarnationMs;
  Task.MayHaveLongLease = !Endpoint.hasUsualLeases(Lengths, Clock.now());
  Task.AssignedAt = Clock.now();
}

void Owner::freeResources(JobProgress &Job, const TaskKey &Key,
                          const EndpointId &AssignedTo) {
  OpenStarts.erase(Key);
  auto Found = Table.find(AssignedTo);
  if (Found == Table.end() || Found->second.Tasks.erase(Key) == 0)
    return;
  const StepSpec &Step = Job.stepOf(Key);
  TrackedEndpoint &Endpoint = Found->second;
  --Job.ReservedTasks;
  --Job.Occurrences.at(Key.Occurrence).ReservedTasks;
  Endpoint.Reserved -= reservedResources(Step);
  TeamUsage[Job.Spec.Team] -= Step.Need;
  if (Step.Service)
    Endpoint.ReservedByServices -= reservedResources(Step);
  Endpoint.ServingTasks -= Step.TailTarget.count() > 0 ? 1 : 0;
  Endpoint.OpportunisticTasks -= Step.Opportunistic ? 1 : 0;
  Endpoint.OpportunisticCpu -= Step.Opportunistic ? Step.Need.MilliCpu : 0;
  Table.updateRoom(Endpoint);
  Table.noteGain(Endpoint);
}

} // namespace teaselwalk::cell
