#pragma once

#include "teaselwalk/schedule/endpoint_table.hpp"
#include "teaselwalk/schedule/queue_set.hpp"
#include "teaselwalk/schedule/running_set.hpp"
#include "teaselwalk/schedule/strategy.hpp"
#include "teaselwalk/schedule/task.hpp"
#include "teaselwalk/schedule/team_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::schedule {

/// Bounds and times of the scheduler.
struct SchedulerOptions {
  Policy Which = Policy::Fair;
  int64_t MaxQueuedPerTeam = 10000;
  int64_t MaxQueuedPerProcess = 50000;
  /// One call of `decide` starts at most this many tasks (a gang may exceed
  /// it), which bounds its time.
  size_t MaxStartsPerDecision = 64;
  /// Lanes of a team and class that one decision looks at, oldest first.
  size_t MaxLanes = 48;
  /// So many younger units of its team and class may start before a unit. After
  /// that it is tried first whenever there is room.
  uint32_t MaxOvertaken = 64;
  /// A unit that has not fitted for so long may take the reservation.
  Duration AgeLimit{30000};
  /// A team below its share takes room back after a wait of this length.
  Duration ShareDelay{10000};
  /// It takes from teams that keep at least this multiple of its own share. The
  /// margin keeps the normal ends of tasks from causing reclaims.
  double ShareMargin = 1.25;
  /// From the checkpoint to the stop of a reclaimed task. With the stop itself
  /// taking up to 1 s, urgent work starts within 4.4 s.
  Duration CheckpointGrace{2000};
  /// A team is below (above) the level of all teams with queued work if its
  /// weighted share differs from it by more than this part.
  double ShareBand = 0.01;
  /// Places kept at a time for single tasks of teams below the level.
  size_t MaxShareHolds = 8;
  /// Room is taken back for at most this many units at a time.
  size_t MaxReclaims = 32;
  /// Largest delay between two tries of a gang without reservation.
  Duration MaxGangDelay{2000};
  Duration RetryAfter{1000}; ///< Sent with refusals for full queues.
};

/// Places kept for a unit on an endpoint.
struct HeldPlace {
  EndpointTable::Index Endpoint = 0;
  int64_t Tasks = 0;
};

/// Room kept free for one unit until it starts. Other work may use the room
/// only if its declared run time ends before `Start`. Work that then runs
/// longer is reclaimed at `Start`, so backfill delays the unit by at most the
/// time of a reclaim (`CheckpointGrace` plus the stop).
struct Hold {
  UnitId Unit = 0;
  Resources Size; ///< Of one task.
  std::vector<HeldPlace> Places;
  TimePoint Start;
  bool Reclaiming = false; ///< Running tasks are being stopped for it.
  bool ForShare = false;   ///< A single task of a team below its share.
  size_t Unsatisfied = 0;  ///< A place that had no room when last looked at.
};

/// Sizes that fit on no endpoint now, without those that are larger than
/// another one in every component.
struct FailedSizes {
  std::vector<Resources> Sizes;
  /// Grows when a size may fit again. Starts above the value that marks a team
  /// as not blocked.
  uint64_t Version = 1;
};

/// All state of a scheduler. The functions of the module work on it.
struct SchedulerState {
  SchedulerOptions Options;
  EndpointTable Endpoints;
  TeamTable Teams;
  QueueSet Queue;
  RunningSet Running;
  std::unordered_map<QueueId, TaskClass> Queues;
  std::map<UnitId, Hold> Holds;
  /// The unit that has the one reservation without reclaim.
  std::optional<UnitId> Reserved;
  FailedSizes Failed;
  /// Upper bound of the room for backfill on each place of the reservation.
  Resources BackfillRoom;
  /// Calls of `reclaim`, to start with another team each time.
  size_t ReclaimCalls = 0;
  /// Running tasks that were asked to end, by the time of the next stop.
  std::set<std::pair<TimePoint, TaskId>> Stops;
  uint64_t CapacityVersion = 0;
};

} // namespace teaselwalk::schedule
