#include "owner_limits.hpp"

#include "teaselwalk/cell/log_fields.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

/// Pause before the start of an isolated task is tried again.
constexpr Duration PostponedStartRetry{40};

/// A run of this length clears its task of confirmed crashes.
constexpr Duration ClearedAfter{10000};

bool contains(const std::vector<RunAtCrash> &Runs, const TaskKey &Task,
              int64_t Attempt) {
  return std::any_of(Runs.begin(), Runs.end(), [&](const RunAtCrash &Run) {
    return Run.Task == Task && Run.Attempt == Attempt;
  });
}

} // namespace

void Owner::noteAlive(TrackedEndpoint &Endpoint, TimePoint Sent,
                      int64_t ClockMs) {
  // The answer may have waited in the queue, so it shows that the endpoint was
  // alive when it read its clock, not that it still is.
  TimePoint AliveAt = Sent;
  if (ClockMs > 0) {
    TimePoint Zero = Sent - Duration(ClockMs);
    Zero = std::max(Endpoint.ClockZero.value_or(Zero), Zero);
    Endpoint.ClockZero = Zero;
    AliveAt = std::min(Clock.now(), Zero + Duration(ClockMs));
  }
  Endpoint.LastAliveAt = std::max(Endpoint.LastAliveAt, AliveAt);
  if (AliveAt > Endpoint.FirstFailureAt)
    Endpoint.FirstFailureAt = TimePoint();
}

void Owner::noteFailure(TrackedEndpoint &Endpoint) {
  bool WasAlive = Endpoint.LastAliveAt != TimePoint();
  if (!WasAlive || Endpoint.FirstFailureAt != TimePoint())
    return;
  Endpoint.FirstFailureAt = Clock.now();
  CrashTime Crash = crashTimeOf(Endpoint);
  Lost.add(Endpoint.Info.Id, Crash,
           !suspectsOf(Crash, runsAtCrash(Endpoint, 0)).empty());
}

void Owner::noteRestart(TrackedEndpoint &Endpoint, const RenewResult &Result) {
  // What the present incarnation lists has been started there, even if the
  // request was meant for the one before.
  for (const ActiveRun &Run : Result.Running)
    noteIncarnation(Endpoint, Run.Task, Run.Attempt, Result.IncarnationMs);
  for (const EndedRun &End : Result.Ends)
    noteIncarnation(Endpoint, End.Task, End.Attempt, Result.IncarnationMs);
  if (Endpoint.IncarnationMs == 0)
    return;
  // It has crashed before its present incarnation started, whose own clock does
  // not tell when. A call may have failed since.
  TimePoint Latest = startOf(Endpoint, Result.IncarnationMs);
  bool HasFailed = Endpoint.FirstFailureAt != TimePoint();
  Endpoint.FirstFailureAt =
      HasFailed ? std::min(Endpoint.FirstFailureAt, Latest) : Latest;
  Endpoint.LastAliveAt = std::min(Endpoint.LastAliveAt, Latest);
  CrashTime Crash = crashTimeOf(Endpoint);
  Lost.add(
      Endpoint.Info.Id, Crash,
      !suspectsOf(Crash, runsAtCrash(Endpoint, Result.IncarnationMs)).empty());
}

TimePoint Owner::startOf(const TrackedEndpoint &Endpoint,
                         int64_t IncarnationMs) const {
  TimePoint Now = Clock.now();
  Duration Age(std::max<int64_t>(0, Clock.wallMillis() - IncarnationMs));
  // The wall clocks may differ or have jumped.
  return std::clamp(Now - Age, std::min(Endpoint.LastAliveAt, Now), Now);
}

void Owner::noteIncarnation(const TrackedEndpoint &Endpoint, const TaskKey &Key,
                            int64_t Attempt, int64_t IncarnationMs) {
  JobProgress *Job = jobOf(Key.Job);
  TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Key);
  if (Task != nullptr && Task->Attempt == Attempt &&
      Task->AssignedTo == Endpoint.Info.Id &&
      Task->IncarnationMs != IncarnationMs) {
    Task->IncarnationMs = IncarnationMs;
    // A misdirected start has set the lease.
    Task->MayHaveLongLease = true;
    markChanged(*Job);
  }
}

void Owner::noteSurvival(TrackedEndpoint &Endpoint) {
  if (Endpoint.FirstFailureAt != TimePoint())
    Lost.remove(Endpoint.Info.Id);
  Endpoint.HadCommonCause = false;
  for (const RunAtCrash &Run : std::exchange(Endpoint.ReleasedRuns, {}))
    withdrawSuspicion(Endpoint, Run);
}

void Owner::withdrawSuspicion(const TrackedEndpoint &Endpoint,
                              const RunAtCrash &Run) {
  JobProgress *Job = jobOf(Run.Task.Job);
  TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Run.Task);
  if (Task == nullptr || Task->suspectedCrash(Endpoint.Info.Id) == nullptr)
    return;
  dropSuspicion(*Task, Endpoint.Info.Id);
  markChanged(*Job);
  Log.count("crash_suspicions_withdrawn");
  Log.event(EventName::CrashSuspicionWithdrawn,
            {{"job", Run.Task.Job.str()},
             {"task", textOf(Run.Task)},
             {"attempt", std::to_string(Run.Attempt)},
             {"endpoint", Endpoint.Info.Id.str()},
             {"incarnation", std::to_string(Endpoint.IncarnationMs)}});
  requestSchedulingPass();
}

void Owner::dropSuspicion(TaskProgress &Task, const EndpointId &Endpoint) {
  auto &All = Task.SuspectedCrashes;
  All.erase(std::remove_if(All.begin(), All.end(),
                           [&](const SuspectedCrash &Each) {
                             return Each.Endpoint == Endpoint;
                           }),
            All.end());
}

void Owner::clearSuspicion(const TrackedEndpoint &Endpoint, JobProgress &Job,
                           TaskProgress &Task) {
  Duration Lived = Endpoint.LastAliveAt - Task.StartConfirmedAt;
  if (Lived >= SuspicionWindow && !Task.SuspectedCrashes.empty()) {
    Task.SuspectedCrashes.clear();
    markChanged(Job);
  }
  if (Lived >= ClearedAfter)
    Task.Crashes = 0;
}

CrashTime Owner::crashTimeOf(const TrackedEndpoint &Endpoint) const {
  bool HasFailed = Endpoint.FirstFailureAt != TimePoint();
  return {Endpoint.LastAliveAt,
          HasFailed ? Endpoint.FirstFailureAt : Clock.now()};
}

std::vector<RunAtCrash> Owner::runsAtCrash(const TrackedEndpoint &Endpoint,
                                           int64_t NowMs) {
  std::vector<RunAtCrash> Runs = Endpoint.ReleasedRuns;
  for (const TaskKey &Key : Endpoint.Tasks) {
    const TaskProgress &Task = *jobOf(Key.Job)->find(Key);
    if (!Task.IsStartSent)
      continue;
    if (contains(Endpoint.ReleasedRuns, Key, Task.Attempt))
      continue;
    // A run of a former owner was alive when this owner first saw it.
    bool IsOwnStart = Task.StartToken != 0;
    bool WasSeen = Task.StartConfirmedAt != TimePoint();
    Runs.push_back({Key, Task.Attempt,
                    IsOwnStart ? Task.AssignedAt : Task.StartConfirmedAt,
                    IsOwnStart || WasSeen, Task.IncarnationMs});
  }
  auto IsExcluded = [NowMs](const RunAtCrash &Run) {
    return NowMs != 0 && !Run.isOfFormerIncarnation(NowMs);
  };
  Runs.erase(std::remove_if(Runs.begin(), Runs.end(), IsExcluded), Runs.end());
  return Runs;
}

void Owner::suspectCrash(TrackedEndpoint &Endpoint) {
  Endpoint.ReleasedRuns = runsAtCrash(Endpoint, 0);
  CrashTime Crash = crashTimeOf(Endpoint);
  std::vector<RunAtCrash> Suspects = suspectsOf(Crash, Endpoint.ReleasedRuns);
  Endpoint.HadCommonCause |= Lost.haveCommonCause(Endpoint.Info.Id, Crash);
  logCrash(EventName::EndpointCrashSuspected, Endpoint, 0, Suspects, false);
  for (const RunAtCrash &Run : Suspects) {
    JobProgress *Job = jobOf(Run.Task.Job);
    TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Run.Task);
    if (Task == nullptr || Job->isEnded() || Task->Phase == TaskPhase::Done ||
        Task->CrashedAttempt >= Run.Attempt ||
        Task->suspectedCrash(Endpoint.Info.Id) != nullptr)
      continue;
    Task->CrashedAttempt = Run.Attempt;
    Task->SuspectedCrashes.push_back({Endpoint.Info.Id, Run.IncarnationMs,
                                      Run.Attempt, Clock.now(),
                                      Endpoint.HadCommonCause});
    SuspectedTasks.insert(Run.Task);
    Log.count("crashes_suspected");
    markChanged(*Job);
  }
}

void Owner::restoreSuspicions(const TaskKey &Key, TaskProgress &Task) {
  for (SuspectedCrash &Each : Task.SuspectedCrashes) {
    restoredEndpoint(Each.Endpoint)
        .ReleasedRuns.push_back(
            {Key, Each.Attempt, TimePoint(), false, Each.IncarnationMs});
    Each.Since = GainedAt;
    Task.CrashedAttempt = std::max(Task.CrashedAttempt, Each.Attempt);
    SuspectedTasks.insert(Key);
  }
}

bool Owner::isSuspected(const EndpointId &Endpoint, const RunAtCrash &Run) {
  JobProgress *Job = jobOf(Run.Task.Job);
  TaskProgress *Task =
      Job == nullptr || Job->isEnded() ? nullptr : Job->find(Run.Task);
  return Task != nullptr && Task->Phase != TaskPhase::Done &&
         Task->suspectedCrash(Endpoint) != nullptr;
}

bool Owner::awaitsVerdict(const TrackedEndpoint &Endpoint) {
  return Clock.now() - Endpoint.UnlistedSince <= LongestSilence &&
         std::any_of(Endpoint.ReleasedRuns.begin(), Endpoint.ReleasedRuns.end(),
                     [&](const RunAtCrash &Run) {
                       return isSuspected(Endpoint.Info.Id, Run);
                     });
}

void Owner::giveUpAfterSilence() {
  TimePoint Limit = Clock.now() - LongestSilence;
  for (auto It = SuspectedTasks.begin(); It != SuspectedTasks.end();) {
    TaskKey Key = *It;
    JobProgress *Job = jobOf(Key.Job);
    TaskProgress *Task =
        Job == nullptr || Job->isEnded() ? nullptr : Job->find(Key);
    bool IsOpen = Task != nullptr && !Task->SuspectedCrashes.empty();
    It = IsOpen ? std::next(It) : SuspectedTasks.erase(It);
    if (!IsOpen)
      continue;
    if (Task->Phase == TaskPhase::Waiting && Task->hasTooManyCrashes(Limit))
      endJob(*Job, JobPhase::Failed,
             "endpoints have crashed or been silent for " +
                 std::to_string(LongestSilence.count()) +
                 " ms since they started task " + textOf(Key));
  }
}

void Owner::countCrash(TrackedEndpoint &Endpoint, int64_t NowMs) {
  std::vector<RunAtCrash> Runs = runsAtCrash(Endpoint, NowMs);
  for (const RunAtCrash &Run : std::exchange(Endpoint.ReleasedRuns, {}))
    if (!Run.isOfFormerIncarnation(NowMs))
      withdrawSuspicion(Endpoint, Run);
  Endpoint.ClockZero.reset();
  bool HadCommonCause = std::exchange(Endpoint.HadCommonCause, false);
  if (Runs.empty())
    return;
  CrashTime Crash = crashTimeOf(Endpoint);
  std::vector<RunAtCrash> Suspects = suspectsOf(Crash, Runs);
  // A suspicion does not end because the restart has made the times less exact.
  for (const RunAtCrash &Run : Runs)
    if (isSuspected(Endpoint.Info.Id, Run) &&
        !contains(Suspects, Run.Task, Run.Attempt))
      Suspects.push_back(Run);
  // A job is given up as a whole, so it need not be known which of its tasks
  // has caused the crash.
  bool IsOneJob =
      std::all_of(Suspects.begin(), Suspects.end(), [&](const RunAtCrash &Run) {
        return Run.IsStartKnown && Run.Task.Job == Suspects.front().Task.Job;
      });
  bool IsProven = IsOneJob && !HadCommonCause &&
                  !Lost.haveCommonCause(Endpoint.Info.Id, Crash);
  logCrash(EventName::EndpointCrashed, Endpoint, NowMs, Suspects, IsProven);
  std::vector<TaskKey> Counted;
  for (const RunAtCrash &Run : Suspects)
    if (countAgainst(Run, Endpoint.Info.Id))
      Counted.push_back(Run.Task);
  Duration Delay = Crash.FirstFailureAt + ContactTimeout - Clock.now();
  if (!IsProven || Delay.count() <= 0)
    return giveUp(Counted, IsProven);
  giveUp(Counted, false);
  // Other endpoints that were lost at the same time may not be known yet.
  for (const TaskKey &Key : Counted)
    if (TaskProgress &Task = *jobOf(Key.Job)->find(Key);
        Task.Crashes >= CrashesToGiveUp)
      Task.NotBefore = Clock.now() + Delay;
  Clock.after(Delay, guarded([this, Id = Endpoint.Info.Id, Crash, Counted] {
                giveUp(Counted, !Lost.haveCommonCause(Id, Crash));
              }));
}

void Owner::giveUp(const std::vector<TaskKey> &Tasks, bool IsProven) {
  for (const TaskKey &Key : Tasks) {
    JobProgress *Job = jobOf(Key.Job);
    // A repetition that has ended is not kept.
    const TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Key);
    if (Task == nullptr || Job->isEnded() || Task->Phase == TaskPhase::Done)
      continue;
    if (Task->Crashes >= (IsProven ? CrashesToGiveUp : MaxCrashes))
      endJob(*Job, JobPhase::Failed,
             "endpoints have crashed under task " + textOf(Key));
  }
}

void Owner::logCrash(EventName Name, const TrackedEndpoint &Endpoint,
                     int64_t NowMs, const std::vector<RunAtCrash> &Suspects,
                     bool IsProven) {
  CrashTime Crash = crashTimeOf(Endpoint);
  std::string Names;
  for (const RunAtCrash &Run : Suspects) {
    JobProgress *Job = jobOf(Run.Task.Job);
    TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Run.Task);
    Names += (Names.empty() ? "" : ",") + Run.Task.Job.str() + '/' +
             textOf(Run.Task) + '#' + std::to_string(Run.Attempt) + ':' +
             std::to_string(Task == nullptr ? 0 : Task->Crashes);
  }
  Log.event(Name,
            {{"endpoint", Endpoint.Info.Id.str()},
             {"before", std::to_string(Endpoint.IncarnationMs)},
             {"now", NowMs == 0 ? "silent" : std::to_string(NowMs)},
             {"listed", Endpoint.IsListed ? "true" : "false"},
             {"alive_ms_ago", ageOf(Crash.LastAliveAt, Clock.now())},
             {"failed_ms_ago", ageOf(Crash.FirstFailureAt, Clock.now())},
             {"common_cause",
              Lost.haveCommonCause(Endpoint.Info.Id, Crash) ? "true" : "false"},
             {"proven", IsProven ? "true" : "false"},
             {"suspects", Names}});
}

bool Owner::countAgainst(const RunAtCrash &Run, const EndpointId &Endpoint) {
  JobProgress *Job = jobOf(Run.Task.Job);
  TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Run.Task);
  if (Task == nullptr || Job->isEnded() || Task->Phase == TaskPhase::Done)
    return false;
  bool WasSuspected = Task->suspectedCrash(Endpoint) != nullptr;
  // A suspicion that was cleared meanwhile does not come back.
  if (!WasSuspected && Task->CrashedAttempt >= Run.Attempt)
    return false;
  dropSuspicion(*Task, Endpoint);
  Task->CrashedAttempt = std::max(Task->CrashedAttempt, Run.Attempt);
  ++Task->Crashes;
  Log.count("crashes_confirmed");
  markChanged(*Job);
  return true;
}

bool Owner::isIsolated(const TrackedEndpoint &Endpoint, const JobId &Id) const {
  if (!Endpoint.IsolatedTask || Endpoint.IsolatedTask->Job == Id ||
      Endpoint.Tasks.count(*Endpoint.IsolatedTask) == 0)
    return false;
  JobProgress &Job = *Jobs.at(Endpoint.IsolatedTask->Job);
  const TaskProgress &Task = *Job.find(*Endpoint.IsolatedTask);
  if (Job.isEnded())
    return false;
  return !Task.IsStartSent ||
         Endpoint.LastAliveAt < Task.AssignedAt + SuspicionWindow;
}

bool Owner::mustPostpone(const TaskKey &Key, const TaskProgress &Task) {
  if (!Task.isSuspected())
    return false;
  const TrackedEndpoint &Endpoint = Table[Task.AssignedTo];
  bool HasUnsent = std::any_of(
      Endpoint.Tasks.begin(), Endpoint.Tasks.end(), [&](const TaskKey &Other) {
        return Other.Job != Key.Job &&
               !jobOf(Other.Job)->find(Other)->IsStartSent;
      });
  bool AreOthersCleared =
      Endpoint.LastStartAt == TimePoint() ||
      Endpoint.LastAliveAt >= Endpoint.LastStartAt + SuspicionWindow;
  return HasUnsent || !AreOthersCleared;
}

void Owner::retryPostponedStarts(JobProgress &Job,
                                 const std::vector<TaskKey> &Postponed) {
  for (const TaskKey &Key : Postponed) {
    // The runs that were started last are cleared by an answer.
    const TrackedEndpoint &Endpoint = Table[Job.find(Key)->AssignedTo];
    bool IsDue = Clock.now() >= Endpoint.LastStartAt + SuspicionWindow &&
                 Endpoint.LastAliveAt < Endpoint.LastStartAt + SuspicionWindow;
    if (IsDue && Endpoint.RenewalsInFlight <= 1)
      renew(Endpoint.Info.Id, false);
  }
  if (std::exchange(Job.IsStartPostponed, true))
    return;
  Clock.after(PostponedStartRetry, guarded([this, Id = Job.Spec.Id] {
                JobProgress *Job = jobOf(Id);
                if (Job == nullptr)
                  return;
                Job->IsStartPostponed = false;
                sendAssignedStarts(*Job);
              }));
}

void Owner::verifyAlive(const EndpointId &Id) {
  Clock.after(SuspicionWindow, guarded([this, Id] { renew(Id, false); }));
}

} // namespace teaselwalk::cell
