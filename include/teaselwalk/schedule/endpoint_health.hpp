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

/// Bounds of the health rule.
struct HealthOptions {
  size_t Failures = 5;          ///< Consecutive, of distinct tasks.
  Duration FirstOut{10000};     ///< Out of use for so long, then doubling.
  Duration MaxOut{300000};      ///< Largest time out of use.
  size_t EndpointsForBlame = 3; ///< A job that failed on so many is at fault.
  size_t MaxJobs = 10000;       ///< Jobs remembered; the oldest are forgotten.
};

/// Whether an endpoint may receive work.
enum class HealthState {
  InUse,
  Out,   ///< Receives nothing.
  Trial, ///< Receives one task, whose result decides.
};

/// Takes endpoints out of use after consecutive failures.
///
/// A failure counts against the endpoint only if the task's job is not at
/// fault itself: a job that failed on several endpoints and succeeded on none
/// since is blamed, and its failures count nowhere. The failures of a single
/// job count only if that job has succeeded on another endpoint.
class EndpointHealth {
public:
  explicit EndpointHealth(HealthOptions Options = {}) : Options(Options) {}

  /// A task failed. \p Job may be empty; the task then stands for itself.
  void failed(const EndpointId &Endpoint, const TaskId &Task, const JobId &Job,
              TimePoint Now);
  void succeeded(const EndpointId &Endpoint, const TaskId &Task,
                 const JobId &Job);
  /// A trial task was sent; nothing more is sent until its result. If no
  /// result comes, another trial is due after the same time out of use.
  void trialStarted(const EndpointId &Endpoint, TimePoint Now);

  HealthState state(const EndpointId &Endpoint, TimePoint Now) const;
  /// The earliest time at which a trial is due.
  std::optional<TimePoint> nextTrial() const;
  void remove(const EndpointId &Endpoint);

private:
  struct Failure {
    TaskId Task;
    std::string Job;
  };
  struct Record {
    std::deque<Failure> Failures; ///< Since the last success.
    std::optional<TimePoint> OutUntil;
    Duration Out{0}; ///< Length of the latest time out of use.
    bool OnTrial = false;
  };
  struct JobRecord {
    std::set<EndpointId> FailedOn; ///< Since the latest success.
    bool Succeeded = false;
    uint64_t Age = 0;
  };

  JobRecord &jobRecord(const std::string &Job);
  bool isBlamed(const std::string &Job) const;
  bool isEvidence(const Record &Of) const;
  void takeOut(Record &Of, TimePoint Now) const;
  static std::string keyOf(const TaskId &Task, const JobId &Job);

  HealthOptions Options;
  std::unordered_map<EndpointId, Record> Endpoints;
  std::unordered_map<std::string, JobRecord> Jobs;
  std::map<uint64_t, std::string> JobsByAge;
  uint64_t NextAge = 1;
};

} // namespace teaselwalk::schedule
