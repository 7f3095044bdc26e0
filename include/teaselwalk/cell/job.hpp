#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/// Scheduling of multi-step jobs on endpoints that check fencing tokens and run
/// tasks under leases. All durable state is in an external store.
namespace teaselwalk::cell {

/// Identifies a task. `Occurrence` is the number of the repetition, from 0; it
/// is 0 for a job without repetitions.
struct TaskKey {
  JobId Job;
  int32_t Occurrence = 0;
  int32_t Step = 0;
  int32_t Index = 0;

  friend bool operator==(const TaskKey &A, const TaskKey &B) {
    return A.Job == B.Job && A.Occurrence == B.Occurrence && A.Step == B.Step &&
           A.Index == B.Index;
  }
  friend bool operator<(const TaskKey &A, const TaskKey &B) {
    return std::tie(A.Job, A.Occurrence, A.Step, A.Index) <
           std::tie(B.Job, B.Occurrence, B.Step, B.Index);
  }
};

/// Occurrence, step and index of \p Key, as in `0.1.17`, for logs.
std::string textOf(const TaskKey &Key);

/// A number of identical tasks, which start once all tasks of the steps in
/// `After` have completed.
struct StepSpec {
  int32_t Tasks = 1;
  Resources Need;             ///< Resources of each task.
  Duration Estimate{0};       ///< Declared run time; may be far off.
  std::vector<int32_t> After; ///< Indices of earlier steps.
  std::string RequiredLabel;  ///< Empty: any endpoint.
  std::string DataRack;       ///< Rack that holds the data; empty: none.
  std::string Image;          ///< Tasks of one image behave alike.
  /// Anti-affinity: tasks on one endpoint; 0: no limit.
  int32_t MaxPerEndpoint = 0;
  /// Tasks of a service that may be down at a time; 0: no limit.
  int32_t MaxUnavailable = 0;
  /// Upper limit of the tail latency; 0: none. A task with such a limit is a
  /// serving task.
  Duration TailTarget{0};
  bool Checkpoints = false;   ///< Progress is saved and can be resumed.
  bool Gang = false;          ///< All tasks run together or not at all.
  bool OneRack = false;       ///< Slower when spread over racks.
  bool Speculative = false;   ///< Copies of a task may run side by side.
  bool Service = false;       ///< Runs until the job is cancelled.
  bool Opportunistic = false; ///< Uses CPU time that other tasks leave idle.
};

/// How the jobs of a queue are scheduled.
struct QueuePolicy {
  std::string Service;  ///< Name of the pool of endpoints.
  int32_t Priority = 0; ///< 0 is the most urgent.
  int32_t MaxAttempts = 1;
  /// A job should complete within its longest chain of estimates times
  /// `SlackFactor`, plus `Target`.
  double SlackFactor = 1;
  Duration Target{0};
  bool NeedsAdvice = false; ///< The advisory service must allow endpoints.
  /// Expected time of an advice request, without the part for its endpoints.
  Duration AdviceBase{0};
  double AdvicePerEndpointMs = 0; ///< Added for each endpoint in a request.
  Duration TicketValidity{0};
};

/// A job as a caller submitted it. Immutable once stored.
struct JobSpec {
  JobId Id;
  std::string Queue;
  std::string Team; ///< Empty: submitted without a key to a public queue.
  std::string Payload;
  std::vector<StepSpec> Steps;
  int32_t Repetitions = 0;  ///< 0: runs once, without a start time.
  int64_t FirstStartMs = 0; ///< Wall clock, ms since 1970-01-01 UTC.
  int64_t IntervalMs = 0;   ///< From the start of a repetition to the next.
  int64_t AcceptedMs = 0;   ///< Wall clock of the accepting process.
  QueuePolicy Policy;       ///< As configured when the job was accepted.

  int32_t occurrences() const { return Repetitions > 0 ? Repetitions : 1; }
  size_t tasksPerOccurrence() const;
};

enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };

/// Checks \p Job and throws `InvalidInput` with every mistake found.
void validate(const JobSpec &Job);

/// The steps of one occurrence of a job have at most this many tasks together;
/// the owner keeps the progress of each open one in memory.
constexpr size_t MaxTasksPerOccurrence = 64000;

/// For each step, the sum of the estimates on the longest chain of dependent
/// steps that begins with it.
std::vector<Duration> chainsFrom(const JobSpec &Job);

/// Sum of the estimates on the longest chain of dependent steps.
Duration longestChain(const JobSpec &Job);

/// Encodes \p Job for the store.
std::string encodeJob(const JobSpec &Job);

/// Decodes the output of `encodeJob`. Throws `Error` for anything else.
JobSpec decodeJob(const JobId &Id, const std::string &Text);

} // namespace teaselwalk::cell

namespace std {
template <> struct hash<teaselwalk::cell::TaskKey> {
  size_t operator()(const teaselwalk::cell::TaskKey &Key) const {
    size_t Mixed = static_cast<size_t>(Key.Occurrence) * 1000003U +
                   static_cast<size_t>(Key.Step) * 8191U +
                   static_cast<size_t>(Key.Index);
    return Key.Job.hash() ^ (Mixed * 0x9E3779B97F4A7C15ULL);
  }
};
} // namespace std
