#pragma once

#include "teaselwalk/engine/job.hpp"

#include <string>
#include <vector>

/// Values and keys of the engine's records in the store.
namespace teaselwalk::engine {

/// `jobs/<data centre>/<shard>/`: prefix of the records of a shard's jobs.
std::string jobPrefix(const protocol::ShardId &Home);
std::string jobKey(const JobId &Id);

/// `done/<data centre>/<shard>/`: prefix of the batches of ended tasks.
std::string donePrefix(const protocol::ShardId &Home);

/// `requests/<hash>`: names the job that a request id has become.
std::string claimKey(const TeamId &Team, const RequestId &Request);

/// The record of a job: what is needed to run it again from nothing.
std::string encodeJob(const Job &Value);

/// Throws `Error` if \p Text is not a job record.
Job decodeJob(const std::string &Text, protocol::StoreVersion Version);

/// One ended task in a batch.
struct DoneTask {
  JobId Job;
  uint32_t Index = 0;
  bool Ok = false;
  Verdict Outcome = Verdict::Ran;
  EndpointId Endpoint;
  std::string Result;
};

/// Enters the end of a task.
void enter(JobTask &Row, const DoneTask &Ended);

std::string encodeDone(const std::vector<DoneTask> &Batch);

/// Throws `Error` if \p Text is not a batch.
std::vector<DoneTask> decodeDone(const std::string &Text);

} // namespace teaselwalk::engine
