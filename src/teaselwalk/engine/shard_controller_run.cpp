#include "teaselwalk/engine/shard_controller.hpp"

#include <algorithm>
#include <utility>

/// Start, stop and end of attempts, and quick calls.
namespace teaselwalk::engine {
namespace {

/// Attempt numbers available in one epoch. The epoch's counter forms the upper
/// part of the number, so that two owners never use the same number for a task.
/// They repeat after this many starts of one task in the same epoch.
constexpr uint32_t AttemptsPerEpoch = 1U << 12U;

/// Limit of the scheduling rounds in one call, which bounds the time of a tick.
constexpr int MaxRounds = 8;

uint32_t attemptNumber(const Epoch &Owner, uint32_t Count) {
  return static_cast<uint32_t>(Owner.Counter) * AttemptsPerEpoch +
         Count % AttemptsPerEpoch;
}

} // namespace

void ShardController::decide(TimePoint Now) {
  if (!StartsAllowed)
    return;
  std::vector<schedule::Placement> Places;
  bool More = true;
  for (int Round = 0; More && Round < MaxRounds; ++Round) {
    Places.clear();
    More = Scheduler.decide(Now, Places);
    for (const schedule::Placement &Place : Places)
      startTask(Place, Now);
  }
}

bool ShardController::fillRunCommand(const TaskId &Task,
                                     protocol::RunCommand &Command,
                                     TimePoint Now) {
  auto Call = Calls.find(Task);
  if (Call != Calls.end()) {
    OpenCall &Value = Call->second;
    Command.Id = {Task, attemptNumber(Ownership.epoch(), ++Value.Attempts)};
    Command.Team = Value.Team;
    Command.Size = Value.Request.Size;
    Command.Payload = Value.Request.Payload;
    Command.Wait = true;
    Command.Lease = std::max(Value.DeadlineAt - Now, Duration(1));
    return Value.DeadlineAt > Now;
  }
  auto TaskRef = jobTaskOf(Task);
  auto Owned = TaskRef ? Jobs.find(TaskRef->Job) : Jobs.end();
  if (Owned == Jobs.end() || isEnded(Owned->second.State))
    return false;
  Job &Value = Owned->second;
  JobTask &Row = Value.Tasks.at(TaskRef->Index);
  ++Row.StartCount;
  Command.Id = {Task, attemptNumber(Ownership.epoch(), Row.StartCount)};
  Command.Team = Value.Team;
  Command.Size = Value.Spec.Size;
  Command.RunTime = Value.Spec.RunTime;
  Command.Payload = Value.Spec.Payload;
  Command.Lease = Options.Ownership.TaskLease;
  return true;
}

void ShardController::startTask(const schedule::Placement &Place,
                                TimePoint Now) {
  protocol::RunCommand Command;
  Command.Owner = Ownership.epoch();
  bool Wanted = fillRunCommand(Place.Task, Command, Now);
  auto Vm = Vms.find(Place.Endpoint);
  ActiveTask Entry;
  Entry.Id = Command.Id;
  Entry.Id.Task = Place.Task;
  Entry.Endpoint = Place.Endpoint;
  Entry.SentAt = Now;
  Entry.TaskRef = jobTaskOf(Place.Task);
  ActiveTasks.insert(Entry);
  if (!Wanted || Vm == Vms.end() || !Ownership.mayStartOn(Place.Endpoint, Now))
    return endAttempt(Entry.Id, EndKind::NeverStarted, false, "not started",
                      Now);

  if (Entry.TaskRef) {
    Job &Value = Jobs.at(Entry.TaskRef->Job);
    JobTask &Row = Value.Tasks.at(Entry.TaskRef->Index);
    Row.State = protocol::TaskState::Starting;
    Row.Outcome = Verdict::MayHaveRun;
    Row.Endpoint = Place.Endpoint;
    Row.Attempt = Command.Id.Number;
    Value.State = protocol::JobState::Running;
  }
  Duration Timeout = Command.Wait ? Command.Lease : Options.EndpointTimeout;
  Ownership.onRunSent(Place.Endpoint, Now);
  logEvent(EventName::TaskStarting,
           {{"task", Place.Task.str()},
            {"attempt", std::to_string(Command.Id.Number)},
            {"endpoint", Place.Endpoint.str()},
            {"team", Command.Team.str()}});
  Commands.sendToEndpoint(
      Vm->second.At, std::move(Command), Timeout,
      [this, Id = Entry.Id](const EndpointReply &Reply, TimePoint Later) {
        onRunReply(Id, Reply, Later);
      });
}

void ShardController::onRunReply(const protocol::AttemptId &Id,
                                 const EndpointReply &Reply, TimePoint Now) {
  ActiveTask *Entry = ActiveTasks.find(Id);
  if (!Entry)
    return;
  EndpointId Endpoint = Entry->Endpoint;
  if (std::holds_alternative<RunStarted>(Reply)) {
    if (Entry->State == ActiveState::Running)
      return;
    Entry->State = ActiveState::Running;
    Entry->ConfirmedAt = Now;
    Scheduler.started(Id.Task, Now);
    if (Entry->TaskRef && Jobs.count(Entry->TaskRef->Job) != 0)
      Jobs.at(Entry->TaskRef->Job).Tasks.at(Entry->TaskRef->Index).State =
          protocol::TaskState::Running;
    logEvent(EventName::TaskStarted,
             {{"task", Id.Task.str()}, {"endpoint", Endpoint.str()}});
    return;
  }
  if (const auto *Result = std::get_if<protocol::RunResult>(&Reply)) {
    PendingAcks[Endpoint].push_back(Id);
    return endAttempt(Id, EndKind::Finished, Result->Ok, Result->Result, Now);
  }
  if (std::holds_alternative<NoRoom>(Reply)) {
    FullEndpoints.insert(Endpoint);
    refreshEndpoints(Now);
    return endAttempt(Id, EndKind::NeverStarted, false, "no room", Now);
  }
  if (const auto *Stale = std::get_if<protocol::StaleEpoch>(&Reply)) {
    Ownership.onRunRefused(Endpoint, *Stale, Now);
    endTasksOfRestartedEndpoint(Endpoint, *Stale, Now);
    refreshEndpoints(Now);
    return endAttempt(Id, EndKind::NeverStarted, false, "stale epoch", Now);
  }
  const auto *Failed = std::get_if<CommandFailed>(&Reply);
  if (Failed && Failed->Outcome == Verdict::NotRun) {
    FullEndpoints.insert(Endpoint);
    refreshEndpoints(Now);
    return endAttempt(Id, EndKind::NeverStarted, false, "not delivered", Now);
  }
  Entry->State = ActiveState::Unknown;
  if (Entry->TaskRef && Jobs.count(Entry->TaskRef->Job) != 0)
    Jobs.at(Entry->TaskRef->Job).Tasks.at(Entry->TaskRef->Index).State =
        protocol::TaskState::Unknown;
  logEvent(EventName::TaskUnknown,
           {{"task", Id.Task.str()}, {"endpoint", Endpoint.str()}});
  UnknownTasks.insert(Id.Task);
  answerExpiredCall(Id, Endpoint, Now);
  sendStop(*Entry, protocol::StopMode::Stop);
}

/// Ends the tasks of an endpoint that lost its state. An endpoint with a lower
/// epoch than it has confirmed has restarted, and runs nothing that was sent
/// before.
void ShardController::endTasksOfRestartedEndpoint(
    const EndpointId &Endpoint, const protocol::StaleEpoch &Stale,
    TimePoint Now) {
  if (!(Stale.Owner < Ownership.epoch()))
    return;
  for (const TaskId &Task : ActiveTasks.tasksOn(Endpoint)) {
    const ActiveTask *Entry = ActiveTasks.find(Task);
    if (Entry && Entry->State != ActiveState::Starting)
      endAttempt(Entry->Id, EndKind::NoResult, false, "the endpoint restarted",
                 Now);
  }
}

void ShardController::answerExpiredCall(const protocol::AttemptId &Id,
                                        const EndpointId &Endpoint,
                                        TimePoint Now) {
  auto Found = Calls.find(Id.Task);
  if (Found == Calls.end() || Now < Found->second.DeadlineAt)
    return;
  protocol::CallAnswer Answer;
  Answer.Request = Found->second.Request.Request;
  Answer.Outcome = Verdict::MayHaveRun;
  Answer.Reason = protocol::Refusal::DeadlinePassed;
  Answer.Message = "the endpoint gave no answer before the deadline";
  Answer.Endpoint = Endpoint;
  answerCall(Id.Task, std::move(Answer));
}

void ShardController::resolveUnknownAttempts(TimePoint Now) {
  for (auto It = UnknownTasks.begin(); It != UnknownTasks.end();) {
    ActiveTask *Entry = ActiveTasks.find(*It);
    if (!Entry || Entry->State != ActiveState::Unknown) {
      It = UnknownTasks.erase(It);
      continue;
    }
    answerExpiredCall(Entry->Id, Entry->Endpoint, Now);
    if (!Entry->StopSent)
      sendStop(*Entry, protocol::StopMode::Stop);
    ++It;
  }
}

void ShardController::sendStop(const ActiveTask &Task,
                               protocol::StopMode Mode) {
  auto Vm = Vms.find(Task.Endpoint);
  if (Vm == Vms.end() || !Ownership.isAttached(Task.Endpoint))
    return;
  if (ActiveTask *Entry = ActiveTasks.find(Task.Id))
    Entry->StopSent = true;
  logEvent(EventName::TaskStopped,
           {{"task", Task.Id.Task.str()},
            {"endpoint", Task.Endpoint.str()},
            {"mode", std::string(nameOf(protocol::StopModeNames, Mode))}});
  protocol::StopCommand Command{Ownership.epoch(), Task.Id, Mode};
  Commands.sendToEndpoint(
      Vm->second.At, std::move(Command), Options.EndpointTimeout,
      [this, Id = Task.Id](const EndpointReply &Reply, TimePoint Later) {
        onStopReply(Id, Reply, Later);
      });
}

void ShardController::onStopReply(const protocol::AttemptId &Id,
                                  const EndpointReply &Reply, TimePoint Now) {
  ActiveTask *Entry = ActiveTasks.find(Id);
  if (!Entry)
    return;
  Entry->StopSent = false;
  if (const auto *Stale = std::get_if<protocol::StaleEpoch>(&Reply)) {
    Ownership.onRunRefused(Entry->Endpoint, *Stale, Now);
    return endTasksOfRestartedEndpoint(Entry->Endpoint, *Stale, Now);
  }
  const auto *Result = std::get_if<protocol::StopResult>(&Reply);
  if (!Result)
    return; // `resolveUnknownAttempts` repeats the stop while the state is
            // Unknown.
  if (Result->State == protocol::StopState::NeverStarted &&
      Entry->MayHaveLostState)
    return endAttempt(Id, EndKind::NoResult, false, "the endpoint restarted",
                      Now);
  if (Result->State == protocol::StopState::NeverStarted)
    return endAttempt(Id, EndKind::NeverStarted, false, "never started", Now);
  if (Result->State == protocol::StopState::Stopped)
    return endAttempt(Id,
                      Entry->State == ActiveState::Unknown ? EndKind::NoResult
                                                           : EndKind::Preempted,
                      false, "stopped", Now);
}

void ShardController::endAttempt(const protocol::AttemptId &Id, EndKind Kind,
                                 bool Ok, const std::string &Result,
                                 TimePoint Now) {
  ActiveTask *Entry = ActiveTasks.find(Id);
  if (!Entry)
    return;
  // `Id` may refer into the entry, which is destroyed here.
  ActiveTask Ended = *Entry;
  ActiveTasks.erase(Ended.Id.Task);
  Scheduler.ended(Ended.Id.Task);
  if (Kind != EndKind::NeverStarted)
    logEvent(EventName::TaskFinished, {{"task", Ended.Id.Task.str()},
                                       {"endpoint", Ended.Endpoint.str()},
                                       {"ok", Ok ? "true" : "false"}});
  if (Ended.TaskRef)
    endJobTask(Ended.Id, *Ended.TaskRef, Ended.Endpoint, Kind, Ok, Result, Now);
  else
    endCall(Ended.Id, Ended.Endpoint, Kind, Ok, Result, Now);
}

void ShardController::endCall(const protocol::AttemptId &Id,
                              const EndpointId &Endpoint, EndKind Kind, bool Ok,
                              const std::string &Result, TimePoint Now) {
  auto Found = Calls.find(Id.Task);
  if (Found == Calls.end())
    return;
  const OpenCall &Call = Found->second;
  if (Kind == EndKind::NeverStarted)
    return requeueCall(Id.Task, Now);
  protocol::CallAnswer Answer;
  Answer.Request = Call.Request.Request;
  Answer.Endpoint = Endpoint;
  if (Kind == EndKind::Finished) {
    Answer.Outcome = Verdict::Ran;
    Answer.Result = Result;
    if (!Ok) {
      Answer.Reason = protocol::Refusal::EndpointFailed;
      Answer.Message = "the task failed on the endpoint";
    }
    return answerCall(Id.Task, std::move(Answer));
  }
  // The attempt has ended, so an idempotent call may run again.
  if (Call.Request.Idempotent && Now < Call.DeadlineAt) {
    Found->second.EarlierVerdict = Verdict::MayHaveRun;
    return requeueCall(Id.Task, Now);
  }
  Answer.Outcome = Verdict::MayHaveRun;
  Answer.Reason = protocol::Refusal::EndpointFailed;
  Answer.Message = "the endpoint gave no result: " + Result;
  answerCall(Id.Task, std::move(Answer));
}

void ShardController::requeueCall(const TaskId &Task, TimePoint Now) {
  OpenCall &Call = Calls.at(Task);
  if (Now >= Call.DeadlineAt)
    return answerCall(
        Task, refuseCall(Call.Request, protocol::Refusal::DeadlinePassed,
                         "no endpoint took the call before its deadline"));
  if (Call.Attempts >= Options.MaxAttempts || !Ownership.hasAuthority(Now))
    return answerCall(Task,
                      refuseCall(Call.Request, protocol::Refusal::Overloaded,
                                 "no endpoint took the call", Duration(1000)));
  schedule::WorkSpec Spec;
  Spec.Team = Call.Team;
  Spec.Queue = Call.Request.Queue;
  Spec.Size = Call.Request.Size;
  Spec.Deadline = Call.DeadlineAt;
  schedule::Admission Result = Scheduler.admit(Task, Spec, Now);
  if (!Result)
    answerCall(Task, refuseCall(Call.Request, Result.Reason, Result.Message,
                                Result.RetryAfter));
}

schedule::Admission ShardController::admitCall(OpenCall &Call, TimePoint Now) {
  TaskId Task =
      makeCallTaskId(Call.Request.Request, Options.Self, ++CallSequence);
  schedule::WorkSpec Spec;
  Spec.Team = Call.Team;
  Spec.Queue = Call.Request.Queue;
  Spec.Size = Call.Request.Size;
  Spec.Deadline = Call.DeadlineAt;
  schedule::Admission Result = Scheduler.admit(Task, Spec, Now);
  if (!Result)
    return Result;
  Calls.emplace(Task, std::move(Call));
  decide(Now);
  return Result;
}

std::optional<OpenCall> ShardController::withdrawCall(const TaskId &Task) {
  auto Found = Calls.find(Task);
  if (Found == Calls.end() || !Scheduler.isQueued(Task))
    return std::nullopt;
  Scheduler.cancel(Task);
  OpenCall Call = std::move(Found->second);
  Calls.erase(Found);
  return Call;
}

std::vector<TaskId> ShardController::queuedCalls() const {
  std::vector<TaskId> Tasks;
  for (const auto &Row : Calls)
    if (Scheduler.isQueued(Row.first))
      Tasks.push_back(Row.first);
  return Tasks;
}

const OpenCall *ShardController::findCall(const TaskId &Task) const {
  auto Found = Calls.find(Task);
  return Found == Calls.end() ? nullptr : &Found->second;
}

void ShardController::answerCall(const TaskId &Task,
                                 protocol::CallAnswer Answer) {
  auto Found = Calls.find(Task);
  OpenCall Call = std::move(Found->second);
  Calls.erase(Found);
  Answer.Outcome = combine(Call.EarlierVerdict, Answer.Outcome);
  Call.Answer(Answer);
}

void ShardController::expireCalls(TimePoint Now) {
  for (const TaskId &Task : Scheduler.expire(Now)) {
    auto Found = Calls.find(Task);
    if (Found == Calls.end())
      continue;
    answerCall(Task, refuseCall(Found->second.Request,
                                protocol::Refusal::DeadlinePassed,
                                "no endpoint had room before the deadline"));
  }
}

} // namespace teaselwalk::engine
