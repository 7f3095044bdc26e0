#include "owner_limits.hpp"

#include "teaselwalk/cell/owner.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

/// Progress is judged from this time after the run was first listed.
constexpr Duration MinObservationTime{400};
/// Weights of a new sample in the moving averages: of the slowness of an
/// endpoint, from a run in progress and from one that ended, and of the run
/// time ratio of a queue.
constexpr double RunningSampleWeight = 0.15;
constexpr double EndedSampleWeight = 0.3;
constexpr double QueueSampleWeight = 0.05;
/// Bounds of a sample of slowness.
constexpr double MinSample = 0.5;
constexpr double MaxSample = 8;
/// Tasks with checkpoints are moved off an endpoint with a higher slowness if
/// they also exceed `MoveThreshold`.
constexpr double SlowEndpointThreshold = 3.5;
/// A task is moved only if it still needs more than this many times its usual
/// run time.
constexpr double MoveThreshold = 3.0;
/// A task without any progress for this multiple of its usual run time, and for
/// `MinStallTime`, has stalled.
constexpr double StallFactor = 2.0;
constexpr Duration MinStallTime{2500};

} // namespace

Duration Owner::expectedRunTime(const JobProgress &Job,
                                const StepSpec &Step) const {
  auto Learned = RunTimeRatio.find(Job.Spec.Queue);
  double Ratio = Learned == RunTimeRatio.end() ? 1 : Learned->second;
  return Duration(static_cast<int64_t>(
      Ratio *
      static_cast<double>(std::max<int64_t>(100, Step.Estimate.count()))));
}

void Owner::addSlownessSample(TrackedEndpoint &Endpoint, double Sample,
                              double Weight) {
  double Bounded = std::clamp(Sample, MinSample, MaxSample);
  Endpoint.Slowness = Endpoint.Slowness * (1 - Weight) + Bounded * Weight;
}

void Owner::recordRunTime(TrackedEndpoint &Endpoint, JobProgress &Job,
                          const TaskKey &Key, const TaskProgress &Task) {
  const StepSpec &Step = Job.stepOf(Key);
  bool IsFullRun = Task.StartConfirmedAt != TimePoint() &&
                   Task.AssignedAt > GainedAt && Task.Checkpoint.empty() &&
                   !Step.Service && !Step.Opportunistic;
  if (!IsFullRun)
    return;
  Duration RunTime = Clock.now() - Task.StartConfirmedAt;
  if (std::optional<double> Ratio = Job.stateOf(Key).RunTimes.add(RunTime))
    Endpoint.Record.addRunTime(*Ratio);
  auto RunTimeMs = static_cast<double>(RunTime.count());
  auto ExpectedMs = static_cast<double>(expectedRunTime(Job, Step).count());
  addSlownessSample(Endpoint, RunTimeMs / ExpectedMs, EndedSampleWeight);
  double Ratio = RunTimeMs / static_cast<double>(
                                 std::max<int64_t>(100, Step.Estimate.count()));
  double &Learned = RunTimeRatio.emplace(Job.Spec.Queue, 1).first->second;
  Learned = Learned * (1 - QueueSampleWeight) +
            std::min(Ratio, 4.0) * QueueSampleWeight;
}

void Owner::checkProgress(TrackedEndpoint &Endpoint, const JobProgress &Job,
                          const TaskKey &Key, TaskProgress &Task,
                          int32_t Percent) {
  const StepSpec &Step = Job.stepOf(Key);
  TimePoint Now = Clock.now();
  if (Task.ObservedSince == TimePoint()) {
    Task.ObservedSince = Now;
    Task.FirstProgressPercent = Percent;
    return;
  }
  Duration ElapsedTime = Now - Task.ObservedSince;
  bool IsCpuLimited = Step.Opportunistic || Task.CpuLimitPercent < 100;
  if (Step.Service || IsCpuLimited || ElapsedTime < MinObservationTime ||
      Task.IsStopping)
    return;
  auto ExpectedMs = static_cast<double>(expectedRunTime(Job, Step).count());
  auto ElapsedMs = static_cast<double>(ElapsedTime.count());
  int32_t ProgressMade = Percent - Task.FirstProgressPercent;
  bool IsStalled =
      ProgressMade <= 0 &&
      ElapsedTime >
          std::max(MinStallTime,
                   Duration(static_cast<int64_t>(ExpectedMs * StallFactor)));
  if (ProgressMade <= 0 && !IsStalled)
    return;
  double TotalMs =
      IsStalled ? ExpectedMs * MaxSample : ElapsedMs * 100 / ProgressMade;
  addSlownessSample(Endpoint, TotalMs / ExpectedMs, RunningSampleWeight);
  double RemainingMs = TotalMs * (100 - Percent) / 100;
  bool IsMoveWorthwhile = RemainingMs > ExpectedMs * MoveThreshold;
  // A slow task without checkpoints would lose its work by a move.
  bool IsSlow = IsStalled ||
                (Step.Checkpoints && Endpoint.Slowness > SlowEndpointThreshold);
  if (!IsMoveWorthwhile || !IsSlow || Step.Gang)
    return;
  Log.event(EventName::TaskStopped,
            {{"job", Key.Job.str()},
             {"step", std::to_string(Key.Step)},
             {"index", std::to_string(Key.Index)},
             {"endpoint", Endpoint.Info.Id.str()},
             {"reason", IsStalled ? "no progress" : "slow endpoint"},
             {"percent", std::to_string(Percent)},
             {"slowness", std::to_string(Endpoint.Slowness)},
             {"left_ms", std::to_string(static_cast<int64_t>(RemainingMs))}});
  Endpoint.SuspendedUntil =
      std::max(Endpoint.SuspendedUntil, Now + FirstSuspension);
  sendStop(Key, Task);
}

} // namespace teaselwalk::cell
