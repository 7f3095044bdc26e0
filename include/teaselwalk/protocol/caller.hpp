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

/// Messages of the callers' HTTP API: requests, answers and refusals.
namespace teaselwalk::protocol {

/// A quick call, `POST /v1/calls`: runs one short task and answers with its
/// result.
struct CallRequest {
  RequestId Request;
  std::string Key; ///< API key of the team, empty if the caller sent none.
  QueueId Queue;
  Resources Size;
  bool Idempotent = false;
  Duration Deadline{1000}; ///< Time limit for the answer, from arrival.
  std::string Payload;
};

enum class JobKind { Service, Batch, Gang };

constexpr std::array<EnumName<JobKind>, 3> JobKindNames = {{
    {JobKind::Service, "service"},
    {JobKind::Batch, "batch"},
    {JobKind::Gang, "gang"},
}};

/// The body of `POST /v1/jobs`: a job of `Tasks` tasks of the same size. A gang
/// starts all of its tasks or none. The tasks of a service run until the job is
/// cancelled.
struct JobSpec {
  std::string Name;
  JobKind Kind = JobKind::Batch;
  QueueId Queue;
  uint32_t Tasks = 1;
  Resources Size;      ///< Resources that each task needs.
  Duration RunTime{0}; ///< Declared run time of one task; zero for a service.
  bool Urgent = false; ///< Use class Urgent instead of the queue's class.
  bool Idempotent = true;
  std::string Payload;
};

struct JobRequest {
  RequestId Request;
  std::string Key;
  JobSpec Spec;
};

/// Upper bounds of the values in a caller's request. A request that exceeds one
/// is refused as `Refusal::BadRequest`, status 400.
struct CallerBounds {
  Resources MaxTask{1024000, 4194304, 64, 1, 64};
  Duration MaxDeadline{60000};
  Duration MaxRunTime{604800000}; ///< A week.
  uint32_t MaxTasks = 10000;
  size_t MaxPayloadBytes = 65536;
  size_t MaxNameBytes = 64;
};

/// Parses the body of a request. Throws `InvalidInput` that lists every invalid
/// field (at most 32): unknown fields, wrong types and values out of bounds
/// (the message names the bound and the unit). The request id and the key are
/// HTTP headers, so the caller of this function sets them.
CallRequest parseCall(const std::string &Body, const CallerBounds &Bounds);
JobSpec parseJob(const std::string &Body, const CallerBounds &Bounds);

/// JSON form of a job in the store. `from_json` expects a record that `to_json`
/// wrote and does not check its values against `CallerBounds`.
void to_json(nlohmann::json &Json, const JobSpec &Value);
void from_json(const nlohmann::json &Json, JobSpec &Value);

/// Why a request was refused, with the HTTP status of the answer.
enum class Refusal {
  None,
  BadRequest,       ///< 400: malformed body, unknown field or value out of
                    ///< bounds.
  UnknownKey,       ///< 401: the key is absent, unknown or withdrawn.
  Forbidden,        ///< 403: the key's team may not use the queue.
  NotFound,         ///< 404: no such queue or job.
  TooLarge,         ///< 422: too large ever to run; the message says why.
  Overloaded,       ///< 503: no capacity now, e.g. a bounded queue is full.
  StaleDocument,    ///< 503: the configuration document is not confirmed
                    ///< as current.
  DataCentreOut,    ///< 503: the data centre accepts no new work.
  StoreUnavailable, ///< 503: the store did not read or write the job.
  ShuttingDown,     ///< 503: this process is shutting down.
  DeadlinePassed,   ///< 504: no room or no answer before the deadline.
  EndpointFailed,   ///< 502: the task failed or its endpoint gave no result.
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

/// Answer to a `CallRequest`.
struct CallAnswer {
  RequestId Request;
  Verdict Outcome = Verdict::NotRun;
  Refusal Reason = Refusal::None;
  std::string Message; ///< Human-readable error; empty without a `Reason`.
  std::string Field;   ///< The invalid field of the request, if there is one.
  EndpointId Endpoint;
  std::string Result;
  Duration RetryAfter{0}; ///< Least wait before a retry; 0 gives no advice.
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
  uint32_t Attempt = 0; ///< Number of the latest attempt, 0 before the first.
  std::string Result;   ///< Set once the task has finished or failed.
};

struct JobStatus {
  JobId Job;
  JobState State = JobState::Queued;
  std::string Reason; ///< Human-readable: why the job waits or has failed.
  std::vector<TaskStatus> Tasks;
};

void to_json(nlohmann::json &Json, const JobStatus &Value);

} // namespace teaselwalk::protocol
