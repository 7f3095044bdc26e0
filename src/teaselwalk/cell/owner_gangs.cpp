#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace teaselwalk::cell {

void Owner::placeGang(const BacklogStep &Next, StepProgress &State,
                      StepAdvice *Advice) {
  JobProgress &Job = *Next.Job;
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Next.Key.Step)];
  // All runs of the former attempt must have ended.
  if (State.Waiting < Step.Tasks)
    return;
  Resources All = Step.Need;
  int64_t Attempt = 0;
  TimePoint Now = Clock.now();
  for (const TaskProgress &Task : State.Tasks) {
    Attempt = std::max(Attempt, Task.Attempt);
    if (Task.NotBefore > Now || Task.mustAwaitVerdict())
      return;
  }
  for (int32_t T = 1; T < Step.Tasks; ++T)
    All += Step.Need;
  if (!fitsTeamLimit(Job, All))
    return;
  std::string Checkpoint;
  for (const TaskProgress &Task : State.Tasks)
    Checkpoint = std::max(Checkpoint, Task.Checkpoint);
  std::vector<std::pair<TaskKey, TrackedEndpoint *>> Places;
  // Suspected tasks first, since no other task may be placed with them.
  for (bool IsSuspected : {true, false})
    for (int32_t T = 0; T < Step.Tasks; ++T) {
      if (State.Tasks[static_cast<size_t>(T)].isSuspected() != IsSuspected)
        continue;
      TrackedEndpoint *Endpoint =
          chooseEndpoint(Job, Step, Next.Key, Advice, IsSuspected);
      if (Endpoint == nullptr)
        break;
      TaskKey Key{Next.Key.Job, Next.Key.Occurrence, Next.Key.Step, T};
      reserveResources(*Endpoint, Job, Key);
      if (IsSuspected)
        Endpoint->IsolatedTask = Key;
      Places.emplace_back(Key, Endpoint);
    }
  if (Places.size() < State.Tasks.size()) {
    for (auto &[Key, Endpoint] : Places)
      freeResources(Job, Key, Endpoint->Info.Id);
    if (Advice != nullptr)
      askAdvice(Job, Next.Key, *Advice);
    return;
  }
  for (auto &[Key, Endpoint] : Places) {
    TaskProgress &Task = *Job.find(Key);
    Job.assign(State, Task, Endpoint->Info.Id, Attempt + 1);
    Task.Checkpoint = Checkpoint;
    noteAssignment(*Endpoint, Task);
    Task.AssignmentVersion = Job.Version + 1;
    OpenStarts.emplace(Key, TimePoint::max());
  }
  markChanged(Job);
  Log.event(EventName::GangReserved,
            {{"job", Next.Key.Job.str()},
             {"step", std::to_string(Next.Key.Step)},
             {"attempt", std::to_string(Attempt + 1)},
             {"tasks", std::to_string(Places.size())}});
}

} // namespace teaselwalk::cell
