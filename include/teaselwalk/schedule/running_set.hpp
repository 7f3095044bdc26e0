#pragma once

#include "teaselwalk/schedule/endpoint_table.hpp"
#include "teaselwalk/schedule/task.hpp"
#include "teaselwalk/schedule/team_table.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::schedule {

/// A task that has room on an endpoint.
struct RunningRecord {
  TaskId Task;
  JobId Job;
  TeamTable::Index Team = 0;
  EndpointTable::Index Endpoint = 0;
  TaskClass Class = TaskClass::Batch;
  Resources Size;    ///< Declared.
  Resources Charged; ///< The larger of declared size and usage.
  TimePoint Start;
  std::optional<TimePoint> End;    ///< Declared; nothing when unknown.
  bool Confirmed = false;          ///< The endpoint has started it.
  uint64_t Order = 0;              ///< Grows with every start.
  std::optional<TimePoint> StopAt; ///< Checkpointing; stopped at this time.
  bool Backfill = false;           ///< Runs inside the room of the reservation.
  ReclaimReason Reason = ReclaimReason::Share;
};

/// Running tasks by id, endpoint and team.
class RunningSet {
public:
  using Slot = uint32_t;

  /// Enter a task and number it.
  Slot insert(RunningRecord Value);
  RunningRecord take(Slot At);

  std::optional<Slot> find(const TaskId &Task) const;
  RunningRecord &at(Slot Which) { return Records[Which]; }
  const RunningRecord &at(Slot Which) const { return Records[Which]; }

  const std::vector<Slot> &on(EndpointTable::Index Endpoint) const;
  /// Tasks of a team, oldest start first.
  const std::set<std::pair<uint64_t, Slot>> &of(TeamTable::Index Team) const;
  std::vector<TaskId> tasksOf(const JobId &Job) const;
  size_t size() const { return Lookup.size(); }

private:
  std::vector<RunningRecord> Records;
  std::vector<Slot> FreeSlots;
  std::unordered_map<TaskId, Slot> Lookup;
  std::unordered_map<JobId, std::set<uint64_t>> Jobs;
  std::unordered_map<uint64_t, Slot> ByOrder;
  std::vector<std::vector<Slot>> Endpoints;
  std::vector<std::set<std::pair<uint64_t, Slot>>> Teams;
  uint64_t Next = 1;
};

} // namespace teaselwalk::schedule
