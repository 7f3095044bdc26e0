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

enum class ActiveState {
  Starting, ///< The run command is on its way.
  Running,  ///< The endpoint has confirmed it.
  Unknown,  ///< The answer to the run command was lost.
};

/// An attempt that may be running on an endpoint.
struct ActiveTask {
  protocol::AttemptId Id;
  EndpointId Endpoint;
  ActiveState State = ActiveState::Starting;
  TimePoint SentAt;               ///< When the run command was sent.
  TimePoint ConfirmedAt;          ///< When it became Running.
  std::optional<TaskPlace> Place; ///< Nothing for the task of a quick call.
  bool StopSent = false;          ///< A stop command is on its way.
  /// The endpoint was attached again after the run command was sent. It may
  /// have restarted in between and forgotten the attempt.
  bool MayBeForgotten = false;
};

/// The attempts of one shard by task and by endpoint. A task has at most one
/// attempt here at any time.
class TaskLedger {
public:
  /// Enter an attempt. Its task must not be present.
  ActiveTask &insert(ActiveTask Value);
  ActiveTask *find(const TaskId &Task);
  /// The entry of exactly this attempt, or null.
  ActiveTask *find(const protocol::AttemptId &Id);
  void erase(const TaskId &Task);

  /// Attempts on \p Endpoint, for a renewal.
  std::vector<protocol::AttemptId> on(const EndpointId &Endpoint) const;
  std::vector<TaskId> tasksOn(const EndpointId &Endpoint) const;
  std::vector<TaskId> tasksOf(const JobId &Job) const;
  size_t size() const { return Tasks.size(); }

private:
  std::unordered_map<TaskId, ActiveTask> Tasks;
  std::unordered_map<EndpointId, std::set<TaskId>> Endpoints;
  std::unordered_map<JobId, std::set<TaskId>> Jobs;
};

} // namespace teaselwalk::engine
