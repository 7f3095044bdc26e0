#include "teaselwalk/schedule/scheduler.hpp"

#include "state_functions.hpp"

#include <algorithm>
#include <sstream>

namespace teaselwalk::schedule {

namespace {

using protocol::Refusal;

Resources largerOf(Resources A, const Resources &B) {
  for (int64_t Resources::*Field : ResourceFields)
    A.*Field = std::max(A.*Field, B.*Field);
  return A;
}

template <typename... Parts>
Admission refuse(Refusal Reason, const Parts &...Words) {
  std::ostringstream Text;
  (Text << ... << Words);
  return {Reason, Text.str(), Duration(0)};
}

/// Counts at least one slot, as a task takes one even if it declares none.
WorkSpec normalised(WorkSpec Spec) {
  Spec.Size.Slots = std::max<int64_t>(Spec.Size.Slots, 1);
  return Spec;
}

Admission checkTeamLimit(const TeamAccount &Team, const Resources &Size,
                         int64_t Tasks) {
  if (Tasks > Team.Settings.MaxFleetRunningTasks)
    return refuse(Refusal::TooLarge, "the gang has ", Tasks,
                  " tasks, the limit of team ", Team.Id, " is ",
                  Team.Settings.MaxFleetRunningTasks, " running tasks");
  for (int64_t Resources::*Field : ResourceFields)
    if (Size.*Field > 0 &&
        Size.*Field * Tasks > Team.Settings.FleetLimit.*Field)
      return refuse(Refusal::TooLarge, Tasks, " task(s) of ", Size,
                    " exceed the limit of team ", Team.Id, ": ",
                    Team.Settings.FleetLimit);
  return {};
}

Admission checkEndpoints(const EndpointTable &Endpoints, const Resources &Size,
                         int64_t Tasks) {
  if (Endpoints.size() == 0)
    return refuse(Refusal::Overloaded, "this shard has no endpoints");
  if (!Endpoints.fitsSomeCapacity(Size))
    return refuse(Refusal::TooLarge, "a task of ", Size,
                  " is larger than any endpoint");
  if (Tasks > 1 && Endpoints.placesWhenEmpty(Size) < Tasks)
    return refuse(Refusal::TooLarge, "all endpoints together can hold ",
                  Endpoints.placesWhenEmpty(Size), " tasks of ", Size,
                  ", the gang has ", Tasks);
  return {};
}

std::vector<TaskId> dropUnits(SchedulerState &State,
                              const std::vector<UnitId> &Units) {
  std::vector<TaskId> Dropped;
  for (UnitId Id : Units) {
    Unit Value = dropUnit(State, Id);
    Dropped.insert(Dropped.end(), Value.Tasks.begin(), Value.Tasks.end());
  }
  return Dropped;
}

} // namespace

Scheduler::Scheduler(SchedulerOptions Options) { State.Options = Options; }

void Scheduler::setEndpoint(const SchedulableEndpoint &Info) {
  EndpointTable::Index At = State.Endpoints.update(Info);
  if (!State.Endpoints.isOpen(At))
    dropHoldsOn(State, At);
}

std::vector<TaskId> Scheduler::removeEndpoint(const EndpointId &Id) {
  std::vector<TaskId> Lost;
  std::optional<EndpointTable::Index> At = State.Endpoints.find(Id);
  if (!At)
    return Lost;
  dropHoldsOn(State, *At);
  std::vector<RunningSet::Index> Tasks = State.Running.onEndpoint(*At);
  for (RunningSet::Index Task : Tasks)
    Lost.push_back(removeRunning(State, Task).Task);
  State.Endpoints.remove(Id);
  return Lost;
}

void Scheduler::setTeam(const TeamId &Team, const TeamSettings &Settings) {
  State.Teams.update(Team, Settings);
}

std::vector<TaskId> Scheduler::removeTeam(const TeamId &Team) {
  std::optional<TeamTable::Index> At = State.Teams.find(Team);
  if (!At)
    return {};
  State.Teams.markRemoved(*At);
  return dropUnits(State, State.Queue.unitsOf(*At));
}

void Scheduler::setQueue(const QueueId &Queue, TaskClass Class) {
  State.QueueClasses[Queue] = Class;
}

void Scheduler::removeQueue(const QueueId &Queue) {
  State.QueueClasses.erase(Queue);
}

Admission Scheduler::checkAdmission(const WorkSpec &Declared, int64_t Tasks,
                                    bool Gang) const {
  WorkSpec Spec = normalised(Declared);
  if (hasNegative(Spec.Size) || Tasks < 1)
    return refuse(
        Refusal::BadRequest,
        "a declared resource is negative or the number of tasks is below 1");
  if (State.QueueClasses.count(Spec.Queue) == 0)
    return refuse(Refusal::NotFound, "queue '", Spec.Queue, "' does not exist");
  std::optional<TeamTable::Index> Team = State.Teams.find(Spec.Team);
  if (!Team || !State.Teams.at(*Team).IsPresent)
    return refuse(Refusal::Forbidden, "team '", Spec.Team, "' does not exist");
  const TeamAccount &Account = State.Teams.at(*Team);
  int64_t Together = Gang ? Tasks : 1;
  if (Admission A = checkTeamLimit(Account, Spec.Size, Together); !A)
    return A;
  if (Admission A = checkEndpoints(State.Endpoints, Spec.Size, Together); !A)
    return A;
  Admission Full;
  if (Account.Queued + Tasks > State.Options.MaxQueuedPerTeam)
    Full =
        refuse(Refusal::Overloaded, "team ", Spec.Team, " has ", Account.Queued,
               " queued tasks, the limit is ", State.Options.MaxQueuedPerTeam);
  else if (State.Queue.taskCount() + Tasks > State.Options.MaxQueuedTotal)
    Full =
        refuse(Refusal::Overloaded, "this shard has ", State.Queue.taskCount(),
               " queued tasks, the limit is ", State.Options.MaxQueuedTotal);
  if (!Full)
    Full.RetryAfter = State.Options.RetryAfter;
  return Full;
}

Admission Scheduler::admit(const TaskId &Task, const WorkSpec &Spec,
                           TimePoint Now) {
  return admitGang({Task}, Spec, Now);
}

Admission Scheduler::admitGang(const std::vector<TaskId> &Tasks,
                               const WorkSpec &Spec, TimePoint Now) {
  for (const TaskId &Task : Tasks)
    if (isQueued(Task) || isRunning(Task))
      return refuse(Refusal::BadRequest, "task '", Task,
                    "' is already queued or running");
  if (std::set<TaskId>(Tasks.begin(), Tasks.end()).size() != Tasks.size())
    return refuse(Refusal::BadRequest, "a task id occurs twice in the gang");
  Admission Answer =
      checkAdmission(Spec, static_cast<int64_t>(Tasks.size()), true);
  if (!Answer)
    return Answer;
  if (Spec.Deadline && *Spec.Deadline <= Now)
    return refuse(Refusal::DeadlinePassed, "the deadline has passed");
  Unit Value;
  Value.Tasks = Tasks;
  Value.Spec = normalised(Spec);
  Value.Class =
      Spec.Urgent ? TaskClass::Urgent : State.QueueClasses.at(Spec.Queue);
  Value.Team = *State.Teams.find(Spec.Team);
  Value.Arrived = Now;
  State.Teams.queue(Value.Team, Value.Class, 1,
                    static_cast<int64_t>(Tasks.size()));
  State.Queue.insert(std::move(Value));
  return Answer;
}

std::vector<TaskId> Scheduler::cancel(const TaskId &Task) {
  const Unit *Found = State.Queue.findTask(Task);
  if (!Found)
    return {};
  return dropUnits(State, {Found->Id});
}

std::vector<TaskId> Scheduler::cancelJob(const JobId &Job) {
  return dropUnits(State, State.Queue.unitsOf(Job));
}

std::vector<TaskId> Scheduler::runningOf(const JobId &Job) const {
  return State.Running.ofJob(Job);
}

bool Scheduler::decide(TimePoint Now, std::vector<Placement> &Out) {
  return functionsOf(State.Options.SchedulingPolicy).Decide(State, Now, Out);
}

void Scheduler::started(const TaskId &Task, TimePoint Now) {
  std::optional<RunningSet::Index> At = State.Running.find(Task);
  if (!At)
    return;
  RunningRecord &Record = State.Running.at(*At);
  if (Record.IsConfirmed)
    return;
  Record.IsConfirmed = true;
  if (Record.End)
    *Record.End += Now - Record.Start;
  Record.Start = Now;
}

bool Scheduler::ended(const TaskId &Task) {
  std::optional<RunningSet::Index> At = State.Running.find(Task);
  if (!At)
    return false;
  removeRunning(State, *At);
  return true;
}

bool Scheduler::adopt(const AdoptedTask &Task, TimePoint Now) {
  std::optional<EndpointTable::Index> At = State.Endpoints.find(Task.Endpoint);
  if (!At || isRunning(Task.Task))
    return false;
  cancel(Task.Task);
  RunningRecord Record;
  Record.Task = Task.Task;
  Record.Job = Task.Job;
  Record.Team = State.Teams.findOrAdd(Task.Team);
  Record.Endpoint = *At;
  Record.Class = Task.Class;
  Record.Size = Task.Size;
  Record.Charged = largerOf(Task.Size, Task.Usage);
  Record.Start = Now;
  Record.IsConfirmed = true;
  if (Task.RunTime > Duration(0))
    Record.End = Now + Task.RunTime;
  addRunning(State, std::move(Record));
  return true;
}

void Scheduler::reportUsage(const TaskId &Task, const Resources &Used) {
  std::optional<RunningSet::Index> At = State.Running.find(Task);
  if (!At)
    return;
  RunningRecord &Record = State.Running.at(*At);
  Resources Charged = largerOf(Record.Size, Used);
  if (Charged == Record.Charged)
    return;
  State.Endpoints.release(Record.Endpoint, Record.Charged);
  State.Endpoints.allocate(Record.Endpoint, Charged);
  State.Teams.charge(Record.Team, Resources(), Charged - Record.Charged, 0);
  Record.Charged = Charged;
}

std::vector<TaskId> Scheduler::expire(TimePoint Now) {
  std::vector<UnitId> Units;
  for (const auto &[When, Id] : State.Queue.deadlines()) {
    if (When > Now)
      break;
    Units.push_back(Id);
  }
  return dropUnits(State, Units);
}

std::optional<TimePoint> Scheduler::nextDeadline() const {
  std::optional<TimePoint> Next;
  auto Consider = [&](TimePoint When) {
    Next = Next ? std::min(*Next, When) : When;
  };
  if (!State.Queue.deadlines().empty())
    Consider(State.Queue.deadlines().begin()->first);
  if (!State.PendingStops.empty())
    Consider(State.PendingStops.begin()->first);
  if (State.Reserved)
    Consider(State.Holds.at(*State.Reserved).Start);
  return Next;
}

std::vector<ReclaimStep> Scheduler::reclaim(TimePoint Now) {
  if (!functionsOf(State.Options.SchedulingPolicy).CanReclaim)
    return {};
  return reclaimSteps(State, Now);
}

Resources Scheduler::queuedDemand(const TeamId &Team,
                                  const Resources &Cap) const {
  Resources Sum;
  std::optional<TeamTable::Index> At = State.Teams.find(Team);
  if (!At || State.Teams.at(*At).Queued == 0)
    return Sum;
  for (UnitId Id : State.Queue.unitsOf(*At)) {
    Sum += State.Queue.find(Id)->total();
    if (!fits(Sum, Cap))
      break;
  }
  return Sum;
}

bool Scheduler::isQueued(const TaskId &Task) const {
  return State.Queue.findTask(Task) != nullptr;
}

bool Scheduler::isRunning(const TaskId &Task) const {
  return State.Running.find(Task).has_value();
}

std::optional<EndpointId> Scheduler::endpointOf(const TaskId &Task) const {
  std::optional<RunningSet::Index> At = State.Running.find(Task);
  if (!At)
    return std::nullopt;
  return State.Endpoints.info(State.Running.at(*At).Endpoint).Id;
}

const TeamAccount *Scheduler::team(const TeamId &Team) const {
  std::optional<TeamTable::Index> At = State.Teams.find(Team);
  return At ? &State.Teams.at(*At) : nullptr;
}

} // namespace teaselwalk::schedule
