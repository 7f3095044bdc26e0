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

/// One task of a job as its owner sees it.
struct JobTask {
  protocol::TaskState State = protocol::TaskState::Queued;
  Verdict Outcome = Verdict::NotRun;
  /// Verdict on the attempts that have ended; part of the final verdict.
  Verdict Earlier = Verdict::NotRun;
  EndpointId Endpoint;     ///< Of the latest attempt.
  uint32_t Attempt = 0;    ///< Number of the latest attempt, 0 before it.
  uint32_t StartCount = 0; ///< Attempts so far.
  uint32_t Failures = 0;   ///< Attempts that failed or vanished.
  std::string Result;      ///< Of a finished or failed task.
};

/// An accepted job. Its record in the store was written before the caller was
/// told.
struct Job {
  JobId Id;
  TeamId Team;
  protocol::JobSpec Spec;
  protocol::StoreVersion Version = 0; ///< Of the record in the store.
  protocol::JobState State = protocol::JobState::Queued;
  std::string Reason; ///< Why it waits or how it ended, for people.
  std::vector<JobTask> Tasks;
  size_t Unfinished = 0; ///< Tasks that have not ended.

  /// Read after a takeover: the former owner may have started any task.
  bool Recovered = false;
  bool Restarting = false; ///< A gang that starts again once all have ended.
  bool Dirty = false;      ///< The record has to be written.
  bool Writing = false;
  TimePoint NextWrite;
  TimePoint EndedAt;
};

/// A job without a record yet; all tasks queued.
Job makeJob(JobId Id, TeamId Team, protocol::JobSpec Spec);

/// Builds `<data centre>.<shard>.<hash>`. The same team and request id give
/// the same hash, so a repeated submission names the same job.
JobId makeJobId(const protocol::ShardId &Home, const TeamId &Team,
                const RequestId &Request);

/// The hash of `makeJobId` alone: the store key of the claim that makes a
/// repeated submission find its first home.
std::string requestHash(const TeamId &Team, const RequestId &Request);

/// The shard that owns \p Id, or nothing if the id is malformed.
std::optional<protocol::ShardId> homeOf(const JobId &Id);

TaskId makeTaskId(const JobId &Id, uint32_t Index);

/// Task id of a quick call.
TaskId makeCallTaskId(const RequestId &Request, const ProcessId &Process,
                      uint64_t Sequence);

/// Job and index of \p Id; nothing for the task of a quick call.
struct TaskPlace {
  JobId Job;
  uint32_t Index = 0;
};
std::optional<TaskPlace> placeOf(const TaskId &Id);

protocol::JobStatus statusOf(const Job &Value);

/// True if the job will start nothing more.
bool isEnded(protocol::JobState State);

} // namespace teaselwalk::engine
