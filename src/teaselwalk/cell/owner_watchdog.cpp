#include "owner_limits.hpp"

#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

/// Each wait between the acceptance of a job and the start of its tasks has an
/// end that does not depend on the call or the timer that usually ends it.
namespace teaselwalk::cell {
namespace {

/// A job with a fault starts no tasks for this time.
constexpr Duration FaultPause{1000};
/// A stored start that was not sent is tried again after this time, and taken
/// back after the second.
constexpr Duration UnsentStartCheck{1000};
constexpr Duration LongestUnsentStart{3000};
/// A start request times out after 800 ms. Without an answer after this time
/// none will come.
constexpr Duration LongestStartAnswer{4000};
/// After a longer time between two ticks this process was held up, and answers
/// may still be in its queue.
constexpr Duration LongestTickDelay{1000};
/// The ownership is given up if what the store has last confirmed is older
/// although it has confirmed the ownership since.
constexpr Duration LongestStaleState{10000};
/// The same for what each start waits for, while the store confirms the
/// ownership without a gap: another process then has starts again within 7 s.
/// Without that condition a slow or lossy store would replace one owner after
/// the other.
constexpr Duration LongestStaleStateOfSteadyStore{4000};
/// A confirmation is older than this only if a renewal has failed or was slow.
constexpr Duration LongestConfirmationGap{1000};
/// Passes are requested with each tick. The ownership is given up if none has
/// ended for this many.
constexpr int MaxTicksWithoutPass = 16;
/// Interval of reports, and the shortest wait that is reported.
constexpr Duration WaitReportInterval{1000};
constexpr Duration ShortestReportedWait{1000};

constexpr std::array<EnumName<WaitReason>, 11> WaitReasonNames = {{
    {WaitReason::StaleConfiguration, "stale_configuration"},
    {WaitReason::StartLimit, "start_limit"},
    {WaitReason::SetAside, "set_aside"},
    {WaitReason::LateWork, "late_work"},
    {WaitReason::UrgentWork, "urgent_work"},
    {WaitReason::TeamLimit, "team_limit"},
    {WaitReason::StartPause, "start_pause"},
    {WaitReason::CrashVerdict, "crash_verdict"},
    {WaitReason::Advice, "advice"},
    {WaitReason::AdvicePause, "advice_pause"},
    {WaitReason::NoRoom, "no_room"},
}};

} // namespace

void Owner::onFault(JobProgress &Job, const char *Reason) {
  Job.SetAsideUntil = std::max(Job.SetAsideUntil, Clock.now() + FaultPause);
  Log.count("job_faults");
  Log.event(EventName::JobSetAside,
            {{"job", Job.Spec.Id.str()},
             {"for_ms", std::to_string(FaultPause.count())},
             {"reason", Reason}});
}

void Owner::watchProgress() {
  TimePoint Now = Clock.now();
  bool WasHeldUp = Now - std::exchange(LastTickAt, Now) > LongestTickDelay;
  if (WasHeldUp || Now - Hooks.OwnershipConfirmedAt() > LongestConfirmationGap)
    SteadySince = Now;
  if (!WasHeldUp) {
    if (giveUpIfStandingStill())
      return;
    endOverdueStarts();
    Dispatcher.endOverdue();
  }
  reportLongestWait();
}

void Owner::endOverdueStarts() {
  TimePoint Now = Clock.now();
  std::vector<TaskKey> Overdue;
  for (const auto &[Key, SentAt] : OpenStarts) {
    JobProgress *Job = jobOf(Key.Job);
    TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Key);
    bool IsUnsent = SentAt == TimePoint::max();
    Duration Limit = IsUnsent ? UnsentStartCheck : LongestStartAnswer;
    if (Task == nullptr || Now - Task->AssignedAt >= Limit)
      Overdue.push_back(Key);
  }
  for (const TaskKey &Key : Overdue) {
    JobProgress *Job = jobOf(Key.Job);
    TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Key);
    if (Task == nullptr || Task->Phase != TaskPhase::Assigned) {
      OpenStarts.erase(Key);
      continue;
    }
    Duration Age = Now - Task->AssignedAt;
    if (Task->IsStartSent) {
      SentStart Call;
      Call.Task = Key;
      Call.Attempt = Task->Attempt;
      Call.Endpoint = Task->AssignedTo;
      Call.Token = Task->StartToken;
      Call.Sent = Task->AssignedAt;
      closeStart(Call);
      onStartAnswer(Call, {});
    } else if (Task->AssignmentVersion > Job->Version)
      markChanged(*Job);
    else if (Task->AssignmentVersion > Job->StoredVersion) {
      if (!Writer.isBusy())
        queueWrite(Key.Job);
    } else if (Age >= LongestUnsentStart)
      releaseTask(Key, "the start was held back too long");
    else
      isolateFaults(*Job, [&] { sendAssignedStarts(*Job); });
  }
}

bool Owner::giveUpIfStandingStill() {
  if (Backlog.empty())
    TicksSincePass = 0;
  const char *What = ++TicksSincePass > MaxTicksWithoutPass
                         ? "no scheduling pass has ended"
                         : unconfirmedState();
  if (What != nullptr)
    Hooks.OwnershipLost(What);
  return What != nullptr;
}

const char *Owner::unconfirmedState() const {
  TimePoint Confirmed = Hooks.OwnershipConfirmedAt();
  bool IsSteady = Confirmed - SteadySince >= LongestStaleStateOfSteadyStore;
  // If this owner has never had an answer, another one may not have any either.
  auto LimitFor = [&](std::optional<TimePoint> At) {
    return IsSteady && At && *At > GainedAt ? LongestStaleStateOfSteadyStore
                                            : LongestStaleState;
  };
  auto IsOutdated = [&](std::optional<TimePoint> At, Duration Longest) {
    return Confirmed - std::max(GainedAt, At.value_or(GainedAt)) > Longest;
  };
  std::optional<TimePoint> Desired = Hooks.DesiredStateConfirmedAt();
  if (IsOutdated(Desired, LimitFor(Desired)))
    return "the store does not confirm the configuration";
  // Lists of many jobs take long on slow links, and no restart waits for them.
  if (IsOutdated(Intake.confirmedAt(), LongestStaleState))
    return "the store does not confirm the list of jobs";
  if (Writer.isBusy() &&
      IsOutdated(Writer.startedAt(), LimitFor(Writer.confirmedAt())))
    return "the store does not answer a write";
  return nullptr;
}

void Owner::reportOpenWrite() {
  Duration Age = Clock.now() - Writer.startedAt();
  if (!Writer.isBusy() || Age < ShortestReportedWait)
    return;
  EventFields Fields = Writer.describe();
  Fields.emplace_back("call", "commit");
  Fields.emplace_back("outcome", "waiting");
  Fields.emplace_back("for_ms", std::to_string(Age.count()));
  Fields.emplace_back("queued", std::to_string(WriteQueue.size()));
  Log.event(EventName::StoreCallFailed, std::move(Fields));
}

void Owner::reportLongestWait() {
  TimePoint Now = Clock.now();
  if (Now < NextWaitReport)
    return;
  NextWaitReport = Now + WaitReportInterval;
  reportOpenWrite();
  using Rank = std::tuple<bool, TimePoint>;
  Rank First{true, Now - ShortestReportedWait};
  const StepKey *Longest = nullptr;
  for (const StepKey &Key : Backlog) {
    JobProgress *Job = jobOf(Key.Job);
    if (Job == nullptr || Job->isEnded() ||
        Job->Occurrences.count(Key.Occurrence) == 0)
      continue;
    const StepProgress &State =
        Job->stateOf({Key.Job, Key.Occurrence, Key.Step, 0});
    if (State.Waiting == 0 || Now - State.WaitingSince < ShortestReportedWait)
      continue;
    Rank Next{!isRestart(*Job, Key), State.WaitingSince};
    if (Longest != nullptr && First <= Next)
      continue;
    First = Next;
    Longest = &Key;
  }
  if (Longest == nullptr)
    return;
  const JobProgress &Job = *jobOf(Longest->Job);
  const StepProgress &State =
      Job.stateOf({Longest->Job, Longest->Occurrence, Longest->Step, 0});
  Log.event(EventName::StepWaiting,
            {{"job", Longest->Job.str()},
             {"step", std::to_string(Longest->Occurrence) + '.' +
                          std::to_string(Longest->Step)},
             {"for_ms", std::to_string((Now - State.WaitingSince).count())},
             {"reason",
              std::string(nameOf(WaitReasonNames, waitReason(Job, *Longest)))},
             {"tasks", std::to_string(State.Waiting)},
             {"ran_before", std::to_string(State.restarting())},
             {"room_reserved", std::to_string(AllowedRoom.tasksOf(*Longest))},
             {"restart", isRestart(Job, *Longest) ? "true" : "false"},
             {"over_rate", Job.IsOverRate ? "true" : "false"},
             {"backlog", std::to_string(Backlog.size())},
             {"advice_waiting", std::to_string(Dispatcher.waiting())},
             {"open_starts", std::to_string(OpenStarts.size())},
             {"start_limit", std::to_string(Window.limit())}});
}

WaitReason Owner::waitReason(const JobProgress &Job, const StepKey &Key) const {
  TimePoint Now = Clock.now();
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  const StepProgress &State =
      Job.stateOf({Key.Job, Key.Occurrence, Key.Step, 0});
  if (!isDesiredStateFresh())
    return WaitReason::StaleConfiguration;
  if (Job.SetAsideUntil > Now)
    return WaitReason::SetAside;
  if (OpenStarts.size() >= Window.limit())
    return WaitReason::StartLimit;
  if (isLate(Job, Key))
    return WaitReason::LateWork;
  if (isHeldBack(Job, Key))
    return WaitReason::UrgentWork;
  if (!fitsTeamLimit(Job, Step.Need))
    return WaitReason::TeamLimit;
  auto HasAll = [&](auto IsHeld) {
    return std::all_of(
        State.Tasks.begin(), State.Tasks.end(), [&](const TaskProgress &Task) {
          return Task.Phase != TaskPhase::Waiting || IsHeld(Task);
        });
  };
  if (HasAll([](const TaskProgress &T) { return T.mustAwaitVerdict(); }))
    return WaitReason::CrashVerdict;
  if (HasAll([Now](const TaskProgress &T) { return T.NotBefore > Now; }))
    return WaitReason::StartPause;
  auto Asked = StepAdvices.find(Key);
  if (Asked != StepAdvices.end() && Asked->second.IsInFlight)
    return WaitReason::Advice;
  if (Asked != StepAdvices.end() && Asked->second.NotBefore > Now)
    return WaitReason::AdvicePause;
  return WaitReason::NoRoom;
}

} // namespace teaselwalk::cell
