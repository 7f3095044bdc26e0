#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/caller.hpp"
#include "teaselwalk/protocol/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Pure decisions on which queued task goes to which endpoint, and when.
namespace teaselwalk::schedule {

/// Class of work. Urgent work of any team goes first; the others are served in
/// this order within a team.
enum class TaskClass { Urgent, Call, Service, Batch };

constexpr std::array<EnumName<TaskClass>, 4> TaskClassNames = {{
    {TaskClass::Urgent, "urgent"},
    {TaskClass::Call, "call"},
    {TaskClass::Service, "service"},
    {TaskClass::Batch, "batch"},
}};

constexpr size_t TaskClassCount = TaskClassNames.size();

/// A component of an allowance that is not limited. Small enough that sums and
/// differences do not overflow.
constexpr int64_t Unlimited = INT64_MAX / 4;

/// What the tasks of one request have in common.
struct WorkSpec {
  JobId Job; ///< Empty for a quick call.
  TeamId Team;
  QueueId Queue;
  Resources Size;       ///< Of one task; at least one slot is counted.
  Duration RunTime{0};  ///< Declared; zero when unknown or without end.
  bool Urgent = false;  ///< Raises the queue's class to Urgent.
  uint32_t Attempt = 1; ///< Copied to the placement.
  std::optional<TimePoint> Deadline; ///< Not started at or after this time.
};

/// Answer to an admission. `Reason` is None if the work was queued.
struct Admission {
  protocol::Refusal Reason = protocol::Refusal::None;
  std::string Message;    ///< For people; empty when admitted.
  Duration RetryAfter{0}; ///< When above 0, not sooner than that.

  explicit operator bool() const { return Reason == protocol::Refusal::None; }
};

/// A task to start. Its room is already reserved.
struct Placement {
  TaskId Task;
  uint32_t Attempt = 1;
  EndpointId Endpoint;
};

/// A running task that an endpoint reports.
struct AdoptedTask {
  TaskId Task;
  uint32_t Attempt = 1;
  JobId Job;
  TeamId Team;
  EndpointId Endpoint;
  Resources Size;
  Resources Usage;
  TaskClass Class = TaskClass::Batch;
  Duration RunTime{0}; ///< Declared time that is left; zero when unknown.
};

/// Why a running task is asked to end.
enum class ReclaimReason { Urgent, Share, Allowance, Reservation };

constexpr std::array<EnumName<ReclaimReason>, 4> ReclaimReasonNames = {{
    {ReclaimReason::Urgent, "urgent"},
    {ReclaimReason::Share, "share"},
    {ReclaimReason::Allowance, "allowance"},
    {ReclaimReason::Reservation, "reservation"},
}};

/// A running task to checkpoint, or to stop if the checkpoint took too long.
/// The room counts as taken until `Scheduler::ended`.
struct ReclaimStep {
  TaskId Task;
  EndpointId Endpoint;
  protocol::StopMode Mode = protocol::StopMode::Checkpoint;
  ReclaimReason Reason = ReclaimReason::Share;
};

} // namespace teaselwalk::schedule
