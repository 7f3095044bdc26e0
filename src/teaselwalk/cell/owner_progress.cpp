#include "owner_limits.hpp"

#include "teaselwalk/cell/owner.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

/// Progress is judged from this time after the run was first listed.
constexpr Duration ProgressSpan{400};
/// Weights of a new sample in the moving averages: of the slowness of an
/// endpoint, from a run in progress and from one that ended, and of the run
/// time ratio of a queue.
constexpr double RunningWeight = 0.15;
constexpr double EndedWeight = 0.3;
constexpr double QueueWeight = 0.05;
/// Bounds of a sample of slowness.
constexpr double LeastSample = 0.5;
constexpr double LargestSample = 8;
/// Tasks with checkpoints leave an endpoint of a higher slowness if `MoveAbove`
/// holds too.
constexpr double SlowEndpoint = 3.5;
/// A task is moved only if it still needs more than this many times its usual
/// run time.
constexpr double MoveAbove = 3.0;
/// A task without any progress for this multiple of its usual run time, and for
/// `LeastStandstill`, has stalled.
constexpr double StandstillLengths = 2.0;
constexpr Duration LeastStandstill{2500};

} // namespace

Duration Owner::usualLength(const JobProgress &Job,
                            const StepSpec &Step) const {
  auto Learned = LengthRatio.find(Job.Spec.Queue);
  double Ratio = Learned == LengthRatio.end() ? 1 : Learned->second;
  return Duration(static_cast<int64_t>(
      Ratio *
      static_cast<double>(std::max<int64_t>(100, Step.Estimate.count()))));
}

void Owner::noteSlowness(TrackedEndpoint &Endpoint, double Sample,
                         double Weight) {
  double Bounded = std::clamp(Sample, LeastSample, LargestSample);
  Endpoint.Slowness = Endpoint.Slowness * (1 - Weight) + Bounded * Weight;
}

void Owner::noteLength(TrackedEndpoint &Endpoint, const JobProgress &Job,
                       const TaskKey &Key, const TaskProgress &Task) {
  const StepSpec &Step = Job.stepOf(Key);
  bool IsWhole = Task.StartConfirmedAt != TimePoint() &&
                 Task.AssignedAt > GainedAt && Task.Checkpoint.empty() &&
                 !Step.Service && !Step.Opportunistic;
  if (!IsWhole)
    return;
  auto Length =
      static_cast<double>((Clock.now() - Task.StartConfirmedAt).count());
  auto Usual = static_cast<double>(usualLength(Job, Step).count());
  noteSlowness(Endpoint, Length / Usual, EndedWeight);
  double Ratio = Length / static_cast<double>(
                              std::max<int64_t>(100, Step.Estimate.count()));
  double &Learned = LengthRatio.emplace(Job.Spec.Queue, 1).first->second;
  Learned = Learned * (1 - QueueWeight) + std::min(Ratio, 4.0) * QueueWeight;
}

void Owner::noteProgress(TrackedEndpoint &Endpoint, const JobProgress &Job,
                         const TaskKey &Key, TaskProgress &Task,
                         int32_t Percent) {
  const StepSpec &Step = Job.stepOf(Key);
  TimePoint Now = Clock.now();
  if (Task.ObservedSince == TimePoint()) {
    Task.ObservedSince = Now;
    Task.FirstProgressPercent = Percent;
    return;
  }
  Duration Span = Now - Task.ObservedSince;
  bool IsPaced = Step.Opportunistic || Task.CpuLimitPercent < 100;
  if (Step.Service || IsPaced || Span < ProgressSpan || Task.IsStopping)
    return;
  auto Usual = static_cast<double>(usualLength(Job, Step).count());
  auto Spent = static_cast<double>(Span.count());
  int32_t Made = Percent - Task.FirstProgressPercent;
  bool StandsStill =
      Made <= 0 &&
      Span >
          std::max(LeastStandstill,
                   Duration(static_cast<int64_t>(Usual * StandstillLengths)));
  if (Made <= 0 && !StandsStill)
    return;
  double Whole = StandsStill ? Usual * LargestSample : Spent * 100 / Made;
  noteSlowness(Endpoint, Whole / Usual, RunningWeight);
  double Left = Whole * (100 - Percent) / 100;
  bool Pays = Left > Usual * MoveAbove;
  // A slow task without checkpoints would lose its work by a move.
  bool IsSlow =
      StandsStill || (Step.Checkpoints && Endpoint.Slowness > SlowEndpoint);
  if (!Pays || !IsSlow || Step.Gang)
    return;
  Log.event(EventName::TaskStopped,
            {{"job", Key.Job.str()},
             {"step", std::to_string(Key.Step)},
             {"index", std::to_string(Key.Index)},
             {"endpoint", Endpoint.Info.Id.str()},
             {"reason", StandsStill ? "no progress" : "slow endpoint"},
             {"percent", std::to_string(Percent)},
             {"slowness", std::to_string(Endpoint.Slowness)},
             {"left_ms", std::to_string(static_cast<int64_t>(Left))}});
  Endpoint.SuspendedUntil =
      std::max(Endpoint.SuspendedUntil, Now + FirstSuspension);
  sendStop(Key, Task);
}

} // namespace teaselwalk::cell
