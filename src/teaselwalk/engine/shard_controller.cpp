#include "teaselwalk/engine/shard_controller.hpp"

#include <algorithm>
#include <utility>

namespace teaselwalk::engine {
namespace {

using cluster::OwnershipAction;
using cluster::OwnershipCommand;
using cluster::OwnershipState;

uint64_t seedFor(const EngineOptions &Options, const protocol::ShardId &Shard) {
  return Options.Seed * 64 + Shard.Number;
}

/// The VM name in a process id, `<VM name>#<incarnation>`.
std::string vmNameOf(const ProcessId &Process) {
  return Process.str().substr(0, Process.str().find('#'));
}

} // namespace

ShardController::ShardController(protocol::ShardId Shard,
                                 const EngineOptions &Options,
                                 CommandDispatcher &Commands)
    : Shard(Shard), Options(Options), Commands(Commands),
      Ownership(Shard, Options.Self, seedFor(Options, Shard),
                Options.Ownership),
      Guard(Options.Ownership.TaskLease), Scheduler(Options.Scheduling),
      Completions(
          std::move(Shard), Options, Commands,
          [this](const EndpointId &Endpoint, const protocol::AttemptId &Id) {
            PendingAcks[Endpoint].push_back(Id);
          }) {}

void ShardController::setVms(const std::vector<protocol::VmInfo> &Endpoints,
                             const std::set<std::string> &EntryNames,
                             TimePoint Now) {
  std::map<EndpointId, protocol::VmInfo> Next;
  std::vector<cluster::ShardEndpoint> List;
  for (const protocol::VmInfo &Vm : Endpoints) {
    EndpointId Id(Vm.Name);
    Next.emplace(Id, Vm);
    List.push_back({Id, Vm.At, Vm.State == protocol::VmState::Leaving});
    if (Vms.count(Id) == 0)
      Guard.onAddedToList(Id);
  }
  for (const auto &Row : Vms) {
    if (Next.count(Row.first) != 0)
      continue;
    // The VM list shows that the VM no longer exists, so nothing runs there.
    Guard.onRemovedFromList(Row.first);
    endAll(Row.first, "VM is gone", Now);
    Scheduler.removeEndpoint(Row.first);
    Capacities.erase(Row.first);
    ReportsLeaving.erase(Row.first);
    Listings.erase(Row.first);
    FullEndpoints.erase(Row.first);
    PendingAcks.erase(Row.first);
  }
  Vms = std::move(Next);
  EntryVms = EntryNames;
  for (const ProcessId &Process : FormerOwners) {
    if (EntryVms.count(vmNameOf(Process)) == 0)
      Guard.onFormerOwnerGone(Process, Now);
    else
      Guard.onFormerOwnerBack(Process);
  }
  Ownership.setEndpoints(List, Now);
}

void ShardController::setDocument(const config::Document &Document,
                                  uint64_t NewRevision) {
  Revision = NewRevision;
  AllShards.clear();
  for (const config::DataCentre &Centre : Document.DataCentres)
    for (uint32_t Number = 0; Number < Centre.Shards; ++Number)
      AllShards.insert({Centre.Name, Number});
  std::map<TeamId, config::Team> Next;
  for (const config::Team &Team : Document.Teams)
    Next.emplace(Team.Name, Team);
  for (const auto &Row : Teams)
    if (Next.count(Row.first) == 0)
      removeTeam(Row.first);
  Teams = std::move(Next);
  static constexpr std::array<schedule::TaskClass, 4> Classes = {
      schedule::TaskClass::Urgent, schedule::TaskClass::Service,
      schedule::TaskClass::Call, schedule::TaskClass::Batch};
  for (const config::Queue &Row : Document.Queues)
    Scheduler.setQueue(Row.Name, Classes[static_cast<size_t>(Row.Class)]);
  applyLimits();
}

void ShardController::removeTeam(const TeamId &Team) {
  for (const TaskId &Task : Scheduler.removeTeam(Team)) {
    auto Call = Calls.find(Task);
    if (Call != Calls.end())
      answerCall(Task,
                 refuseCall(Call->second.Request, protocol::Refusal::Forbidden,
                            "the team was removed"));
  }
}

void ShardController::setOwnershipHint(cluster::OwnershipHint Hint,
                                       TimePoint Now) {
  Ownership.setOwnershipHint(Hint, Now);
}

void ShardController::tick(TimePoint Now) {
  sendOwnershipCommands(Now);
  bool Authority = Ownership.hasAuthority(Now);
  if (Authority != HadAuthority)
    onAuthorityChange(Authority, Now);
  refreshEndpoints(Now);
  expireCalls(Now);
  resolveUnknownAttempts(Now);
  if (!Authority)
    return;
  endExpiredLeases(Now);
  reloadJobs(Now);
  updateAllowances(Now);
  reclaim(Now);
  decide(Now);
  Completions.tick(Ownership.epoch(), Now);
  writeJobs(Now);
  removeExpiredJobs(Now);
}

void ShardController::onAuthorityChange(bool Gained, TimePoint Now) {
  HadAuthority = Gained;
  ++Generation;
  IsLoadingJobs = false;
  HasLoadedJobs = false;
  // Endpoints report results from the first attach on, before the authority is
  // gained.
  if (!Gained)
    EarlyResults.clear();
  HasLoadedAll = false;
  logEvent(Gained ? EventName::AuthorityGained : EventName::AuthorityLost,
           {{"epoch", std::to_string(Ownership.epoch().Counter)}});
  if (Gained) {
    NextLoad = Now;
    openShardAllowances();
    return;
  }
  Allowances.reset();
  // The next owner reads the jobs from their records in the store.
  for (const auto &Row : Jobs)
    Scheduler.cancelJob(Row.first);
  Jobs.clear();
  Completions.reset();
  for (auto &Row : CancelCallbacks)
    for (auto &Then : Row.second)
      Then(false);
  CancelCallbacks.clear();
  for (const TaskId &Task : queuedCalls()) {
    Scheduler.cancel(Task);
    const OpenCall &Call = Calls.at(Task);
    answerCall(Task, refuseCall(Call.Request, protocol::Refusal::Overloaded,
                                "the shard has moved to another process",
                                Duration(1000)));
  }
}

void ShardController::refreshEndpoints(TimePoint Now) {
  for (const auto &Row : Capacities)
    refreshEndpoint(Row.first, Now);
}

void ShardController::refreshEndpoint(const EndpointId &Endpoint,
                                      TimePoint Now) {
  auto Capacity = Capacities.find(Endpoint);
  auto Vm = Vms.find(Endpoint);
  if (Capacity == Capacities.end() || Vm == Vms.end())
    return;
  schedule::SchedulableEndpoint Info;
  Info.Id = Endpoint;
  Info.DataCentre = Shard.DataCentre;
  Info.Rack = Vm->second.Rack;
  Info.Capacity = Capacity->second;
  Info.Leaving = ReportsLeaving[Endpoint] ||
                 Vm->second.State == protocol::VmState::Leaving;
  Info.Usable =
      FullEndpoints.count(Endpoint) == 0 && Ownership.mayStartOn(Endpoint, Now);
  Scheduler.setEndpoint(Info);
}

void ShardController::sendOwnershipCommands(TimePoint Now) {
  bool WasIdle = Ownership.state(Now) == OwnershipState::Idle ||
                 Ownership.state(Now) == OwnershipState::Lost;
  std::vector<OwnershipCommand> Due;
  Ownership.tick(Now, Due);
  bool Begins = WasIdle && Ownership.state(Now) == OwnershipState::Attaching;
  if (Begins) {
    std::vector<EndpointId> All;
    for (const auto &Row : Vms)
      All.push_back(Row.first);
    FormerOwners.clear();
    EarlyResults.clear();
    Guard.startTakeover(All, {});
  }
  for (const OwnershipCommand &Command : Due)
    sendOwnershipCommand(Command, Now);
}

void ShardController::sendOwnershipCommand(const OwnershipCommand &Command,
                                           TimePoint Now) {
  EndpointCommand Message = protocol::AttachCommand{Command.Owner};
  SentRenewal Sent;
  Sent.At = Now;
  if (Command.Action == OwnershipAction::Renew) {
    protocol::RenewCommand Renew = makeRenewal(Command, Now);
    Sent.IsRenewal = true;
    Sent.Tasks = ActiveTasks.attemptsOn(Command.Endpoint);
    Sent.AttemptsHash = Renew.AttemptsHash;
    Message = std::move(Renew);
  }
  Commands.sendToEndpoint(Command.At, std::move(Message),
                          Options.EndpointTimeout,
                          [this, Command, Sent = std::move(Sent)](
                              const EndpointReply &Reply, TimePoint Later) {
                            onOwnershipReply(Command, Sent, Reply, Later);
                          });
}

protocol::RenewCommand
ShardController::makeRenewal(const OwnershipCommand &Command,
                             TimePoint Now) const {
  protocol::RenewCommand Renew;
  Renew.Owner = Command.Owner;
  Renew.Lease = Command.Lease;
  auto Pending = PendingAcks.find(Command.Endpoint);
  if (Pending != PendingAcks.end())
    Renew.Acknowledged = Pending->second;
  Renew.Tasks = ActiveTasks.attemptsOn(Command.Endpoint);
  auto Last = Listings.find(Command.Endpoint);
  if (Last == Listings.end() || Last->second.MustNameTasks ||
      Now - Last->second.At >= Options.FullListInterval)
    return Renew;
  uint64_t AttemptsHash = protocol::attemptsHash(Renew.Tasks);
  if (AttemptsHash == Last->second.AttemptsHash) {
    Renew.AttemptsHash = AttemptsHash;
    Renew.Tasks.clear();
  }
  return Renew;
}

void ShardController::recordTaskListing(const EndpointId &Endpoint,
                                        const SentRenewal &Sent,
                                        const protocol::EndpointState &State,
                                        TimePoint Now) {
  if (State.Unchanged)
    return;
  std::vector<protocol::AttemptId> Running;
  for (const protocol::RunningTask &Task : State.Tasks)
    Running.push_back(Task.Id);
  // An attach, or a renewal whose hash did not match, extends no lease.
  bool MustNameTasks = !Sent.IsRenewal || Sent.AttemptsHash.has_value();
  Listings[Endpoint] = {protocol::attemptsHash(std::move(Running)), Now,
                        MustNameTasks};
}

void ShardController::onOwnershipReply(const OwnershipCommand &Command,
                                       const SentRenewal &Sent,
                                       const EndpointReply &Reply,
                                       TimePoint Now) {
  if (const auto *State = std::get_if<protocol::EndpointState>(&Reply)) {
    Ownership.onEndpointState(Command.Id, *State, Now);
    if (Ownership.isAttached(Command.Endpoint))
      onState(Command.Endpoint, Sent, *State, Now);
    return;
  }
  if (const auto *Stale = std::get_if<protocol::StaleEpoch>(&Reply)) {
    bool WasAttached = Ownership.isAttached(Command.Endpoint);
    Ownership.onStaleEpoch(Command.Id, *Stale, Now);
    if (WasAttached)
      endTasksOfRestartedEndpoint(Command.Endpoint, *Stale, Now);
    if (Stale->Owner.Process != Options.Self) {
      FormerOwners.insert(Stale->Owner.Process);
      Guard.addFormerOwner(Stale->Owner.Process);
    }
    return;
  }
  protocol::Delivery How = protocol::Delivery::Lost;
  if (const auto *Failed = std::get_if<CommandFailed>(&Reply))
    How = Failed->State;
  Ownership.onNoAnswer(Command.Id, How, Now);
}

std::set<TaskId> ShardController::recordRunningTasks(
    const EndpointId &Endpoint, const SentRenewal &Sent,
    const protocol::EndpointState &State, TimePoint Now) {
  std::set<TaskId> Listed;
  for (const protocol::RunningTask &Task : State.Tasks) {
    Listed.insert(Task.Id.Task);
    adopt(Endpoint, Task, Now);
    Scheduler.reportUsage(Task.Id.Task, Task.Usage);
  }
  if (!State.Unchanged)
    return Listed;
  for (const protocol::AttemptId &Id : Sent.Tasks) {
    Listed.insert(Id.Task);
    // Skip an attempt that ended while the answer was in flight.
    if (!ActiveTasks.find(Id))
      continue;
    protocol::RunningTask Task;
    Task.Id = Id;
    adopt(Endpoint, Task, Now);
  }
  return Listed;
}

void ShardController::onState(const EndpointId &Endpoint,
                              const SentRenewal &Sent,
                              const protocol::EndpointState &State,
                              TimePoint Now) {
  Guard.onEndpointReached(Endpoint);
  recordTaskListing(Endpoint, Sent, State, Now);
  if (!State.Unchanged)
    Capacities[Endpoint] = State.Capacity;
  ReportsLeaving[Endpoint] = State.Leaving;
  FullEndpoints.erase(Endpoint);
  refreshEndpoint(Endpoint, Now);

  std::set<TaskId> Listed = recordRunningTasks(Endpoint, Sent, State, Now);
  std::set<protocol::AttemptId,
           bool (*)(const protocol::AttemptId &, const protocol::AttemptId &)>
      Reported([](const protocol::AttemptId &A, const protocol::AttemptId &B) {
        return A.Task != B.Task ? A.Task < B.Task : A.Number < B.Number;
      });
  for (const protocol::FinishedTask &Task : State.Finished) {
    Listed.insert(Task.Id.Task);
    Reported.insert(Task.Id);
    if (ActiveTasks.find(Task.Id))
      endAttempt(Task.Id, EndKind::Finished, Task.Ok, Task.Result, Now);
    else if (auto TaskRef = jobTaskOf(Task.Id.Task))
      endJobTask(Task.Id, *TaskRef, Endpoint, EndKind::Finished, Task.Ok,
                 Task.Result, Now);
    else
      PendingAcks[Endpoint].push_back(Task.Id);
  }
  // A result that the endpoint no longer reports has been acknowledged.
  std::vector<protocol::AttemptId> &Pending = PendingAcks[Endpoint];
  Pending.erase(std::remove_if(Pending.begin(), Pending.end(),
                               [&](const protocol::AttemptId &Id) {
                                 return Reported.count(Id) == 0;
                               }),
                Pending.end());
  for (const TaskId &Task : ActiveTasks.tasksOn(Endpoint)) {
    const ActiveTask *Entry = ActiveTasks.find(Task);
    bool WasRunning = Entry && Entry->State == ActiveState::Running &&
                      Entry->ConfirmedAt <= Sent.At;
    if (WasRunning && Listed.count(Task) == 0)
      endAttempt(Entry->Id, EndKind::NoResult, false, "ended without a result",
                 Now);
  }
}

void ShardController::adopt(const EndpointId &Endpoint,
                            const protocol::RunningTask &Task, TimePoint Now) {
  if (ActiveTask *Entry = ActiveTasks.find(Task.Id)) {
    if (Entry->State == ActiveState::Running)
      return;
    Entry->State = ActiveState::Running;
    Entry->ConfirmedAt = Now;
    Scheduler.started(Task.Id.Task, Now);
    return;
  }
  ActiveTask Found;
  Found.Id = Task.Id;
  Found.Endpoint = Endpoint;
  Found.State = ActiveState::Running;
  Found.SentAt = Now;
  Found.ConfirmedAt = Now;
  Found.TaskRef = jobTaskOf(Task.Id.Task);
  if (ActiveTasks.find(Task.Id.Task)) {
    // The task is active elsewhere, so this second attempt must stop.
    sendStop(Found, protocol::StopMode::Stop);
    return;
  }
  schedule::AdoptedTask Adopted;
  Adopted.Task = Task.Id.Task;
  Adopted.Attempt = Task.Id.Number;
  Adopted.Team = Task.Team;
  Adopted.Endpoint = Endpoint;
  Adopted.Size = Task.Reserved;
  Adopted.Usage = Task.Usage;
  if (Found.TaskRef) {
    Adopted.Job = Found.TaskRef->Job;
    auto Owned = Jobs.find(Found.TaskRef->Job);
    if (Owned != Jobs.end()) {
      Adopted.Class = Owned->second.Spec.Kind == protocol::JobKind::Service
                          ? schedule::TaskClass::Service
                          : schedule::TaskClass::Batch;
      if (Found.TaskRef->Index < Owned->second.Tasks.size()) {
        JobTask &Row = Owned->second.Tasks[Found.TaskRef->Index];
        Row.State = protocol::TaskState::Running;
        Row.Outcome = Verdict::MayHaveRun;
        Row.Endpoint = Endpoint;
        Row.Attempt = Task.Id.Number;
      }
    }
  }
  Scheduler.adopt(Adopted, Now);
  ActiveTasks.insert(std::move(Found));
}

/// Ends all attempts on \p Endpoint. The end of one attempt may end others, so
/// each is looked up again.
void ShardController::endAll(const EndpointId &Endpoint, const char *Why,
                             TimePoint Now) {
  for (const TaskId &Task : ActiveTasks.tasksOn(Endpoint)) {
    const ActiveTask *Entry = ActiveTasks.find(Task);
    if (Entry && Entry->Endpoint == Endpoint)
      endAttempt(Entry->Id, EndKind::NoResult, false, Why, Now);
  }
}

void ShardController::endExpiredLeases(TimePoint Now) {
  for (const EndpointId &Endpoint : Ownership.unreachable(Now)) {
    auto EndBy = Ownership.leasesEndBy(Endpoint);
    if (!EndBy || *EndBy > Now)
      continue;
    endAll(Endpoint, "the lease expired", Now);
  }
}

void ShardController::reclaim(TimePoint Now) {
  for (const schedule::ReclaimStep &Step : Scheduler.reclaim(Now))
    if (const ActiveTask *Entry = ActiveTasks.find(Step.Task))
      sendStop(*Entry, Step.Mode);
}

void ShardController::stopAll() {
  for (const auto &Row : Vms)
    for (const TaskId &Task : ActiveTasks.tasksOn(Row.first)) {
      ActiveTask &Entry = *ActiveTasks.find(Task);
      if (Entry.State == ActiveState::Running && !Entry.StopSent)
        sendStop(Entry, protocol::StopMode::Stop);
    }
}

void ShardController::release(TimePoint Now) { Ownership.release(Now); }

ShardStatus ShardController::status(TimePoint Now) const {
  ShardStatus Value;
  Value.Shard = Shard;
  Value.State = Ownership.state(Now);
  Value.Owner = Ownership.epoch();
  Value.JobsLoaded = HasLoadedJobs;
  Value.Endpoints = Vms.size();
  Value.Unreachable = Ownership.unreachable(Now).size();
  Value.Queued = static_cast<size_t>(Scheduler.queuedTasks());
  Value.Active = ActiveTasks.size();
  Value.Jobs = Jobs.size();
  Value.Free = room();
  return Value;
}

void ShardController::logEvent(
    EventName Name, std::vector<std::pair<std::string, std::string>> Fields) {
  Fields.emplace_back("shard", Shard.DataCentre.str() + '.' +
                                   std::to_string(Shard.Number));
  Commands.emit(RecordEvent{Name, std::move(Fields)});
}

} // namespace teaselwalk::engine
