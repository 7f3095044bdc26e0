#include "owner_limits.hpp"

#include "teaselwalk/cell/owner.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

/// Opportunistic tasks are slowed down if the tail latency of a serving task on
/// their endpoint is above this share of its target.
constexpr double SlowDownAt = 0.85;
/// Below this share they are sped up again.
constexpr double SpeedUpAt = 0.6;
constexpr int32_t SlowDownToPercent = 40;  ///< New limit, in % of the former.
constexpr int32_t SpeedUpStepPercent = 15; ///< Percentage points.
/// A lower limit becomes 0, which pauses the tasks.
constexpr int32_t MinCpuLimitPercent = 10;
/// Times from a change of the limit to the next one, because a change takes a
/// while to show in the tail latency.
constexpr Duration SlowDownInterval{250};
constexpr Duration SpeedUpInterval{1000};

} // namespace

void Owner::updateCpuLimits(TrackedEndpoint &Endpoint) {
  Endpoint.IsCpuLimitSettled = false;
  if (Endpoint.OpportunisticTasks == 0)
    return;
  double WorstTailRatio = 0;
  bool AreTailsKnown = true;
  std::vector<TaskKey> OpportunisticKeys;
  for (const TaskKey &Key : Endpoint.Tasks) {
    JobProgress *Job = jobOf(Key.Job);
    const TaskProgress &Task = *Job->find(Key);
    const StepSpec &Step = Job->stepOf(Key);
    if (Job->isEnded())
      continue;
    if (Step.TailTarget.count() > 0 && Task.LoadMetric <= 0)
      AreTailsKnown = false;
    if (Task.Phase != TaskPhase::Running)
      continue;
    if (Step.TailTarget.count() > 0)
      WorstTailRatio = std::max(
          WorstTailRatio, static_cast<double>(Task.LoadMetric) /
                              static_cast<double>(Step.TailTarget.count()));
    if (Step.Opportunistic)
      OpportunisticKeys.push_back(Key);
  }
  TimePoint Now = Clock.now();
  Duration SinceChange = Now - Endpoint.CpuLimitChangedAt;
  int32_t Percent = Endpoint.OpportunisticCpuLimitPercent;
  if (WorstTailRatio > SlowDownAt && SinceChange > SlowDownInterval)
    Percent = Percent * SlowDownToPercent / 100 < MinCpuLimitPercent
                  ? 0
                  : Percent * SlowDownToPercent / 100;
  else if (WorstTailRatio < SpeedUpAt && SinceChange > SpeedUpInterval)
    Percent = std::min(100, Percent + SpeedUpStepPercent);
  if (Endpoint.ServingTasks == 0)
    Percent = 100;
  if (Percent != Endpoint.OpportunisticCpuLimitPercent) {
    Endpoint.OpportunisticCpuLimitPercent = Percent;
    Endpoint.CpuLimitChangedAt = Now;
    Log.event(EventName::TaskPaced,
              {{"endpoint", Endpoint.Info.Id.str()},
               {"percent", std::to_string(Percent)},
               {"tail_of_target", std::to_string(WorstTailRatio)},
               {"tasks", std::to_string(OpportunisticKeys.size())}});
  }
  Endpoint.IsCpuLimitSettled =
      Percent == 100 && AreTailsKnown && WorstTailRatio < SpeedUpAt;
  for (const TaskKey &Key : OpportunisticKeys) {
    TaskProgress &Task = *jobOf(Key.Job)->find(Key);
    if (Task.CpuLimitPercent == Percent)
      continue;
    int32_t FormerPercent = std::exchange(Task.CpuLimitPercent, Percent);
    Endpoints.setCpuLimit(
        Endpoint.Info, Key, Task.Attempt, Percent, Endpoint.Token,
        guarded([this, Key, Attempt = Task.Attempt, Percent,
                 FormerPercent](const EndpointResult &Result) {
          JobProgress *Job = jobOf(Key.Job);
          TaskProgress *Task = Job == nullptr ? nullptr : Job->find(Key);
          // A request that failed is repeated after the next renewal.
          if (Task != nullptr && Task->Attempt == Attempt &&
              Task->CpuLimitPercent == Percent &&
              Result.Outcome != EndpointOutcome::Done)
            Task->CpuLimitPercent = FormerPercent;
        }));
  }
}

void Owner::drainEndpoint(TrackedEndpoint &Endpoint) {
  std::vector<TaskKey> Moved;
  for (const TaskKey &Key : Endpoint.Tasks) {
    const StepSpec &Step = jobOf(Key.Job)->stepOf(Key);
    const TaskProgress &Task = *jobOf(Key.Job)->find(Key);
    // A task without checkpoints would lose its work by a move, so it may run
    // to its end here unless it is a service.
    bool IsMoved = Step.Service || Step.Checkpoints;
    if (IsMoved && Task.IsStartSent && !Task.IsStopping && !Step.Gang)
      Moved.push_back(Key);
  }
  for (const TaskKey &Key : Moved)
    sendStop(Key, *jobOf(Key.Job)->find(Key));
}

} // namespace teaselwalk::cell
