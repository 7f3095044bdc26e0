#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/caller.hpp"
#include "teaselwalk/protocol/peer.hpp"
#include "teaselwalk/protocol/store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselwalk::engine {

/// One task of a job, as known to the process that owns the job's shard.
struct JobTask {
  protocol::TaskState State = protocol::TaskState::Queued;
  Verdict Outcome = Verdict::NotRun;
  /// Verdict on the attempts that have ended. It is combined with that of the
  /// last attempt when the task ends.
  Verdict EarlierVerdict = Verdict::NotRun;
  EndpointId Endpoint;  ///< Endpoint of the latest attempt.
  uint32_t Attempt = 0; ///< Number of the latest attempt; 0 before the first.
  uint32_t StartCount = 0; ///< Attempts by this owner so far.
  uint32_t Failures = 0;   ///< Attempts that failed or ended without a result.
  std::string Result;      ///< Set when the task has finished or failed.
};

/// An accepted job. The caller is told of the acceptance only after the job's
/// record is in the store.
struct Job {
  JobId Id;
  TeamId Team;
  protocol::JobSpec Spec;
  protocol::StoreVersion Version = 0; ///< Version of the job's record.
  protocol::JobState State = protocol::JobState::Queued;
  std::string Reason; ///< Why the job waits or how it ended; for people.
  std::vector<JobTask> Tasks;
  size_t Unfinished = 0; ///< Tasks that have not ended.

  /// Read from the store after a takeover. The former owner may have started
  /// any of the tasks.
  bool Recovered = false;
  /// A gang whose tasks are being stopped. It starts again as a whole once all
  /// of them have ended.
  bool Restarting = false;
  bool Dirty = false;   ///< The record in the store is out of date.
  bool Writing = false; ///< A write of the record is in flight.
  TimePoint NextWrite;
  TimePoint EndedAt;
};

/// A new job, without a record in the store, whose tasks are all queued.
Job makeJob(JobId Id, TeamId Team, protocol::JobSpec Spec);

/// Builds the id `<data centre>.<shard>.<hash>`. The hash depends on the team
/// and the request id only, so a repeated submission gets the same id if it
/// goes to the same shard.
JobId makeJobId(const protocol::ShardId &Home, const TeamId &Team,
                const RequestId &Request);

/// The hash part of `makeJobId`. The store key of the request's claim contains
/// it, by which a repeated submission finds the shard of the first one.
std::string requestHash(const TeamId &Team, const RequestId &Request);

/// The shard that the job \p Id belongs to, or nothing if the id is malformed.
std::optional<protocol::ShardId> homeShardOf(const JobId &Id);

/// Builds the task id `<job>/<index>`.
TaskId makeTaskId(const JobId &Id, uint32_t Index);

/// Builds the task id of a quick call, `call/<request>/<process>-<sequence>`.
TaskId makeCallTaskId(const RequestId &Request, const ProcessId &Process,
                      uint64_t Sequence);

/// A task of a job, as encoded in its task id.
struct JobTaskRef {
  JobId Job;
  uint32_t Index = 0;
};
/// Decodes a task id. Nothing for the task of a quick call.
std::optional<JobTaskRef> jobTaskOf(const TaskId &Id);

protocol::JobStatus statusOf(const Job &Value);

/// True if the job is finished, failed or cancelled, and starts no more tasks.
bool isEnded(protocol::JobState State);

} // namespace teaselwalk::engine
