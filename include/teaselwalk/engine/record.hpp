#pragma once

#include "teaselwalk/engine/job.hpp"

#include <string>
#include <vector>

/// Keys and values of the engine's records in the store.
namespace teaselwalk::engine {

/// Key prefix of the records of a shard's jobs, `jobs/<data centre>/<shard>/`.
std::string jobPrefix(const protocol::ShardId &Home);
/// Key of the record of a job.
std::string jobKey(const JobId &Id);

/// Key prefix of a shard's batches of ended tasks,
/// `done/<data centre>/<shard>/`.
std::string completionPrefix(const protocol::ShardId &Home);

/// Key of the claim of a request id, `requests/<hash>`. Its value is the id of
/// the job that the first submission with this request id created.
std::string requestClaimKey(const TeamId &Team, const RequestId &Request);

/// Encodes the record of a job, which holds all that a new owner needs to run
/// the job from the start.
std::string encodeJob(const Job &Value);

/// Throws `Error` if \p Text is not a job record.
Job decodeJob(const std::string &Text, protocol::StoreVersion Version);

/// A finished or failed task, as stored in a batch of ended tasks.
struct CompletedTask {
  JobId Job;
  uint32_t Index = 0;
  bool Ok = false;
  Verdict Outcome = Verdict::Ran;
  EndpointId Endpoint;
  std::string Result;
};

/// Copies the end of a task from its record.
void applyCompletion(JobTask &Row, const CompletedTask &Ended);

std::string encodeCompletions(const std::vector<CompletedTask> &Batch);

/// Throws `Error` if \p Text is not a batch.
std::vector<CompletedTask> decodeCompletions(const std::string &Text);

} // namespace teaselwalk::engine
