#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::schedule {

/// When an endpoint is ejected, and for how long.
struct HealthOptions {
  /// Consecutive failures, of distinct tasks, that eject an endpoint.
  size_t FailureThreshold = 5;
  Duration BaseEjectionTime{10000}; ///< First ejection time; doubles each time.
  Duration MaxEjectionTime{300000}; ///< Longest ejection time.
  /// A job that failed on this many endpoints is considered faulty itself.
  size_t EndpointsForFaultyJob = 3;
  size_t MaxJobs = 10000; ///< Jobs remembered; the oldest are forgotten.
};

/// Whether an endpoint may receive work. The states are those of a circuit
/// breaker: closed, open and half-open.
enum class HealthState {
  Healthy,
  Ejected,  ///< Receives no work.
  ProbeDue, ///< May receive one probe task, whose result decides.
};

/// Ejects endpoints after consecutive failures (outlier ejection).
///
/// A failure counts against the endpoint only if the task's job is not faulty
/// itself. A job that failed on several endpoints and has not succeeded since
/// is considered faulty, and its failures count against no endpoint. If all
/// failures of an endpoint come from one job, they count only if that job has
/// succeeded before.
class EndpointHealth {
public:
  explicit EndpointHealth(HealthOptions Options = {}) : Options(Options) {}

  /// Records a failed task. If \p Job is empty, the task is treated as a job
  /// of its own.
  void failed(const EndpointId &Endpoint, const TaskId &Task, const JobId &Job,
              TimePoint Now);
  void succeeded(const EndpointId &Endpoint, const TaskId &Task,
                 const JobId &Job);
  /// Records that the probe task was sent. The endpoint receives nothing more
  /// until its result; if none comes, the next probe is due after the same
  /// ejection time again.
  void probeStarted(const EndpointId &Endpoint, TimePoint Now);

  HealthState state(const EndpointId &Endpoint, TimePoint Now) const;
  /// The earliest time at which any endpoint is due for a probe.
  std::optional<TimePoint> nextProbe() const;
  void remove(const EndpointId &Endpoint);

private:
  struct Failure {
    TaskId Task;
    std::string Job;
  };
  struct Record {
    std::deque<Failure> Failures; ///< Since the last success.
    std::optional<TimePoint> EjectedUntil;
    Duration EjectionTime{0}; ///< Length of the latest ejection.
    bool IsProbing = false;
  };
  struct JobRecord {
    std::set<EndpointId> FailedOn; ///< Since the latest success.
    bool HasSucceeded = false;     ///< At least once, on any endpoint.
    uint64_t Sequence = 0;         ///< Sequence number of the record.
  };

  JobRecord &jobRecord(const std::string &Job);
  bool isFaultyJob(const std::string &Job) const;
  bool shouldEject(const Record &Of) const;
  void eject(Record &Of, TimePoint Now) const;
  static std::string keyOf(const TaskId &Task, const JobId &Job);

  HealthOptions Options;
  std::unordered_map<EndpointId, Record> Endpoints;
  std::unordered_map<std::string, JobRecord> Jobs;
  std::map<uint64_t, std::string> JobsBySequence;
  uint64_t NextSequence = 1;
};

} // namespace teaselwalk::schedule
