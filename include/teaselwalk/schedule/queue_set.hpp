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

/// Sequence number of a queued unit, in order of arrival.
using UnitId = uint64_t;

/// Queued work that is placed as a whole: one task, or all tasks of a gang.
struct Unit {
  UnitId Id = 0;
  std::vector<TaskId> Tasks;
  WorkSpec Spec;
  TaskClass Class = TaskClass::Batch;
  TeamTable::Index Team = 0;
  TimePoint Arrived;
  /// Number of younger units of the same team and class that started first.
  uint32_t Overtaken = 0;
  TimePoint RetryAt;      ///< Gangs only: no attempt to place it before.
  Duration RetryDelay{0}; ///< Gangs only: doubles with every failed attempt.

  bool isGang() const { return Tasks.size() > 1; }
  /// Declared size of all tasks together.
  Resources total() const;
};

/// The oldest unit of a shape, with the properties that decide whether it can
/// be placed.
struct ShapeHead {
  const std::set<UnitId> *Units = nullptr;
  Resources Size;
  Duration RunTime{0};
  bool IsGang = false;
};

/// Queued units of one team and class. Units of the same size and declared run
/// time form a shape, an equivalence class for placement: if its oldest unit
/// does not fit, none of the others does, so a decision tries only that one.
class ShapeQueue {
public:
  void insert(const Unit &Value);
  void erase(const Unit &Value);

  /// Heads of the shapes, oldest first.
  const std::map<UnitId, ShapeHead> &heads() const { return Heads; }

private:
  /// Size, declared run time and, for a gang, its id, since each gang has a
  /// shape of its own (0 for single tasks).
  using Key = std::tuple<Resources, Duration, UnitId>;
  struct KeyLess {
    bool operator()(const Key &A, const Key &B) const;
  };
  static Key keyOf(const Unit &Value);

  std::map<Key, std::set<UnitId>, KeyLess> Shapes;
  std::map<UnitId, ShapeHead> Heads;
};

/// All queued units, by id, task, job, team and class. Operations are O(log n)
/// in the number of units, apart from those that return all units of a job
/// (linear in these) or of a team (linear in all units).
class QueueSet {
public:
  /// Inserts a unit and returns the id that was assigned to it.
  UnitId insert(Unit Value);
  /// Removes and returns a unit, which must exist.
  Unit take(UnitId Id);

  /// The unit with this id, or null.
  Unit *find(UnitId Id);
  const Unit *find(UnitId Id) const;
  /// The unit that contains \p Task, or null.
  const Unit *findTask(const TaskId &Task) const;
  std::vector<UnitId> unitsOf(const JobId &Job) const;
  std::vector<UnitId> unitsOf(TeamTable::Index Team) const;

  const ShapeQueue &queueOf(TeamTable::Index Team, TaskClass Class) const;

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
  std::vector<std::array<ShapeQueue, TaskClassCount>> Teams;
  UnitId Next = 1;
};

} // namespace teaselwalk::schedule
