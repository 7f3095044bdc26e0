#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::cell::testing {

/// What a task does when it runs.
struct FakeWork {
  Duration Length{1000};
  int FailFirst = 0;             ///< Number of runs that fail at their end.
  bool RunsUntilStopped = false; ///< Runs until it is stopped.
  bool CrashesEndpoint = false;  ///< Its start crashes the endpoint.
  std::string Checkpoint;        ///< Reported from its start; empty: none.
};

/// A run on an endpoint.
struct FakeRun {
  int64_t Attempt = 0;
  std::string Checkpoint;
  uint64_t Serial = 0;
  /// The start was sent to an earlier incarnation of the endpoint and arrived
  /// before the owner could raise the fencing token of the new one. No owner
  /// can prevent such a run, so it violates no invariant.
  bool IsUnfenced = false;
  int64_t LoadMetric = 0;
  int32_t CpuLimitPercent = 100;
  TimePoint StartedAt;
};

/// One endpoint.
struct FakeMachine {
  EndpointInfo Info;
  bool IsUp = true;
  bool IsPartitioned = false; ///< It runs on, but no message arrives.
  TimePoint StartedAt;
  int64_t ClockStartMs = 1; ///< What the clock showed then.
  int64_t IncarnationMs = 0;
  int64_t FencingToken = 0;
  int64_t NextEnd = 1;
  /// Ended runs up to this number were listed before the lease expired. The
  /// checks ignore an acknowledgement of these.
  int64_t ExpiredUpTo = 0;
  int64_t LeaseUntilMs = 0;
  std::map<TaskKey, FakeRun> Running;
  /// Highest attempt of each task that was stopped or has ended.
  std::map<TaskKey, int64_t> HighestEnded;
  std::vector<EndedRun> Ends;
  bool FailsAll = false; ///< Its runs all fail at their end.
  bool IsStuck = false;  ///< Its runs make no progress and do not end.
  /// What it said of its capacity earlier, and when that changed.
  std::vector<std::pair<TimePoint, Resources>> FormerCapacities;

  /// Room that a start may use: the capacity, and what has shrunk at \p Since
  /// or later.
  Resources roomSince(TimePoint Since) const {
    Resources Room = Info.Capacity;
    for (const auto &[ReplacedAt, Former] : FormerCapacities)
      for (int64_t Resources::*Field : ResourceFields)
        if (ReplacedAt >= Since)
          Room.*Field = std::max(Room.*Field, Former.*Field);
    return Room;
  }
};

} // namespace teaselwalk::cell::testing
