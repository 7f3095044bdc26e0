#include "teaselwalk/engine/shard_controller.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/engine/record.hpp"

#include <algorithm>
#include <utility>

/// The shard's jobs: their tasks, their records and their recovery from the
/// store.
namespace teaselwalk::engine {
namespace {

using protocol::JobKind;
using protocol::JobState;
using protocol::StoreReply;
using protocol::StoreStatus;
using protocol::TaskState;

bool hasEnded(TaskState State) {
  return State == TaskState::Finished || State == TaskState::Failed;
}

protocol::StoreRequest listOf(std::string Prefix) {
  protocol::StoreRequest Request;
  Request.Operation = protocol::StoreOperation::List;
  Request.Key = std::move(Prefix);
  return Request;
}

std::string clipped(const std::string &Text, size_t MaxBytes) {
  return Text.size() <= MaxBytes ? Text : Text.substr(0, MaxBytes);
}

} // namespace

schedule::WorkSpec ShardController::workSpec(const Job &Value) const {
  schedule::WorkSpec Spec;
  Spec.Job = Value.Id;
  Spec.Team = Value.Team;
  Spec.Queue = Value.Spec.Queue;
  Spec.Size = Value.Spec.Size;
  Spec.RunTime = Value.Spec.RunTime;
  Spec.Urgent = Value.Spec.Urgent;
  return Spec;
}

schedule::Admission
ShardController::checkJob(const TeamId &Team,
                          const protocol::JobSpec &Spec) const {
  Job Probe;
  Probe.Team = Team;
  Probe.Spec = Spec;
  return Scheduler.checkAdmission(workSpec(Probe), Spec.Tasks,
                                  Spec.Kind == JobKind::Gang);
}

void ShardController::addJob(Job Value, TimePoint Now) {
  if (Jobs.count(Value.Id) != 0)
    return;
  JobId Id = Value.Id;
  Job &Owned = Jobs.emplace(Id, std::move(Value)).first->second;
  logEvent(EventName::JobAccepted,
           {{"job", Id.str()}, {"team", Owned.Team.str()}});
  resumeJob(Owned, true, Now);
  decide(Now);
}

const Job *ShardController::findJob(const JobId &Id) const {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

void ShardController::queueTasks(Job &Value,
                                 const std::vector<uint32_t> &Indices,
                                 TimePoint Now) {
  if (Indices.empty())
    return;
  std::vector<TaskId> Tasks;
  for (uint32_t Index : Indices) {
    Value.Tasks[Index].State = TaskState::Queued;
    Tasks.push_back(makeTaskId(Value.Id, Index));
  }
  schedule::WorkSpec Spec = workSpec(Value);
  schedule::Admission Result;
  if (Value.Spec.Kind == JobKind::Gang) {
    Result = Scheduler.admitGang(Tasks, Spec, Now);
  } else {
    for (const TaskId &Task : Tasks)
      if (Result)
        Result = Scheduler.admit(Task, Spec, Now);
  }
  // A refused task is not lost: the job is recorded, and `reloadJobs` queues
  // the task again.
  Value.Reason = Result.Message;
}

void ShardController::resumeJob(Job &Value, bool AllEndpointsKnown,
                                TimePoint Now) {
  if (isEnded(Value.State))
    return;
  std::vector<uint32_t> Missing;
  for (uint32_t Index = 0; Index < Value.Tasks.size(); ++Index) {
    JobTask &Row = Value.Tasks[Index];
    TaskId Task = makeTaskId(Value.Id, Index);
    if (hasEnded(Row.State) || Scheduler.isQueued(Task))
      continue;
    if (ActiveTask *Entry = ActiveTasks.find(Task)) {
      Row.Endpoint = Entry->Endpoint;
      Row.Attempt = Entry->Id.Number;
      if (Entry->State == ActiveState::Running)
        Row.State = TaskState::Running;
      Value.State = JobState::Running;
      continue;
    }
    // The former owner may have started the task.
    if (Value.Recovered)
      Row.EarlierVerdict = Verdict::MayHaveRun;
    if (AllEndpointsKnown)
      Missing.push_back(Index);
    else
      Row.State = TaskState::Unknown;
  }
  if (Value.Restarting)
    return;
  if (Value.Recovered && !Value.Spec.Idempotent) {
    // Starts are not recorded in the store, so a task that no endpoint reports
    // may have run on a VM that no longer exists.
    for (uint32_t Index : Missing)
      completeTask(Value, Index, false, Verdict::MayHaveRun,
                   "lost in a takeover", {makeTaskId(Value.Id, Index), 0}, Now);
    Missing.clear();
  }
  if (AllEndpointsKnown)
    Value.Recovered = false;
  queueTasks(Value, Missing, Now);
  endJobIfComplete(Value, Now);
}

void ShardController::endJobTask(const protocol::AttemptId &Id,
                                 const JobTaskRef &TaskRef,
                                 const EndpointId &Endpoint, EndKind Kind,
                                 bool Ok, const std::string &Result,
                                 TimePoint Now) {
  auto Found = Jobs.find(TaskRef.Job);
  if (Found == Jobs.end() || TaskRef.Index >= Found->second.Tasks.size()) {
    // Once the jobs are loaded, nobody needs the result of an unknown job.
    if (HasLoadedJobs && Kind == EndKind::Finished)
      PendingAcks[Endpoint].push_back(Id);
    else if (Kind == EndKind::Finished)
      EarlyResults.push_back({Id, TaskRef, Endpoint, Ok, Result});
    return;
  }
  Job &Value = Found->second;
  JobTask &Row = Value.Tasks[TaskRef.Index];
  if (hasEnded(Row.State)) {
    if (Kind == EndKind::Finished)
      PendingAcks[Endpoint].push_back(Id);
    return;
  }
  Row.Endpoint = Endpoint;
  if (Kind != EndKind::NeverStarted)
    Row.EarlierVerdict = Verdict::MayHaveRun;
  bool IsService = Value.Spec.Kind == JobKind::Service;
  bool Cancelled = Value.State == JobState::Cancelled;
  if (Kind == EndKind::Finished && (Ok || Cancelled) && !IsService)
    return completeTask(Value, TaskRef.Index, Ok, Verdict::Ran, Result, Id,
                        Now);
  if (Cancelled)
    return completeTask(Value, TaskRef.Index, false,
                        Kind == EndKind::NeverStarted ? Verdict::NotRun
                                                      : Verdict::MayHaveRun,
                        "cancelled", Id, Now);
  if (Kind == EndKind::NeverStarted)
    return requeueTask(Value, TaskRef.Index, Now);
  if (Kind == EndKind::Finished)
    PendingAcks[Endpoint].push_back(Id);
  if (Kind != EndKind::Preempted)
    ++Row.Failures;
  bool MayRepeat = Value.Spec.Idempotent &&
                   (IsService || Row.Failures < Options.MaxAttempts);
  if (MayRepeat)
    return requeueTask(Value, TaskRef.Index, Now);
  completeTask(Value, TaskRef.Index, false,
               Kind == EndKind::Finished ? Verdict::Ran : Verdict::MayHaveRun,
               Result, Id, Now);
}

void ShardController::completeTask(Job &Value, uint32_t Index, bool Ok,
                                   Verdict Outcome, const std::string &Result,
                                   const protocol::AttemptId &Id,
                                   TimePoint Now) {
  JobTask &Row = Value.Tasks[Index];
  Row.State = Ok ? TaskState::Finished : TaskState::Failed;
  Row.Outcome = combine(Row.EarlierVerdict, Outcome);
  Row.Result = clipped(Result, Options.MaxResultBytes);
  --Value.Unfinished;
  Completions.add({Value.Id, Index, Ok, Row.Outcome, Row.Endpoint, Row.Result},
                  Id);
  if (Value.Restarting)
    restartGang(Value, Now);
  endJobIfComplete(Value, Now);
}

void ShardController::requeueTask(Job &Value, uint32_t Index, TimePoint Now) {
  Value.Tasks[Index].State = TaskState::Queued;
  if (Value.Spec.Kind != JobKind::Gang)
    return queueTasks(Value, {Index}, Now);
  // The tasks of a gang run together, so stop the others and restart them all.
  Value.Restarting = true;
  restartGang(Value, Now);
}

void ShardController::restartGang(Job &Value, TimePoint Now) {
  std::vector<TaskId> Active = ActiveTasks.tasksOf(Value.Id);
  for (const TaskId &Task : Active) {
    const ActiveTask &Entry = *ActiveTasks.find(Task);
    if (!Entry.StopSent && Entry.State != ActiveState::Starting)
      sendStop(Entry, protocol::StopMode::Stop);
  }
  if (!Active.empty())
    return;
  Value.Restarting = false;
  std::vector<uint32_t> Unfinished;
  for (uint32_t Index = 0; Index < Value.Tasks.size(); ++Index)
    if (!hasEnded(Value.Tasks[Index].State))
      Unfinished.push_back(Index);
  queueTasks(Value, Unfinished, Now);
}

void ShardController::endJobIfComplete(Job &Value, TimePoint Now) {
  if (Value.Unfinished > 0 || (isEnded(Value.State) && !Value.Dirty))
    return;
  if (!isEnded(Value.State)) {
    bool AnyFailed = std::any_of(
        Value.Tasks.begin(), Value.Tasks.end(),
        [](const JobTask &Row) { return Row.State == TaskState::Failed; });
    Value.State = AnyFailed ? JobState::Failed : JobState::Finished;
    Value.Dirty = true;
    logEvent(
        EventName::JobFinished,
        {{"job", Value.Id.str()},
         {"state", std::string(nameOf(protocol::JobStateNames, Value.State))}});
  }
  Value.EndedAt = Now;
}

void ShardController::cancelLocally(Job &Value, TimePoint Now) {
  Value.State = JobState::Cancelled;
  Value.EndedAt = Now;
  Value.Restarting = false;
  Scheduler.cancelJob(Value.Id);
  logEvent(EventName::JobCancelled, {{"job", Value.Id.str()}});
  for (uint32_t Index = 0; Index < Value.Tasks.size(); ++Index) {
    JobTask &Row = Value.Tasks[Index];
    if (hasEnded(Row.State))
      continue;
    const ActiveTask *Entry = ActiveTasks.find(makeTaskId(Value.Id, Index));
    if (Entry) {
      if (Entry->State == ActiveState::Running && !Entry->StopSent)
        sendStop(*Entry, protocol::StopMode::Stop);
      continue;
    }
    bool NeverStarted = Row.StartCount == 0 && !Value.Recovered;
    Row.State = TaskState::Failed;
    Row.Outcome = combine(Row.EarlierVerdict,
                          NeverStarted ? Verdict::NotRun : Verdict::MayHaveRun);
    Row.Result = "cancelled";
    --Value.Unfinished;
  }
}

void ShardController::cancelJob(const JobId &Id, TimePoint Now,
                                std::function<void(bool)> Then) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return Then(false);
  Job &Value = Found->second;
  if (isEnded(Value.State) && !Value.Dirty)
    return Then(true);
  if (!isEnded(Value.State)) {
    cancelLocally(Value, Now);
    Value.Dirty = true;
    Value.NextWrite = Now;
  }
  CancelCallbacks[Id].push_back(std::move(Then));
  writeJobs(Now);
}

void ShardController::writeJobs(TimePoint Now) {
  for (auto &Row : Jobs) {
    Job &Value = Row.second;
    if (!Value.Dirty || Value.Writing || Now < Value.NextWrite)
      continue;
    Value.Writing = true;
    Value.NextWrite = Now + Options.FlushInterval;
    writeDurably(Commands, jobKey(Value.Id), encodeJob(Value), Value.Version,
                 Options.StoreTimeout,
                 [this, Id = Value.Id, SentGeneration = Generation](
                     const WriteResult &Result, TimePoint Later) {
                   if (SentGeneration == Generation)
                     onJobWritten(Id, Result, Later);
                 });
  }
}

void ShardController::onJobWritten(const JobId &Id, const WriteResult &Result,
                                   TimePoint Now) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  Job &Value = Found->second;
  Value.Writing = false;
  if (Result.Outcome == WriteOutcome::Conflict) {
    // Another process changed the record, for example to cancel the job. Write
    // again over the new version.
    Value.Version = Result.Version;
    Value.NextWrite = Now;
    return;
  }
  if (Result.Outcome != WriteOutcome::Applied)
    return;
  Value.Version = Result.Version;
  Value.Dirty = false;
  auto Waiting = CancelCallbacks.find(Id);
  if (Waiting == CancelCallbacks.end())
    return;
  std::vector<std::function<void(bool)>> Callbacks = std::move(Waiting->second);
  CancelCallbacks.erase(Waiting);
  for (auto &Then : Callbacks)
    Then(true);
}

void ShardController::removeExpiredJobs(TimePoint Now) {
  for (auto It = Jobs.begin(); It != Jobs.end();) {
    const Job &Value = It->second;
    bool Due = isEnded(Value.State) && !Value.Dirty && !Value.Writing &&
               Value.Unfinished == 0 &&
               Now - Value.EndedAt >= Options.JobRetention;
    if (!Due) {
      ++It;
      continue;
    }
    protocol::StoreRequest Remove;
    Remove.Operation = protocol::StoreOperation::Remove;
    Remove.Key = jobKey(Value.Id);
    Remove.Expected = Value.Version;
    // If the removal fails, the next reload finds the ended job again.
    Commands.callStore(std::move(Remove), Options.StoreTimeout,
                       [](const StoreReply &, TimePoint) {});
    Completions.onJobRemoved(Value.Id);
    It = Jobs.erase(It);
  }
}

void ShardController::reloadJobs(TimePoint Now) {
  bool AllEndpointsKnown = Guard.allKnown(Now);
  bool Due = Now >= NextLoad || (AllEndpointsKnown && !HasLoadedAll);
  if (IsLoadingJobs || !Due)
    return;
  IsLoadingJobs = true;
  NextLoad = Now + Options.ReloadInterval;
  Commands.callStore(listOf(jobPrefix(Shard)), Options.StoreTimeout,
                     [this, AllEndpointsKnown, SentGeneration = Generation](
                         const StoreReply &Reply, TimePoint Later) {
                       if (SentGeneration == Generation)
                         onJobsListed(Reply, AllEndpointsKnown, Later);
                     });
}

void ShardController::onJobsListed(const StoreReply &Reply,
                                   bool AllEndpointsKnown, TimePoint Now) {
  if (Reply.Status != StoreStatus::Ok) {
    IsLoadingJobs = false;
    NextLoad = Now + Options.FlushInterval;
    return;
  }
  Commands.callStore(
      listOf(completionPrefix(Shard)), Options.StoreTimeout,
      [this, Reply, AllEndpointsKnown, SentGeneration = Generation](
          const StoreReply &CompletionList, TimePoint Later) {
        if (SentGeneration != Generation)
          return;
        IsLoadingJobs = false;
        onCompletionsListed(Reply, CompletionList, AllEndpointsKnown, Later);
      });
}

void ShardController::onCompletionsListed(const StoreReply &JobList,
                                          const StoreReply &CompletionList,
                                          bool AllEndpointsKnown,
                                          TimePoint Now) {
  if (CompletionList.Status != StoreStatus::Ok) {
    NextLoad = Now + Options.FlushInterval;
    return;
  }
  for (const protocol::StoreEntry &Entry : JobList.Entries) {
    std::optional<Job> Decoded = readJob(Entry);
    if (!Decoded)
      continue;
    Job Read = std::move(*Decoded);
    auto Known = Jobs.find(Read.Id);
    if (Known == Jobs.end()) {
      JobId Id = Read.Id;
      Read.EndedAt = Now;
      // Jobs first seen after a complete load were accepted while this process
      // was the owner.
      Read.Recovered = !HasLoadedAll;
      Jobs.emplace(Id, std::move(Read));
    } else if (Read.State == JobState::Cancelled &&
               !isEnded(Known->second.State)) {
      Known->second.Version = Entry.Version;
      cancelLocally(Known->second, Now);
    }
  }
  applyCompletions(CompletionList);
  HasLoadedJobs = true;
  applyEarlyResults(Now);
  HasLoadedAll = HasLoadedAll || AllEndpointsKnown;
  for (auto &Row : Jobs) {
    // A job whose record says cancelled may still have running tasks.
    if (Row.second.State == JobState::Cancelled && Row.second.Unfinished > 0)
      cancelLocally(Row.second, Now);
    resumeJob(Row.second, AllEndpointsKnown, Now);
  }
  stopOrphans();
}

/// Decodes a job record. A malformed one is logged and skipped, so that it does
/// not stop the work of the whole shard.
std::optional<Job> ShardController::readJob(const protocol::StoreEntry &Entry) {
  try {
    return decodeJob(Entry.Value, Entry.Version);
  } catch (const Error &Failure) {
    logEvent(EventName::RecordMalformed,
             {{"key", Entry.Key}, {"why", Failure.what()}});
    return std::nullopt;
  }
}

void ShardController::applyCompletions(const StoreReply &CompletionList) {
  for (const protocol::StoreEntry &Entry : CompletionList.Entries) {
    std::vector<CompletedTask> Batch;
    try {
      Batch = decodeCompletions(Entry.Value);
    } catch (const Error &Failure) {
      logEvent(EventName::RecordMalformed,
               {{"key", Entry.Key}, {"why", Failure.what()}});
      continue;
    }
    Completions.onLoaded(Entry.Key, Entry.Version, Batch);
    for (const CompletedTask &Item : Batch) {
      auto Found = Jobs.find(Item.Job);
      if (Found == Jobs.end() || Item.Index >= Found->second.Tasks.size())
        continue;
      JobTask &Row = Found->second.Tasks[Item.Index];
      if (hasEnded(Row.State))
        continue;
      applyCompletion(Row, Item);
      --Found->second.Unfinished;
    }
  }
}

void ShardController::applyEarlyResults(TimePoint Now) {
  std::vector<EarlyResult> Results;
  Results.swap(EarlyResults);
  for (const EarlyResult &Early : Results)
    endJobTask(Early.Id, Early.TaskRef, Early.Endpoint, EndKind::Finished,
               Early.Ok, Early.Text, Now);
}

void ShardController::stopOrphans() {
  for (const auto &Row : Vms)
    for (const TaskId &Task : ActiveTasks.tasksOn(Row.first)) {
      const ActiveTask &Entry = *ActiveTasks.find(Task);
      bool Wanted =
          !Entry.TaskRef || (Jobs.count(Entry.TaskRef->Job) != 0 &&
                             !isEnded(Jobs.at(Entry.TaskRef->Job).State));
      if (!Wanted && Entry.State == ActiveState::Running && !Entry.StopSent)
        sendStop(Entry, protocol::StopMode::Stop);
    }
}

} // namespace teaselwalk::engine
