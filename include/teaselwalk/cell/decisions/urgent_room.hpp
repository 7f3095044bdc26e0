#pragma once

#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Room for urgent work on a full fleet. Answers a load that comes at several
/// times its usual rate for seconds, while long tasks with checkpoints hold the
/// room: these are stopped, keep what they have done, and go on later.
namespace teaselwalk::cell {

/// Rate at which urgent tasks arrive, over the last half second or so.
class UrgentArrivals {
public:
  void add(int64_t Tasks, TimePoint Now);
  /// Tasks that are expected within \p Time.
  double expected(Duration Time, TimePoint Now) const;

private:
  double decay(TimePoint Now) const;

  double Recent = 0; ///< Tasks, decayed, as of `CountedAt`.
  TimePoint CountedAt;
};

/// Urgent tasks of one service that wait, and their mean size.
class UrgentDemand {
public:
  void add(const Resources &Need, int64_t Tasks);
  int64_t tasks() const { return Count; }
  /// The mean need of one task.
  Resources need() const;

private:
  Resources Sum;
  int64_t Count = 0;
};

/// What stopping a run costs, the least first.
enum class PreemptionCost {
  NotEntitled, ///< Its team has submitted beyond its rate.
  Late,        ///< Its job ends after its objective in any case.
  InTime       ///< Its job has time left and ends in time all the same.
};

/// A run that may be stopped for urgent work.
struct PreemptibleRun {
  size_t Number = 0; ///< The caller's number of the run.
  Resources Need;
  PreemptionCost Cost = PreemptionCost::InTime;
  Duration Slack{0}; ///< Time that its job can spare.
};

/// An endpoint on which urgent tasks may start.
struct PreemptibleEndpoint {
  /// Room that is free or will be once runs that are stopping have ended.
  Resources Free;
  std::vector<PreemptibleRun> Runs;
};

/// Number of tasks of \p Need that fit into \p Room.
int64_t placesIn(const Resources &Room, const Resources &Need);

/// Chooses the runs to stop so that there is room for \p Places tasks of
/// \p Need, those that cost the least first. Returns their numbers, at most
/// \p Most. A run whose end would make no place is left alone.
std::vector<size_t> choosePreemptions(double Places, const Resources &Need,
                                      std::vector<PreemptibleEndpoint> Rooms,
                                      size_t Most);

/// True if a step of a job that is not urgent may wait for urgent work: its
/// job still ends in time, or ends too late in any case. \p Slack is the time
/// that the job can spare, \p Waited how long the step has waited.
bool mayHoldBack(Duration Slack, Duration Waited);

} // namespace teaselwalk::cell
