#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/base/verdict.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Requests of callers and the answers to them.
namespace teaselwalk::protocol {

/// `POST /v1/calls`: run one short task and answer with its result.
struct CallRequest {
  RequestId Request;
  std::string Key; ///< Team key as shown by the caller, empty if none.
  QueueId Queue;
  Resources Size;
  bool Idempotent = false;
  Duration Deadline{1000}; ///< Counted from arrival.
  std::string Payload;
};

enum class JobKind { Service, Batch, Gang };

constexpr std::array<EnumName<JobKind>, 3> JobKindNames = {{
    {JobKind::Service, "service"},
    {JobKind::Batch, "batch"},
    {JobKind::Gang, "gang"},
}};

/// `POST /v1/jobs`: run `Tasks` tasks of one size. A gang starts with all of
/// its tasks or none. A service's tasks run until the job is cancelled.
struct JobSpec {
  std::string Name;
  JobKind Kind = JobKind::Batch;
  QueueId Queue;
  uint32_t Tasks = 1;
  Resources Size;      ///< Of one task.
  Duration RunTime{0}; ///< Declared run time of one task; zero for a service.
  bool Urgent = false;
  bool Idempotent = true;
  std::string Payload;
};

struct JobRequest {
  RequestId Request;
  std::string Key;
  JobSpec Spec;
};

/// Bounds of callers' input. Outside of them a request is answered 422.
struct CallerBounds {
  Resources MaxTask{1024000, 4194304, 64, 1, 64};
  Duration MaxDeadline{60000};
  Duration MaxRunTime{604800000}; ///< A week.
  uint32_t MaxTasks = 10000;
  size_t MaxPayloadBytes = 65536;
  size_t MaxNameBytes = 64;
};

/// Parse a request's body. Throw `InvalidInput` with every mistake: unknown
/// fields, wrong types, values out of bounds (the message names the bound and
/// the unit). Request id and key come from the headers.
CallRequest parseCall(const std::string &Body, const CallerBounds &Bounds);
JobSpec parseJob(const std::string &Body, const CallerBounds &Bounds);

/// For records in the store; `from_json` trusts its input.
void to_json(nlohmann::json &Json, const JobSpec &Value);
void from_json(const nlohmann::json &Json, JobSpec &Value);

/// Why a request was refused.
enum class Refusal {
  None,
  BadRequest,       ///< 400: malformed or unknown fields.
  UnknownKey,       ///< 401: no key, unknown key or withdrawn key.
  Forbidden,        ///< 403: the key's team may not use the queue.
  NotFound,         ///< 404: no such queue or job.
  TooLarge,         ///< 422: can never run; the message gives the reason.
  Overloaded,       ///< 503: a bounded queue is full.
  StaleDocument,    ///< 503: the configuration cannot be confirmed.
  DataCentreOut,    ///< 503: the data centre takes no new work.
  StoreUnavailable, ///< 503: a job cannot be recorded.
  ShuttingDown,     ///< 503: this process is stopping.
  DeadlinePassed,   ///< 504: no room or no answer before the deadline.
  EndpointFailed,   ///< 502: the endpoint failed the task.
};

/// HTTP status and name of each refusal.
struct RefusalRow {
  Refusal Value;
  std::string_view Name;
  int Status;
};

constexpr std::array<RefusalRow, 13> RefusalTable = {{
    {Refusal::None, "none", 200},
    {Refusal::BadRequest, "bad_request", 400},
    {Refusal::UnknownKey, "unknown_key", 401},
    {Refusal::Forbidden, "forbidden", 403},
    {Refusal::NotFound, "not_found", 404},
    {Refusal::TooLarge, "too_large", 422},
    {Refusal::Overloaded, "overloaded", 503},
    {Refusal::StaleDocument, "stale_document", 503},
    {Refusal::DataCentreOut, "data_centre_out", 503},
    {Refusal::StoreUnavailable, "store_unavailable", 503},
    {Refusal::ShuttingDown, "shutting_down", 503},
    {Refusal::DeadlinePassed, "deadline_passed", 504},
    {Refusal::EndpointFailed, "endpoint_failed", 502},
}};

/// The row of \p Value in `RefusalTable`.
const RefusalRow &rowOf(Refusal Value);

/// Answer to a call.
struct CallAnswer {
  RequestId Request;
  Verdict Outcome = Verdict::NotRun;
  Refusal Reason = Refusal::None;
  std::string Message; ///< For people; empty when the call ran.
  std::string Field;   ///< The offending field, if one.
  EndpointId Endpoint;
  std::string Result;
  Duration RetryAfter{0}; ///< When above 0, not sooner than that.
};

void to_json(nlohmann::json &Json, const CallAnswer &Value);

enum class TaskState { Queued, Starting, Running, Finished, Failed, Unknown };

constexpr std::array<EnumName<TaskState>, 6> TaskStateNames = {{
    {TaskState::Queued, "queued"},
    {TaskState::Starting, "starting"},
    {TaskState::Running, "running"},
    {TaskState::Finished, "finished"},
    {TaskState::Failed, "failed"},
    {TaskState::Unknown, "unknown"},
}};

enum class JobState { Queued, Running, Finished, Failed, Cancelled };

constexpr std::array<EnumName<JobState>, 5> JobStateNames = {{
    {JobState::Queued, "queued"},
    {JobState::Running, "running"},
    {JobState::Finished, "finished"},
    {JobState::Failed, "failed"},
    {JobState::Cancelled, "cancelled"},
}};

struct TaskStatus {
  uint32_t Index = 0;
  TaskState State = TaskState::Queued;
  Verdict Outcome = Verdict::NotRun;
  EndpointId Endpoint;
  uint32_t Attempt = 0; ///< Attempts so far.
  std::string Result;   ///< Of a finished or failed task.
};

struct JobStatus {
  JobId Job;
  JobState State = JobState::Queued;
  std::string Reason; ///< Why it waits or failed, for people.
  std::vector<TaskStatus> Tasks;
};

void to_json(nlohmann::json &Json, const JobStatus &Value);

} // namespace teaselwalk::protocol
