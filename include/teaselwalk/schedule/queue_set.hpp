#pragma once

#include "teaselwalk/schedule/endpoint_table.hpp"
#include "teaselwalk/schedule/task.hpp"
#include "teaselwalk/schedule/team_table.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::schedule {

/// Number of a queued unit, in order of arrival.
using UnitId = uint64_t;

/// What is placed as a whole: one task, or all tasks of a gang.
struct Unit {
  UnitId Id = 0;
  std::vector<TaskId> Tasks;
  WorkSpec Spec;
  TaskClass Class = TaskClass::Batch;
  TeamTable::Index Team = 0;
  TimePoint Arrived;
  uint32_t Overtaken = 0; ///< Younger units of the class that went before.
  TimePoint NextTry;      ///< For gangs: not tried before.
  Duration TryDelay{0};   ///< For gangs: grows with every failed try.

  bool isGang() const { return Tasks.size() > 1; }
  Resources total() const;
};

/// The oldest unit of a lane, with what decides whether it can be placed.
struct LaneHead {
  const std::set<UnitId> *Lane = nullptr;
  Resources Size;
  Duration RunTime{0};
  bool Gang = false;
};

/// Units of one team and class. Units of the same size and declared
/// run time form a lane, so that one unit that does not fit answers for all.
class LaneQueue {
public:
  void insert(const Unit &Value);
  void erase(const Unit &Value);

  /// Heads of the lanes, oldest first.
  const std::map<UnitId, LaneHead> &heads() const { return Heads; }

private:
  /// Size, declared run time and, for gangs, which have a lane each, the unit.
  using Key = std::tuple<Resources, Duration, UnitId>;
  struct KeyLess {
    bool operator()(const Key &A, const Key &B) const;
  };
  static Key keyOf(const Unit &Value);

  std::map<Key, std::set<UnitId>, KeyLess> Lanes;
  std::map<UnitId, LaneHead> Heads;
};

/// All queued units. Every operation is O(log of the number of units).
class QueueSet {
public:
  /// Assigns the unit's id.
  UnitId insert(Unit Value);
  /// Remove a unit and return it.
  Unit take(UnitId Id);

  /// The unit of that id, or null.
  Unit *find(UnitId Id);
  const Unit *find(UnitId Id) const;
  /// The unit that holds \p Task, or null.
  const Unit *findTask(const TaskId &Task) const;
  /// Units of a job.
  std::vector<UnitId> unitsOf(const JobId &Job) const;
  std::vector<UnitId> unitsOf(TeamTable::Index Team) const;

  const LaneQueue &lanes(TeamTable::Index Team, TaskClass Class) const;

  /// All units in order of arrival.
  const std::map<UnitId, Unit> &units() const { return Units; }
  /// Gangs in order of arrival.
  const std::set<UnitId> &gangs() const { return Gangs; }
  /// Units with a deadline, earliest first.
  const std::set<std::pair<TimePoint, UnitId>> &deadlines() const {
    return Deadlines;
  }
  int64_t taskCount() const { return static_cast<int64_t>(Tasks.size()); }

private:
  std::map<UnitId, Unit> Units;
  std::unordered_map<TaskId, UnitId> Tasks;
  std::unordered_map<JobId, std::set<UnitId>> Jobs;
  std::set<UnitId> Gangs;
  std::set<std::pair<TimePoint, UnitId>> Deadlines;
  std::vector<std::array<LaneQueue, TaskClassCount>> Teams;
  UnitId Next = 1;
};

} // namespace teaselwalk::schedule
