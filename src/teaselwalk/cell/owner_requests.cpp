#include "owner_limits.hpp"

#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <array>

namespace teaselwalk::cell {
namespace {

/// Pause before a task whose start was refused is placed again.
constexpr Duration RefusedStartPause{100};
/// The same pause if the endpoint rejected the start request as malformed.
constexpr Duration InvalidStartPause{1000};

void moveAll(std::vector<TaskKey> &From, std::vector<TaskKey> &To) {
  To.insert(To.end(), From.begin(), From.end());
  From.clear();
}

} // namespace

bool Owner::mayStartOn(const TrackedEndpoint &Endpoint,
                       const std::string &Service, TimePoint Now) const {
  return Endpoint.IsListed && Endpoint.isDescribed() &&
         !Endpoint.Info.Draining && Endpoint.Info.Service == Service &&
         Endpoint.FencedToken == Endpoint.Token && Endpoint.StrayRuns.empty() &&
         Now - std::max(Endpoint.LastAnswerAt, Endpoint.LastAliveAt) <
             MaxSilenceToStart &&
         Now - Endpoint.LastAnswerAt < ContactTimeout &&
         Endpoint.SuspendedUntil <= Now &&
         Hooks.Desired->EvacuatedDataCentres.count(Endpoint.Info.DataCentre) ==
             0;
}

TimePoint Owner::ownershipConfirmedAt() const {
  return std::max(Hooks.OwnershipConfirmedAt(), Writer.confirmedAt());
}

bool Owner::isDesiredStateFresh() const {
  std::optional<TimePoint> Confirmed = Hooks.DesiredStateConfirmedAt();
  return Confirmed && Clock.now() - *Confirmed < MaxDesiredStateAge;
}

bool Owner::maySendStart(const TaskProgress &Task, const std::string &Service) {
  const TrackedEndpoint &Endpoint = Table[Task.AssignedTo];
  // The capacity may have shrunk since the task was assigned.
  return mayStartOn(Endpoint, Service, Clock.now()) &&
         Endpoint.IncarnationMs == Task.IncarnationMs &&
         fits(Endpoint.Reserved, Endpoint.Info.Capacity);
}

void Owner::suspendEndpoint(TrackedEndpoint &Endpoint, Duration First) {
  // On an endpoint that runs only services no run ends as done, so time has to
  // show that it works again.
  bool IsRepeated = Endpoint.LatestSuspension.count() > 0 &&
                    Clock.now() - Endpoint.SuspendedUntil < LongestSuspension;
  Endpoint.LatestSuspension =
      IsRepeated
          ? std::min<Duration>(Endpoint.LatestSuspension * 2, LongestSuspension)
          : First;
  Endpoint.SuspendedUntil = Clock.now() + Endpoint.LatestSuspension;
  Log.event(EventName::EndpointSuspended,
            {{"endpoint", Endpoint.Info.Id.str()},
             {"failures", std::to_string(Endpoint.ConsecutiveFailures)},
             {"for_ms", std::to_string(Endpoint.LatestSuspension.count())}});
}

void Owner::sendAssignedStarts(JobProgress &Job) {
  TimePoint Now = Clock.now();
  bool HasAuthority =
      Now - ownershipConfirmedAt() < MaxConfirmationAgeToStart &&
      isDesiredStateFresh();
  const std::string &Service = policyOf(Job).Service;
  bool MayStart = HasAuthority && !Job.isEnded();
  std::vector<TaskKey> Ready;
  std::vector<TaskKey> Postponed;
  std::vector<TaskKey> Released;
  for (auto &[Number, Occurrence] : Job.Occurrences)
    for (size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
      StepProgress &Step = Occurrence.Steps[S];
      std::array<std::vector<TaskKey>, 3> OfStep;
      auto &[StepReady, StepPostponed, StepReleased] = OfStep;
      for (size_t T = 0; T < Step.Tasks.size(); ++T) {
        TaskProgress &Task = Step.Tasks[T];
        if (Task.Phase != TaskPhase::Assigned || Task.IsStartSent ||
            Task.AssignmentVersion > Job.StoredVersion)
          continue;
        TaskKey Key{Job.Spec.Id, Number, static_cast<int32_t>(S),
                    static_cast<int32_t>(T)};
        if (!MayStart || !maySendStart(Task, Service))
          StepReleased.push_back(Key);
        else if (mustPostpone(Key, Task))
          StepPostponed.push_back(Key);
        else
          StepReady.push_back(Key);
      }
      // Either all tasks of a gang start or none.
      if (Job.Spec.Steps[S].Gang && !StepPostponed.empty())
        moveAll(StepReady, StepPostponed);
      if (Job.Spec.Steps[S].Gang && !StepReleased.empty()) {
        moveAll(StepReady, StepReleased);
        moveAll(StepPostponed, StepReleased);
      }
      moveAll(StepReady, Ready);
      moveAll(StepPostponed, Postponed);
      moveAll(StepReleased, Released);
    }
  for (const TaskKey &Key : Released)
    releaseTask(Key, "the endpoint or the owner may no longer start tasks");
  for (const TaskKey &Key : Ready)
    sendStart(Job, Key, *Job.find(Key));
  if (!Postponed.empty())
    retryPostponedStarts(Job, Postponed);
}

void Owner::sendStart(JobProgress &Job, const TaskKey &Key,
                      TaskProgress &Task) {
  TimePoint Now = Clock.now();
  TrackedEndpoint &Endpoint = Table[Task.AssignedTo];
  StartRequest Request;
  Request.Task = Key;
  Request.Attempt = Task.Attempt;
  Request.Payload = Job.Spec.Payload;
  Request.LeaseUntilMs = leaseEndMs(Endpoint, Now);
  Request.FencingToken = Endpoint.Token;
  Request.Checkpoint = Task.Checkpoint;
  if (policyOf(Job).NeedsAdvice) {
    auto Advice = StepAdvices.find({Key.Job, Key.Occurrence, Key.Step});
    if (Advice != StepAdvices.end())
      Request.Ticket = Advice->second.Endpoints[Task.AssignedTo].Ticket;
  }
  Task.IsStartSent = true;
  Task.StartToken = Request.FencingToken;
  Task.AssignedAt = Now;
  OpenStarts[Key] = Now;
  Endpoint.LastStartAt = Now;
  if (Task.isSuspected())
    verifyAlive(Task.AssignedTo);
  Endpoint.Leases.extend(Now);
  Log.count("starts");
  SentStart Call{{Task.AssignedTo, Request.FencingToken, Request.LeaseUntilMs,
                  Endpoint.Reading, Now},
                 Key,
                 Task.Attempt};
  Endpoints.start(Endpoint.Info, Request,
                  guarded([this, Call](const EndpointResult &Result) {
                    closeStart(Call);
                    onStartAnswer(Call, Result);
                  }));
}

bool Owner::isStartLimitReached() {
  // Starts may be released within a pass.
  size_t Overdue = std::min(Pass.OverdueStarts, OpenStarts.size());
  if (OpenStarts.size() - Overdue < Window.limit())
    return false;
  Window.recordHeldBack();
  AreTasksHeldBack = true;
  return true;
}

size_t Owner::countOverdueStarts() const {
  TimePoint Now = Clock.now();
  return static_cast<size_t>(
      std::count_if(OpenStarts.begin(), OpenStarts.end(), [&](const auto &Row) {
        return Row.second < Now && Window.isOverdue(Now - Row.second);
      }));
}

void Owner::closeStart(const SentStart &Call) {
  TimePoint Now = Clock.now();
  Window.recordAnswer(Now, Now - Call.Sent);
  JobProgress *Job = jobOf(Call.Task.Job);
  TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Call.Task);
  if (Task == nullptr || Task->Attempt == Call.Attempt)
    OpenStarts.erase(Call.Task);
  if (std::exchange(AreTasksHeldBack, false))
    requestSchedulingPass();
}

void Owner::onStartAnswer(const SentStart &Call, const EndpointResult &Result) {
  const TaskKey &Key = Call.Task;
  std::string Outcome(nameOf(EndpointOutcomeNames, Result.Outcome));
  ClockOrigin Origin = Call.Reading.originOf(Result.ClockMs, Clock.now());
  if (Origin == ClockOrigin::Other)
    logMisdirected("start", Call, Result.ClockMs,
                   {{"job", Key.Job.str()},
                    {"task", textOf(Key)},
                    {"attempt", std::to_string(Call.Attempt)},
                    {"outcome", Outcome}});
  auto Found = Table.find(Call.Endpoint);
  JobProgress *Job = jobOf(Key.Job);
  TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Key);
  if (Found == Table.end() || Task == nullptr ||
      Task->Attempt != Call.Attempt || Task->AssignedTo != Call.Endpoint ||
      Task->Phase != TaskPhase::Assigned)
    return;
  TrackedEndpoint &Endpoint = Found->second;
  bool IsAnswered = Result.Outcome != EndpointOutcome::Unknown &&
                    Result.Outcome != EndpointOutcome::Unavailable &&
                    Result.Outcome != EndpointOutcome::WrongIncarnation;
  // A clock that has gone back is that of another incarnation.
  bool IsSameReading =
      Call.Reading.IncarnationMs == Endpoint.Reading.IncarnationMs;
  if (IsAnswered && IsSameReading && Origin == ClockOrigin::Same)
    noteAlive(Endpoint, Call.Sent, Result.ClockMs);
  if (Origin == ClockOrigin::Other && IsSameReading) {
    Endpoint.HasUnreadIncarnation = true;
    if (Call.Token == Endpoint.Token)
      raiseFencingToken(Endpoint);
  }
  if (Result.Outcome == EndpointOutcome::Done) {
    Endpoint.Record.addSuccess(Clock.now());
    Task->IsIncarnationProven = Origin == ClockOrigin::Same;
    Task->StartConfirmedAt = Clock.now();
    Task->Phase = TaskPhase::Running;
    Open.markStarted(*Job);
    return;
  }
  Endpoint.IsIncarnationConfirmed = false;
  Log.count("orders_failed");
  Log.event(EventName::OrderFailed, {{"job", Key.Job.str()},
                                     {"task", textOf(Key)},
                                     {"attempt", std::to_string(Call.Attempt)},
                                     {"endpoint", Call.Endpoint.str()},
                                     {"token", std::to_string(Call.Token)},
                                     {"outcome", Outcome}});
  if (Result.Outcome == EndpointOutcome::Unknown) {
    Endpoint.Record.addUnanswered(Clock.now());
    noteFailure(Endpoint);
    // Once the endpoint has seen a higher token, it refuses the request if it
    // arrives late, and its list of runs shows whether the task has started.
    if (Call.Token == Endpoint.Token)
      raiseFencingToken(Endpoint);
    return;
  }
  if (Result.Outcome == EndpointOutcome::StaleToken &&
      Call.Token == Endpoint.Token)
    return Hooks.OwnershipLost("an endpoint has seen a higher token");
  if (Result.Outcome == EndpointOutcome::TicketRefused) {
    auto Advice = StepAdvices.find({Key.Job, Key.Occurrence, Key.Step});
    if (Advice != StepAdvices.end())
      Advice->second.Endpoints.erase(Call.Endpoint);
  }
  bool IsEndpointFault = Result.Outcome == EndpointOutcome::Unavailable ||
                         Result.Outcome == EndpointOutcome::WrongIncarnation ||
                         Result.Outcome == EndpointOutcome::NoRoom;
  if (IsEndpointFault) {
    Endpoint.Record.addFailure(Clock.now());
    suspendEndpoint(Endpoint, FirstSuspension);
  }
  Task->NotBefore = Clock.now() + (Result.Outcome == EndpointOutcome::Invalid
                                       ? InvalidStartPause
                                       : RefusedStartPause);
  releaseTask(Key, "the endpoint refused the start");
}

void Owner::sendStop(const TaskKey &Key, TaskProgress &Task) {
  auto Found = Table.find(Task.AssignedTo);
  if (Found == Table.end())
    return;
  Task.IsStopping = true;
  Task.StopSentAt = Clock.now();
  Log.count("stops");
  Endpoints.stop(Found->second.Info, Key, Task.Attempt, Found->second.Token,
                 [](const EndpointResult &) {
                   // The next renewals report that the run has ended, or list
                   // it; then it is stopped again.
                 });
}

void Owner::stopAllRuns(JobProgress &Job) {
  for (auto &[Number, Occurrence] : Job.Occurrences)
    for (size_t S = 0; S < Job.Spec.Steps.size(); ++S)
      for (size_t T = 0; T < Occurrence.Steps[S].Tasks.size(); ++T) {
        TaskProgress &Task = Occurrence.Steps[S].Tasks[T];
        TaskKey Key{Job.Spec.Id, Number, static_cast<int32_t>(S),
                    static_cast<int32_t>(T)};
        bool MayRun = Task.Phase == TaskPhase::Assigned ||
                      Task.Phase == TaskPhase::Running;
        if (MayRun && Task.IsStartSent)
          sendStop(Key, Task);
        else if (MayRun)
          releaseTask(Key, "the job has ended");
      }
}

void Owner::stopGang(JobProgress &Job, const TaskKey &Member) {
  StepProgress &Step = Job.stateOf(Member);
  for (size_t T = 0; T < Step.Tasks.size(); ++T) {
    TaskProgress &Task = Step.Tasks[T];
    TaskKey Key = Member;
    Key.Index = static_cast<int32_t>(T);
    bool MayRun =
        Task.Phase == TaskPhase::Assigned || Task.Phase == TaskPhase::Running;
    if (MayRun && Task.IsStartSent && !Task.IsStopping)
      sendStop(Key, Task);
  }
}

void Owner::releaseTask(const TaskKey &Key, const char *Why) {
  JobProgress *Job = jobOf(Key.Job);
  TaskProgress *Task = Job->find(Key);
  // This run was still active after another run had completed the task.
  if (Task->Phase == TaskPhase::Done)
    return freeResources(*Job, Key, Task->AssignedTo);
  if (Task->Phase != TaskPhase::Assigned && Task->Phase != TaskPhase::Running)
    return;
  bool WasStartSent = Task->IsStartSent;
  Log.event(EventName::RunLost, {{"job", Key.Job.str()},
                                 {"task", textOf(Key)},
                                 {"attempt", std::to_string(Task->Attempt)},
                                 {"endpoint", Task->AssignedTo.str()},
                                 {"reason", Why}});
  freeResources(*Job, Key, Task->AssignedTo);
  Job->release(Job->stateOf(Key), *Task);
  if (Job->isEnded())
    return;
  // A later owner would wait for the end of the lease again if the record still
  // named the endpoint.
  markChanged(*Job);
  if (Job->stepOf(Key).Gang && WasStartSent)
    stopGang(*Job, Key);
  StepKey Step{Key.Job, Key.Occurrence, Key.Step};
  addToBacklog(*Job, Step);
  requestStepPass(Step);
}

void Owner::completeTask(JobProgress &Job, const TaskKey &Key, bool IsCurrent) {
  OccurrenceProgress &Occurrence = Job.Occurrences.at(Key.Occurrence);
  auto Step = static_cast<size_t>(Key.Step);
  // A gang is complete as soon as one of its tasks is.
  std::vector<TaskKey> Members{Key};
  if (Job.stepOf(Key).Gang)
    for (int32_t T = 0; T < Job.stepOf(Key).Tasks; ++T)
      if (T != Key.Index)
        Members.push_back({Key.Job, Key.Occurrence, Key.Step, T});
  for (const TaskKey &Member : Members) {
    TaskProgress &Task = *Job.find(Member);
    bool MayRun =
        Task.Phase == TaskPhase::Assigned || Task.Phase == TaskPhase::Running;
    if (MayRun && !IsCurrent && Task.IsStartSent)
      // A later run is still active and uses its endpoint until it has ended.
      sendStop(Member, Task);
    else if (MayRun)
      freeResources(Job, Member, Task.AssignedTo);
    Job.complete(Occurrence, Step, Task);
  }
  if (Job.isEnded())
    return;
  markChanged(Job);
  if (Job.allDone())
    endJob(Job, JobPhase::Completed, "all tasks are done");
  else
    addReadySteps(Job);
}

void Owner::failTask(JobProgress &Job, const TaskKey &Key) {
  const StepSpec &Spec = Job.stepOf(Key);
  StepProgress &Step = Job.stateOf(Key);
  TaskProgress &Task = *Job.find(Key);
  // A gang fails as a whole: the failures of one attempt count as one.
  TaskProgress &Counted = Spec.Gang ? Step.Tasks.front() : Task;
  if (!Spec.Gang || Step.FailedAttempt != Task.Attempt)
    ++Counted.Failures;
  Step.FailedAttempt = Task.Attempt;
  int32_t Failures = Counted.Failures;
  releaseTask(Key, "failed");
  if (Job.isEnded())
    return;
  markChanged(Job);
  if (!Spec.Service && Failures >= policyOf(Job).MaxAttempts)
    endJob(Job, JobPhase::Failed, "attempts of task " + textOf(Key));
}

} // namespace teaselwalk::cell
