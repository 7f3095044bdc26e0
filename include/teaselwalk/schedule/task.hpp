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

/// Scheduling as pure logic: which queued task starts on which endpoint, and
/// when. The module reads no clock and does no input or output.
namespace teaselwalk::schedule {

/// Priority class of a task. Urgent tasks of any team go first; the other
/// classes are served in the order of the values within a team.
enum class TaskClass { Urgent, Call, Service, Batch };

constexpr std::array<EnumName<TaskClass>, 4> TaskClassNames = {{
    {TaskClass::Urgent, "urgent"},
    {TaskClass::Call, "call"},
    {TaskClass::Service, "service"},
    {TaskClass::Batch, "batch"},
}};

constexpr size_t TaskClassCount = TaskClassNames.size();

/// Value of a limit that does not limit. Small enough that sums and
/// differences of several do not overflow.
constexpr int64_t Unlimited = INT64_MAX / 4;

/// What the tasks of one request have in common.
struct WorkSpec {
  JobId Job; ///< Empty for a quick call.
  TeamId Team;
  QueueId Queue;
  Resources Size;       ///< Declared size of one task; at least one slot.
  Duration RunTime{0};  ///< Declared run time; zero if unknown or unlimited.
  bool Urgent = false;  ///< Overrides the queue's class with Urgent.
  uint32_t Attempt = 1; ///< Attempt number, copied to the placement.
  std::optional<TimePoint> Deadline; ///< Not started at or after this time.
};

/// Result of an admission check. `Reason` is None if the work is admitted.
struct Admission {
  protocol::Refusal Reason = protocol::Refusal::None;
  std::string Message;    ///< Explanation for the caller; empty if admitted.
  Duration RetryAfter{0}; ///< Minimum wait before a retry; 0 if not given.

  explicit operator bool() const { return Reason == protocol::Refusal::None; }
};

/// A task to start on an endpoint. Its resources are already allocated there.
struct Placement {
  TaskId Task;
  uint32_t Attempt = 1;
  EndpointId Endpoint;
};

/// A task that an endpoint reports as running and that this scheduler did not
/// start, such as one that the previous owner of the endpoint started.
struct AdoptedTask {
  TaskId Task;
  uint32_t Attempt = 1;
  JobId Job;
  TeamId Team;
  EndpointId Endpoint;
  Resources Size;
  Resources Usage;
  TaskClass Class = TaskClass::Batch;
  Duration RunTime{0}; ///< Rest of the declared run time; zero if unknown.
};

/// Why a running task is preempted.
enum class ReclaimReason {
  Urgent,     ///< Urgent work needs the room.
  Share,      ///< A team below its share needs the room.
  Allowance,  ///< The task's team is above its allowance.
  Reservation ///< A backfilled task overran the start of the reservation.
};

constexpr std::array<EnumName<ReclaimReason>, 4> ReclaimReasonNames = {{
    {ReclaimReason::Urgent, "urgent"},
    {ReclaimReason::Share, "share"},
    {ReclaimReason::Allowance, "allowance"},
    {ReclaimReason::Reservation, "reservation"},
}};

/// One preemption command: checkpoint a running task, or stop it if the
/// checkpoint took too long. Its resources stay allocated until
/// `Scheduler::ended`.
struct ReclaimStep {
  TaskId Task;
  EndpointId Endpoint;
  protocol::StopMode Mode = protocol::StopMode::Checkpoint;
  ReclaimReason Reason = ReclaimReason::Share;
};

} // namespace teaselwalk::schedule
