#include "owner_limits.hpp"

#include "teaselwalk/cell/log_fields.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <iterator>

namespace teaselwalk::cell {
namespace {

constexpr std::array<EnumName<RunOutcome>, 6> RunOutcomeNames = {{
    {RunOutcome::Done, "done"},
    {RunOutcome::Failed, "failed"},
    {RunOutcome::Stopped, "stopped"},
    {RunOutcome::LeaseExpired, "lapsed"},
    {RunOutcome::GangBroken, "broken"},
    {RunOutcome::GangTimedOut, "alone"},
}};

} // namespace

void Owner::renewLater(const EndpointId &Id, Duration Delay) {
  Clock.after(Delay, guarded([this, Id, Due = Clock.now() + Delay] {
                Lag.record(Clock.now() - Due);
                renew(Id, true);
              }));
}

void Owner::renew(const EndpointId &Id, bool IsLongPoll) {
  auto Found = Table.find(Id);
  if (Found == Table.end())
    return;
  TrackedEndpoint &Endpoint = Found->second;
  if (IsLongPoll && Endpoint.HasOpenLongPoll)
    return;
  TimePoint Now = Clock.now();
  bool IsUnused = !Endpoint.IsListed && Endpoint.Tasks.empty() &&
                  Endpoint.StrayRuns.empty() && !awaitsVerdict(Endpoint);
  if (IsUnused && IsLongPoll && Now - Endpoint.UnlistedSince > ContactTimeout) {
    rememberRemoval(Endpoint);
    Table.erase(Found);
    // If it is listed again, it must refuse calls that were sent so far.
    ++HighestToken;
    return;
  }
  bool IsSilent = Endpoint.LastAnswerAt == TimePoint() ||
                  Now - Endpoint.LastAnswerAt > ContactTimeout;
  bool MayExtend = Now - ownershipConfirmedAt() < MaxConfirmationAgeToExtend;
  RenewRequest Request;
  Request.FencingToken = Endpoint.Token;
  // A restarted endpoint numbers its ends from the beginning, so an old number
  // could acknowledge ends that were not read. Calls fail while an endpoint
  // restarts, so no end is acknowledged after a failed call until a renewal is
  // answered, or while another renewal is open.
  bool MayAcknowledge =
      Endpoint.IsIncarnationConfirmed && Endpoint.RenewalsInFlight == 0;
  Request.AcknowledgedEnd = MayAcknowledge ? Endpoint.LastStoredEnd : 0;
  if (!IsSilent && MayExtend) {
    Request.LeaseUntilMs = leaseEndMs(Endpoint, Now);
    Endpoint.Leases.extend(Now);
  }
  bool IsAdjusting = Endpoint.ServingTasks > 0 &&
                     Endpoint.OpportunisticTasks > 0 &&
                     !Endpoint.IsCpuLimitSettled;
  bool NeedsFence = Endpoint.FencedToken < Endpoint.Token;
  if (IsLongPoll && !IsSilent && !NeedsFence)
    Request.Wait = IsAdjusting ? RenewWaitAdjusting : RenewWait;
  Endpoint.HasOpenLongPoll |= IsLongPoll;
  ++Endpoint.RenewalsInFlight;
  SentRenewal Call{
      {Id, Request.FencingToken, Request.LeaseUntilMs, Endpoint.Reading, Now},
      ++Endpoint.RenewalsSent,
      Request.AcknowledgedEnd,
      IsLongPoll};
  Log.count("renewals");
  Endpoints.renew(Endpoint.Info, Request,
                  guarded([this, Call](const RenewResult &Result) {
                    onRenewed(Call, Result);
                  }));
}

void Owner::onRenewed(const SentRenewal &Call, const RenewResult &Result) {
  const EndpointId &Id = Call.Endpoint;
  auto Found = Table.find(Id);
  if (Found == Table.end())
    return;
  TrackedEndpoint &Endpoint = Found->second;
  TimePoint Now = Clock.now();
  --Endpoint.RenewalsInFlight;
  if (Call.IsLongPoll)
    Endpoint.HasOpenLongPoll = false;
  if (Result.Outcome != EndpointOutcome::Done) {
    Endpoint.IsIncarnationConfirmed = false;
    Endpoint.IsCpuLimitSettled = false;
    Log.count("renewals_failed");
    if (Result.Outcome != EndpointOutcome::StaleToken) {
      Endpoint.Record.addUnanswered(Now);
      noteFailure(Endpoint);
    }
    if (Result.Outcome == EndpointOutcome::StaleToken &&
        Call.Token == Endpoint.Token)
      return Hooks.OwnershipLost("an endpoint has seen a higher token");
    releaseIfLeasesEnded(Endpoint, Now);
    if (Call.IsLongPoll)
      renewLater(Id, RenewRetry);
    return;
  }
  // Scheduled first: an exception in the code below must not end the renewals.
  if (Call.IsLongPoll)
    renewLater(Id, Endpoint.FencedToken == 0 ? Duration(0) : RenewPause);
  if (Call.Reading.IncarnationMs != 0 &&
      Result.IncarnationMs != Call.Reading.IncarnationMs)
    logMisdirected("renewal", Call, Result.ClockMs,
                   {{"answered_by", std::to_string(Result.IncarnationMs)},
                    {"acknowledged", std::to_string(Call.AcknowledgedEnd)}});
  // Answers may arrive out of order; one to an older renewal is ignored.
  if (Call.Number > Endpoint.LatestAnsweredRenewal) {
    Endpoint.LatestAnsweredRenewal = Call.Number;
    bool IsSameIncarnation = updateIncarnation(Endpoint, Result);
    noteAlive(Endpoint, Call.Sent, Result.ClockMs);
    Endpoint.LastAnswerAt = Now;
    // The endpoint reads its clock when it answers. If the reading were dated
    // to the start of the call, leases would end later than this owner expects.
    Endpoint.Reading = {Result.IncarnationMs, Result.ClockMs, Call.Sent, Now};
    Endpoint.FencedToken = std::max(Endpoint.FencedToken, Call.Token);
    // The token was raised when the incarnation answered first, so this call
    // has a higher one than those that were sent before.
    if (Call.Reading.IncarnationMs == Result.IncarnationMs)
      Endpoint.Leases.fence(Now);
    Endpoint.IsIncarnationConfirmed = true;
    // First, because an exception in the code below must not leave the token
    // as it was.
    if (!IsSameIncarnation)
      raiseFencingToken(Endpoint);
    handleEndedRuns(Endpoint, Result.Ends);
    reconcileRuns(Endpoint, Result, Call);
    updateCpuLimits(Endpoint);
  }
}

bool Owner::updateIncarnation(TrackedEndpoint &Endpoint,
                              const RenewResult &Result) {
  if (Endpoint.IncarnationMs == Result.IncarnationMs) {
    noteSurvival(Endpoint);
    return true;
  }
  noteRestart(Endpoint, Result);
  countCrash(Endpoint, Result.IncarnationMs);
  boundMisdirectedCalls(Endpoint, Result.IncarnationMs);
  Endpoint.HasUnreadIncarnation = false;
  int64_t Before = std::exchange(Endpoint.IncarnationMs, Result.IncarnationMs);
  if (Before == 0) {
    // No call of this owner has a token like that of the first renewal.
    Endpoint.Leases.fence(Clock.now());
    return true;
  }
  Log.event(EventName::EndpointRestarted,
            {{"endpoint", Endpoint.Info.Id.str()},
             {"before", std::to_string(Before)},
             {"now", std::to_string(Result.IncarnationMs)},
             {"clock_ms", std::to_string(Result.ClockMs)},
             {"extended_ms", ageOf(Endpoint.Leases.extendedAt(), Clock.now())},
             {"tasks", std::to_string(Endpoint.Tasks.size())}});
  Endpoint.LastSeenEnd = 0;
  Endpoint.LastStoredEnd = 0;
  Endpoint.UnacknowledgedEnds.clear();
  Endpoint.StrayRuns.clear();
  // Runs from before the restart are not listed; `reconcileRuns` releases them.
  return false;
}

void Owner::handleEndedRuns(TrackedEndpoint &Endpoint,
                            const std::vector<EndedRun> &Ends) {
  for (const EndedRun &End : Ends) {
    if (End.Number <= Endpoint.LastSeenEnd)
      continue;
    Endpoint.LastSeenEnd = End.Number;
    handleEndedRun(Endpoint, End);
    JobProgress *Job = jobOf(End.Task.Job);
    Endpoint.UnacknowledgedEnds.push_back(
        {End.Number, End.Task.Job, Job == nullptr ? 0 : Job->Version});
  }
  // Ends that need no write are acknowledged with the next renewal.
  if (!acknowledgeStoredEnds(Endpoint))
    WithUnacknowledgedEnds.insert(Endpoint.Info.Id);
}

void Owner::handleEndedRun(TrackedEndpoint &Endpoint, const EndedRun &End) {
  Endpoint.StrayRuns.erase({End.Task, End.Attempt});
  JobProgress *Job = jobOf(End.Task.Job);
  TaskProgress *Task = Job == nullptr ? nullptr : Job->find(End.Task);
  Log.event(EventName::RunEnded,
            {{"job", End.Task.Job.str()},
             {"task", textOf(End.Task)},
             {"attempt", std::to_string(End.Attempt)},
             {"endpoint", Endpoint.Info.Id.str()},
             {"how", std::string(nameOf(RunOutcomeNames, End.Outcome))},
             {"number", std::to_string(End.Number)}});
  if (Task == nullptr)
    return;
  Open.markStarted(*Job);
  bool IsCurrent = Task->Attempt == End.Attempt &&
                   Task->AssignedTo == Endpoint.Info.Id &&
                   Task->Phase != TaskPhase::Waiting;
  if (IsCurrent && Task->Phase == TaskPhase::Done)
    return freeResources(*Job, End.Task, Task->AssignedTo);
  if (!End.Checkpoint.empty() && Task->Attempt <= End.Attempt)
    Task->Checkpoint = End.Checkpoint;
  if (End.Outcome == RunOutcome::Done) {
    Endpoint.ConsecutiveFailures = 0;
    Endpoint.LatestSuspension = Duration(0);
    Endpoint.Record.addSuccess(Clock.now());
    if (IsCurrent)
      recordRunTime(Endpoint, *Job, End.Task, *Task);
    // The success of an earlier run that was taken for lost counts as well.
    return completeTask(*Job, End.Task, IsCurrent);
  }
  if (!IsCurrent)
    return;
  if (End.Outcome != RunOutcome::Failed)
    return releaseTask(
        End.Task, std::string(nameOf(RunOutcomeNames, End.Outcome)).c_str());
  Endpoint.Record.addFailure(Clock.now());
  if (++Endpoint.ConsecutiveFailures >= FailuresToSuspend)
    suspendEndpoint(Endpoint, FirstSuspension * 2);
  failTask(*Job, End.Task);
}

void Owner::logMisdirected(const char *Kind, const SentCall &Call,
                           int64_t ClockMs, EventFields Details) {
  EventFields Fields{
      {"endpoint", Call.Endpoint.str()},
      {"call", Kind},
      {"meant_for", std::to_string(Call.Reading.IncarnationMs)},
      {"clock_ms", std::to_string(ClockMs)},
      {"expected_clock_ms", std::to_string(Call.Reading.at(Clock.now()))},
      {"lease_until_ms", std::to_string(Call.LeaseUntilMs)},
      {"token", std::to_string(Call.Token)},
      {"sent_ms_ago", std::to_string((Clock.now() - Call.Sent).count())}};
  std::move(Details.begin(), Details.end(), std::back_inserter(Fields));
  Log.count("calls_misdirected");
  Log.event(EventName::CallMisdirected, std::move(Fields));
}

void Owner::reconcileRuns(TrackedEndpoint &Endpoint, const RenewResult &Result,
                          const SentRenewal &Call) {
  std::unordered_set<TaskKey> Listed;
  TimePoint Now = Clock.now();
  for (const ActiveRun &Run : Result.Running) {
    JobProgress *Job = jobOf(Run.Task.Job);
    TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Run.Task);
    bool IsAssignedHere = Task != nullptr && Task->Attempt == Run.Attempt &&
                          Task->AssignedTo == Endpoint.Info.Id &&
                          Endpoint.Tasks.count(Run.Task) != 0;
    if (!IsAssignedHere) {
      stopStrayRun(Endpoint, Run);
      continue;
    }
    Listed.insert(Run.Task);
    Task->IncarnationMs = Result.IncarnationMs;
    Task->IsIncarnationProven = true;
    if (Task->MayHaveLongLease && Endpoint.hasUsualLeases(Lengths, Now))
      Task->MayHaveLongLease = false;
    if (Task->Phase == TaskPhase::Assigned)
      Task->Phase = TaskPhase::Running;
    Open.markStarted(*Job);
    if (Task->StartConfirmedAt == TimePoint())
      Task->StartConfirmedAt = Now;
    clearSuspicion(Endpoint, *Job, *Task);
    Task->ProgressPercent = Run.ProgressPercent;
    checkProgress(Endpoint, *Job, Run.Task, *Task, Run.ProgressPercent);
    Task->LoadMetric = Run.LoadMetric;
    if (!Run.Checkpoint.empty())
      Task->Checkpoint = Run.Checkpoint;
    bool MustStop = Job->isEnded() || Task->IsStopping;
    if (MustStop && Now - Task->StopSentAt > StopRetry)
      sendStop(Run.Task, *Task);
  }
  // Stray runs that this list does not show have ended.
  for (auto It = Endpoint.StrayRuns.begin(); It != Endpoint.StrayRuns.end();)
    It = It->second < Call.Sent ? Endpoint.StrayRuns.erase(It) : std::next(It);
  if (Result.Ends.size() >= MaxEndsPerAnswer)
    return;
  std::vector<TaskKey> NoLongerListed;
  for (const TaskKey &Key : Endpoint.Tasks) {
    const TaskProgress &Task = *jobOf(Key.Job)->find(Key);
    if (Listed.count(Key) != 0 || !Task.IsStartSent)
      continue;
    // A run that is not listed has ended if it was there before the call. It
    // has never started and no longer can if its request has a lower token.
    bool WasThere = Task.StartConfirmedAt != TimePoint() &&
                    Task.StartConfirmedAt < Call.Sent;
    bool IsFenced = Task.StartToken < Call.Token;
    if (WasThere || IsFenced)
      NoLongerListed.push_back(Key);
  }
  for (const TaskKey &Key : NoLongerListed)
    releaseTask(Key, "the endpoint does not list the run");
}

void Owner::stopStrayRun(TrackedEndpoint &Endpoint, const ActiveRun &Run) {
  TimePoint Now = Clock.now();
  auto Key = std::make_pair(Run.Task, Run.Attempt);
  bool IsNew = Endpoint.StrayRuns.count(Key) == 0;
  Endpoint.StrayRuns[Key] = Now;
  if (IsNew)
    Log.event(EventName::RunStray, {{"job", Run.Task.Job.str()},
                                    {"task", textOf(Run.Task)},
                                    {"attempt", std::to_string(Run.Attempt)},
                                    {"endpoint", Endpoint.Info.Id.str()}});
  Endpoints.stop(Endpoint.Info, Run.Task, Run.Attempt, Endpoint.Token,
                 [](const EndpointResult &) {});
}

void Owner::raiseFencingToken(TrackedEndpoint &Endpoint) {
  ++Endpoint.Token;
  HighestToken = std::max(HighestToken, Endpoint.Token);
  renew(Endpoint.Info.Id, false);
}

} // namespace teaselwalk::cell
