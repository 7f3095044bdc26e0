#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <cmath>

/// Room for urgent jobs on a full fleet: other steps are held back, and runs
/// with checkpoints are stopped.
namespace teaselwalk::cell {
namespace {

/// Steps of queues with this priority are urgent.
constexpr int32_t UrgentPriority = 0;
/// Room is made for the urgent tasks that arrive within this time, which is
/// about what a stop takes.
constexpr Duration ReserveTime{150};
/// A task is stopped for urgent work at most this often, so that it makes
/// progress.
constexpr int32_t MaxPreemptions = 2;
/// A run is not stopped earlier: it would have gained little more than the
/// start and the restoring of its checkpoint cost.
constexpr Duration MinRunTime{800};
/// A job that can spare less would be late after a stop.
constexpr Duration MinPreemptedSlack{3000};
/// Runs that are stopped at once, at most.
constexpr size_t MaxPreemptionsAtOnce = 64;
/// While room is short, requests for advice name this many times the endpoints
/// that would otherwise do: much of the room is taken before the answer comes,
/// and a further request costs far more than further endpoints.
constexpr double SpareEndpoints = 2.5;
/// A ticket that ends earlier is not counted.
constexpr Duration MinTicketTime{300};

} // namespace

bool Owner::isUrgent(const JobProgress &Job, const StepKey &Key) const {
  return policyOf(Job).Priority == UrgentPriority && hasObjective(Job, Key) &&
         !Job.IsOverRate && Clock.now() < Job.worthlessAt();
}

bool Owner::isHeldBack(const JobProgress &Job, const StepKey &Key) const {
  if (Urgent.empty() || policyOf(Job).Priority == UrgentPriority ||
      !hasObjective(Job, Key))
    return false;
  auto Found = Urgent.find(policyOf(Job).Service);
  if (Found == Urgent.end() || !Found->second.IsShort)
    return false;
  TimePoint Since =
      Job.stateOf({Key.Job, Key.Occurrence, Key.Step, 0}).WaitingSince;
  return mayHoldBack(slackOf(Job, Key), Clock.now() - Since);
}

bool Owner::isShortOfUrgentRoom(const JobProgress &Job,
                                const StepKey &Key) const {
  if (Urgent.empty() || !isUrgent(Job, Key))
    return false;
  auto Found = Urgent.find(policyOf(Job).Service);
  return Found != Urgent.end() && Found->second.IsShort;
}

AdviceNeed Owner::urgentNeed(const JobProgress &Job, const StepKey &Key) const {
  AdviceNeed Need = adviceNeed(Job, Key);
  Need.Tasks = static_cast<int32_t>(std::ceil(Need.Tasks * SpareEndpoints));
  return Need;
}

bool Owner::hasSpareTickets(const JobProgress &Job, const StepKey &Key,
                            const StepAdvice &Advice) const {
  TimePoint Latest = Clock.now() + MinTicketTime;
  auto Tickets = std::count_if(
      Advice.Endpoints.begin(), Advice.Endpoints.end(), [&](const auto &Row) {
        return Row.second.IsAllowed && Row.second.ValidUntil > Latest;
      });
  return Tickets >= adviceNeed(Job, Key).Tasks;
}

void Owner::noteUrgentArrival(const JobProgress &Job, const StepKey &Key) {
  if (!Options.Features.has(Feature::UrgentRoom) || !IsLoaded ||
      !isUrgent(Job, Key))
    return;
  int32_t Tasks = Job.stateOf({Key.Job, Key.Occurrence, Key.Step, 0}).Waiting;
  Urgent[policyOf(Job).Service].Arrivals.add(Tasks, Clock.now());
}

void Owner::makeUrgentRoom() {
  if (!Options.Features.has(Feature::UrgentRoom))
    return;
  for (auto &[Service, State] : Urgent)
    State.Waiting = {};
  for (const StepKey &Key : Backlog) {
    const JobProgress *Job = jobOf(Key.Job);
    if (Job == nullptr || Job->isEnded() ||
        Job->Occurrences.count(Key.Occurrence) == 0 || !isUrgent(*Job, Key))
      continue;
    int64_t Tasks =
        Job->stateOf({Key.Job, Key.Occurrence, Key.Step, 0}).Waiting;
    Urgent[policyOf(*Job).Service].Waiting.add(
        Job->Spec.Steps[static_cast<size_t>(Key.Step)].Need, Tasks);
  }
  for (auto &[Service, State] : Urgent)
    makeUrgentRoomIn(Service, State);
}

void Owner::makeUrgentRoomIn(const std::string &Service, UrgentService &State) {
  TimePoint Now = Clock.now();
  if (State.Waiting.tasks() > 0)
    State.Need = State.Waiting.need();
  double Places = static_cast<double>(State.Waiting.tasks()) +
                  State.Arrivals.expected(ReserveTime, Now);
  State.IsShort = false;
  if (Places < 1)
    return;
  std::vector<PreemptibleEndpoint> Rooms;
  std::vector<TaskKey> Runs;
  double Free = 0;
  for (const EndpointTable::Row &Row : Table.rows()) {
    if (!mayStartOn(*Row.Endpoint, Service, Now))
      continue;
    Free += static_cast<double>(placesIn(Row.Free, State.Need));
    Rooms.push_back(preemptibleOn(*Row.Endpoint, Runs));
  }
  State.IsShort = Free < Places;
  if (!State.IsShort)
    return;
  for (size_t Number : choosePreemptions(Places, State.Need, std::move(Rooms),
                                         MaxPreemptionsAtOnce))
    preempt(Runs[Number]);
}

PreemptibleEndpoint Owner::preemptibleOn(const TrackedEndpoint &Endpoint,
                                         std::vector<TaskKey> &Runs) {
  PreemptibleEndpoint Room;
  Room.Free = Endpoint.freeCapacity();
  TimePoint Now = Clock.now();
  for (const TaskKey &Key : Endpoint.Tasks) {
    JobProgress &Job = *jobOf(Key.Job);
    const StepSpec &Step = Job.stepOf(Key);
    const TaskProgress &Task = *Job.find(Key);
    if (Task.IsStopping) {
      Room.Free += Step.Need;
      continue;
    }
    StepKey Of{Key.Job, Key.Occurrence, Key.Step};
    bool KeepsItsWork =
        Step.Checkpoints && !Step.Gang && !Step.Service && !Step.Opportunistic;
    if (!KeepsItsWork || Task.Phase != TaskPhase::Running || Job.isEnded() ||
        policyOf(Job).Priority == UrgentPriority ||
        Task.Preemptions >= MaxPreemptions ||
        Task.StartConfirmedAt == TimePoint() ||
        Now - Task.StartConfirmedAt < MinRunTime)
      continue;
    Duration Slack = slackOf(Job, Of);
    PreemptionCost Cost = PreemptionCost::InTime;
    if (Job.IsOverRate)
      Cost = PreemptionCost::NotEntitled;
    else if (Slack.count() < 0)
      Cost = PreemptionCost::Late;
    else if (Slack < MinPreemptedSlack)
      continue;
    Room.Runs.push_back({Runs.size(), Step.Need, Cost, Slack});
    Runs.push_back(Key);
  }
  return Room;
}

void Owner::preempt(const TaskKey &Key) {
  JobProgress &Job = *jobOf(Key.Job);
  TaskProgress &Task = *Job.find(Key);
  ++Task.Preemptions;
  Log.count("tasks_preempted");
  Log.event(EventName::TaskPreempted,
            {{"job", Key.Job.str()},
             {"task", textOf(Key)},
             {"attempt", std::to_string(Task.Attempt)},
             {"endpoint", Task.AssignedTo.str()},
             {"percent", std::to_string(Task.ProgressPercent)},
             {"reason", "urgent jobs wait for room"}});
  sendStop(Key, Task);
}

} // namespace teaselwalk::cell
