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

/// A task that has resources allocated on an endpoint: it runs there, or its
/// start was decided.
struct RunningRecord {
  TaskId Task;
  JobId Job;
  TeamTable::Index Team = 0;
  EndpointTable::Index Endpoint = 0;
  TaskClass Class = TaskClass::Batch;
  Resources Size;    ///< Declared size.
  Resources Charged; ///< The larger of declared size and usage.
  TimePoint Start;   ///< Of the decision, then of the confirmed start.
  std::optional<TimePoint> End; ///< Declared end; nothing if unknown.
  bool IsConfirmed = false;     ///< The endpoint has confirmed the start.
  uint64_t StartNumber = 0;     ///< Sequence number of the start.
  /// Set while the task is being preempted: when the next stop command is due.
  std::optional<TimePoint> StopAt;
  bool IsBackfill = false; ///< Runs inside the room of the reservation.
  /// Why it is being preempted; meaningful only with `StopAt`.
  ReclaimReason Reason = ReclaimReason::Share;
};

/// Running tasks by id, endpoint and team.
class RunningSet {
public:
  using Index = uint32_t;

  /// Inserts a task and sets its `StartNumber`. The result is valid until
  /// `take`.
  Index insert(RunningRecord Value);
  /// Removes and returns a task.
  RunningRecord take(Index At);

  std::optional<Index> find(const TaskId &Task) const;
  RunningRecord &at(Index Which) { return Records[Which]; }
  const RunningRecord &at(Index Which) const { return Records[Which]; }

  const std::vector<Index> &onEndpoint(EndpointTable::Index Endpoint) const;
  /// Tasks of a team with their `StartNumber`, oldest start first.
  const std::set<std::pair<uint64_t, Index>> &
  ofTeam(TeamTable::Index Team) const;
  std::vector<TaskId> ofJob(const JobId &Job) const;
  size_t size() const { return Lookup.size(); }

private:
  std::vector<RunningRecord> Records;
  std::vector<Index> FreeIndices;
  std::unordered_map<TaskId, Index> Lookup;
  std::unordered_map<JobId, std::set<uint64_t>> Jobs;
  std::unordered_map<uint64_t, Index> ByStartNumber;
  std::vector<std::vector<Index>> Endpoints;
  std::vector<std::set<std::pair<uint64_t, Index>>> Teams;
  uint64_t NextStartNumber = 1;
};

} // namespace teaselwalk::schedule
