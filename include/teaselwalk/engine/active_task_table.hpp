#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/engine/job.hpp"
#include "teaselwalk/protocol/endpoint.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace teaselwalk::engine {

/// What is known about an attempt that was sent to an endpoint.
enum class ActiveState {
  Starting, ///< The run command has not been answered.
  Running,  ///< The endpoint reported the attempt as running.
  Unknown,  ///< The run command had no answer, so it may have started.
};

/// An attempt that may be running on an endpoint.
struct ActiveTask {
  protocol::AttemptId Id;
  EndpointId Endpoint;
  ActiveState State = ActiveState::Starting;
  TimePoint SentAt;                  ///< When the run command was sent.
  TimePoint ConfirmedAt;             ///< When the state became Running.
  std::optional<JobTaskRef> TaskRef; ///< Empty for a quick call.
  bool StopSent = false;             ///< A stop command is in flight.
  /// The endpoint was attached again after the run command was sent, so it may
  /// have restarted and lost its record of the attempt.
  bool MayHaveLostState = false;
};

/// The attempts of one shard that may be running, indexed by task, endpoint and
/// job. A task has at most one entry at any time.
class ActiveTaskTable {
public:
  /// Adds an attempt. Its task must not have an entry.
  ActiveTask &insert(ActiveTask Value);
  /// The entry of \p Task, or null.
  ActiveTask *find(const TaskId &Task);
  /// The entry of exactly this attempt; null if the task has none or another.
  ActiveTask *find(const protocol::AttemptId &Id);
  void erase(const TaskId &Task);

  /// The attempts on \p Endpoint, as a renewal names them.
  std::vector<protocol::AttemptId> attemptsOn(const EndpointId &Endpoint) const;
  std::vector<TaskId> tasksOn(const EndpointId &Endpoint) const;
  std::vector<TaskId> tasksOf(const JobId &Job) const;
  size_t size() const { return Tasks.size(); }

private:
  std::unordered_map<TaskId, ActiveTask> Tasks;
  std::unordered_map<EndpointId, std::set<TaskId>> Endpoints;
  std::unordered_map<JobId, std::set<TaskId>> Jobs;
};

} // namespace teaselwalk::engine
