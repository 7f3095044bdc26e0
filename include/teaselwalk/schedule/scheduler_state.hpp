#pragma once

#include "teaselwalk/schedule/endpoint_table.hpp"
#include "teaselwalk/schedule/policy.hpp"
#include "teaselwalk/schedule/queue_set.hpp"
#include "teaselwalk/schedule/running_set.hpp"
#include "teaselwalk/schedule/task.hpp"
#include "teaselwalk/schedule/team_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::schedule {

/// Policy, limits and delays of a scheduler.
struct SchedulerOptions {
  Policy SchedulingPolicy = Policy::Fair;
  int64_t MaxQueuedPerTeam = 10000;
  int64_t MaxQueuedTotal = 50000;
  /// Tasks that one call of `decide` starts at most, to bound its run time. A
  /// gang may exceed it.
  size_t MaxStartsPerDecision = 64;
  /// Shapes of a team and class that one decision considers, oldest first.
  size_t MaxShapes = 48;
  /// Number of younger units of the same team and class that may start before
  /// a unit. After that, the unit is tried before all others of the class.
  uint32_t MaxOvertaken = 64;
  /// A single task that has waited for this long may take the reservation.
  Duration ReservationWait{30000};
  /// Wait of a unit after which its team, if below its share, takes room back
  /// from others by preemption.
  Duration ShareReclaimWait{10000};
  /// Room is taken only from teams that keep at least this multiple of the
  /// share that the receiving team will have. The margin keeps the normal ends
  /// of tasks from causing preemptions.
  double ShareMargin = 1.25;
  /// Time between the checkpoint and the stop command to a preempted task. As
  /// the stop itself takes up to 1 s, urgent work starts within 4.4 s.
  Duration CheckpointGrace{2000};
  /// A team gets a share hold, or keeps teams above the mean share waiting,
  /// only if its share is below the mean share by more than this fraction of
  /// it.
  double ShareBand = 0.01;
  /// Largest number of share holds at a time (see `Hold`).
  size_t MaxShareHolds = 8;
  /// Largest number of units at a time for which room is taken back by
  /// preemption.
  size_t MaxReclaims = 32;
  /// Longest delay between two attempts to place a gang that has no hold.
  Duration MaxGangRetryDelay{2000};
  Duration RetryAfter{1000}; ///< Sent with refusals due to full queues.
};

/// Places that a hold keeps free on one endpoint.
struct HeldPlace {
  EndpointTable::Index Endpoint = 0;
  int64_t Tasks = 0; ///< Number of tasks of the unit.
};

/// Room kept free for one queued unit until it starts. There are three kinds:
///
/// - the reservation, at most one at a time (`SchedulerState::Reserved`), for a
///   gang or for a task that has waited long. Other work may backfill its room
///   if the declared run time ends before `Start`. Backfilled work that runs
///   longer is preempted at `Start`, so it delays the unit by at most the time
///   of a preemption (`CheckpointGrace` plus the stop);
/// - share holds (`IsForShare`), for single tasks of teams below their share;
/// - holds for units for which running tasks are preempted (`IsReclaiming`).
struct Hold {
  UnitId Unit = 0;
  Resources Size; ///< Of one task.
  std::vector<HeldPlace> Places;
  TimePoint Start;           ///< When all places are expected to have room.
  bool IsReclaiming = false; ///< Running tasks are being preempted for it.
  bool IsForShare = false;   ///< Share hold.
  /// Index of the place that had no room at the latest check; checked first.
  size_t FailedPlace = 0;
};

/// Sizes that fit on no endpoint now, so that they need not be tried. Sizes
/// that are at least as large as another one in every component are left out.
struct UnplaceableSizes {
  std::vector<Resources> Sizes;
  /// Increases when a size may fit again. Never 0, the value that marks a team
  /// as not blocked (`TeamAccount::BlockedVersion`).
  uint64_t Version = 1;
};

/// All state of a scheduler; the functions of this module operate on it.
struct SchedulerState {
  SchedulerOptions Options;
  EndpointTable Endpoints;
  TeamTable Teams;
  QueueSet Queue;
  RunningSet Running;
  /// Class of the work in each queue of the callers.
  std::unordered_map<QueueId, TaskClass> QueueClasses;
  std::map<UnitId, Hold> Holds;
  /// The unit that has the reservation.
  std::optional<UnitId> Reserved;
  UnplaceableSizes Unplaceable;
  /// Upper bound, in each component, of the room for backfill on any place of
  /// the reservation.
  Resources BackfillRoom;
  /// Number of calls of `reclaim`, so that each starts with other teams below
  /// their share.
  size_t ReclaimCalls = 0;
  /// Running tasks that are being preempted, by the time when the next stop
  /// command is due.
  std::set<std::pair<TimePoint, TaskId>> PendingStops;
  /// `EndpointTable::capacityVersion` when the shares were last computed.
  uint64_t CapacityVersion = 0;
};

} // namespace teaselwalk::schedule
