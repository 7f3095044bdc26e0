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
constexpr int32_t SlowDownPercent = 40; ///< New limit, in % of the present.
constexpr int32_t SpeedUpStep = 15;     ///< Percentage points.
constexpr int32_t LowestPace = 10;      ///< Percent; below it they pause.
/// Times from a change of the limit to the next one, because a change takes a
/// while to show in the tail latency.
constexpr Duration SettleDown{250};
constexpr Duration SettleUp{1000};

} // namespace

void Owner::updateCpuLimits(TrackedEndpoint &Endpoint) {
  if (Endpoint.OpportunisticTasks == 0)
    return;
  double Worst = 0;
  std::vector<TaskKey> Fillers;
  for (const TaskKey &Key : Endpoint.Tasks) {
    JobProgress *Job = jobOf(Key.Job);
    const TaskProgress &Task = *Job->find(Key);
    const StepSpec &Step = Job->stepOf(Key);
    if (Task.Phase != TaskPhase::Running || Job->isEnded())
      continue;
    if (Step.TailTarget.count() > 0)
      Worst = std::max(Worst, static_cast<double>(Task.LoadMetric) /
                                  static_cast<double>(Step.TailTarget.count()));
    if (Step.Opportunistic)
      Fillers.push_back(Key);
  }
  TimePoint Now = Clock.now();
  Duration Since = Now - Endpoint.CpuLimitChangedAt;
  int32_t Pace = Endpoint.OpportunisticCpuLimitPercent;
  if (Worst > SlowDownAt && Since > SettleDown)
    Pace = Pace * SlowDownPercent / 100 < LowestPace
               ? 0
               : Pace * SlowDownPercent / 100;
  else if (Worst < SpeedUpAt && Since > SettleUp)
    Pace = std::min(100, Pace + SpeedUpStep);
  if (Endpoint.ServingTasks == 0)
    Pace = 100;
  if (Pace != Endpoint.OpportunisticCpuLimitPercent) {
    Endpoint.OpportunisticCpuLimitPercent = Pace;
    Endpoint.CpuLimitChangedAt = Now;
    Log.event(EventName::TaskPaced,
              {{"endpoint", Endpoint.Info.Id.str()},
               {"percent", std::to_string(Pace)},
               {"tail_of_target", std::to_string(Worst)},
               {"tasks", std::to_string(Fillers.size())}});
  }
  for (const TaskKey &Key : Fillers) {
    TaskProgress &Task = *jobOf(Key.Job)->find(Key);
    if (Task.CpuLimitPercent == Pace)
      continue;
    int32_t Before = std::exchange(Task.CpuLimitPercent, Pace);
    Workers.setCpuLimit(Endpoint.Info, Key, Task.Attempt, Pace, Endpoint.Token,
                        guarded([this, Key, Attempt = Task.Attempt, Pace,
                                 Before](const EndpointResult &Result) {
                          JobProgress *Job = jobOf(Key.Job);
                          TaskProgress *Task =
                              Job == nullptr ? nullptr : Job->find(Key);
                          // A request that failed is repeated after the next
                          // renewal.
                          if (Task != nullptr && Task->Attempt == Attempt &&
                              Task->CpuLimitPercent == Pace &&
                              Result.Outcome != EndpointOutcome::Done)
                            Task->CpuLimitPercent = Before;
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
