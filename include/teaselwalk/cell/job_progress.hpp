#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/crash_suspects.hpp"
#include "teaselwalk/cell/decisions/step_run_times.hpp"
#include "teaselwalk/cell/job.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teaselwalk::cell {

enum class TaskPhase : uint8_t {
  Waiting,
  Assigned, ///< The endpoint is chosen; the run may start or have started.
  Running,  ///< An endpoint has listed the run or accepted the start.
  Done,
};

/// Progress of one task, as far as this owner knows.
struct TaskProgress {
  TaskPhase Phase = TaskPhase::Waiting;
  bool IsStartSent = false; ///< This owner has sent the start request.
  bool IsStopping = false;  ///< A stop request was sent.
  int32_t Failures = 0;     ///< Runs that ended by a failure.
  int32_t Preemptions = 0;  ///< Runs that this owner stopped for urgent work.
  /// Crashes of endpoints that a run of this task may have caused.
  int32_t Crashes = 0;
  /// Endpoints that are silent, of which a run may have caused the crash.
  std::vector<SuspectedCrash> SuspectedCrashes;
  int64_t Attempt = 0;           ///< Number of the latest run; 0: none.
  EndpointId AssignedTo;         ///< Endpoint of the latest run.
  std::string Checkpoint;        ///< Latest that is known; empty: none.
  int64_t AssignmentVersion = 0; ///< First record version with the assignment.
  /// Fencing token of the start request; 0: a former owner has sent it.
  int64_t StartToken = 0;
  /// The endpoint's incarnation when the task was assigned to it; 0: unknown.
  int64_t IncarnationMs = 0;
  /// That incarnation has listed the run or answered its start. If false, the
  /// start may have reached another one.
  bool IsIncarnationProven = false;
  /// When the task was assigned, that incarnation may have had a longer lease
  /// than the owner had asked for.
  bool MayHaveLongLease = false;
  /// Latest attempt in which a crash was counted or suspected.
  int64_t CrashedAttempt = 0;
  TimePoint AssignedAt;
  /// When the endpoint accepted the start request or first listed the run.
  TimePoint StartConfirmedAt;
  TimePoint StopSentAt;
  TimePoint NotBefore; ///< Set by a refused start: no new run earlier.
  /// Share of its processors that the task may use, percent.
  int32_t CpuLimitPercent = 100;
  int32_t ProgressPercent = 0; ///< Progress that the endpoint last reported.
  int64_t LoadMetric = 0;      ///< As in `ActiveRun`.
  TimePoint ObservedSince;     ///< When the run was first listed.
  int32_t FirstProgressPercent = 0; ///< Progress at that time.

  /// True if a run may have crashed an endpoint, so that the next one starts in
  /// isolation.
  bool isSuspected() const { return Crashes > 0 || !SuspectedCrashes.empty(); }
  /// True if no run may start until a suspicion is settled.
  bool mustAwaitVerdict() const {
    return !SuspectedCrashes.empty() && hasTooManyCrashes(TimePoint::max());
  }
  /// True if the task would be given up if all crashes that were suspected
  /// before \p Limit were confirmed.
  bool hasTooManyCrashes(TimePoint Limit) const;
  SuspectedCrash *suspectedCrash(const EndpointId &Endpoint);
};

/// Progress of one step of one occurrence.
struct StepProgress {
  std::vector<TaskProgress> Tasks;
  int32_t Done = 0;
  int32_t Waiting = 0;
  TimePoint WaitingSince; ///< When it was last added to the backlog.
  TimePoint ReservedAt;   ///< When room was last sought for `restarting`.
  /// Latest attempt for which a failure was counted. A gang counts one for
  /// each attempt.
  int64_t FailedAttempt = 0;
  StepRunTimes RunTimes;

  /// Number of waiting tasks that may have run before.
  int32_t restarting() const;
};

/// Progress of one occurrence: a repetition of a job, or its only run.
struct OccurrenceProgress {
  int32_t StepsDone = 0;
  int32_t ReservedTasks = 0; ///< Tasks that hold room on an endpoint.
  std::vector<StepProgress> Steps;
};

/// A job and its progress. The methods keep the counters consistent; the
/// scheduling decisions are made in `Owner`. Only open occurrences are kept: a
/// schedule may have thousands of repetitions, and its record has to fit into
/// one value of the store.
class JobProgress {
public:
  explicit JobProgress(JobSpec Given);

  const JobSpec Spec;
  JobPhase Status = JobPhase::Queued;
  /// Status that the store holds; callers are told this one.
  JobPhase StoredStatus = JobPhase::Queued;
  int64_t EndedMs = 0;    ///< Wall clock; 0: has not ended.
  bool IsStarted = false; ///< An endpoint has started a task of the job.
  int64_t Version = 0;    ///< Rises with each change that must be stored.
  int64_t StoredVersion = 0;
  /// Version of the stored record under the key of the job, outside of
  /// bundles; 0: none.
  int64_t SeparateVersion = 0;
  TimePoint AcceptedAt;
  TimePoint Objective; ///< Latest completion that is on time.
  /// Declared time of each step and of those that depend on it.
  const std::vector<Duration> ChainFrom;
  int32_t ReservedTasks = 0; ///< Tasks that hold room on an endpoint.
  /// The starts of isolated tasks will be tried again.
  bool IsStartPostponed = false;
  /// Submitted beyond the rate that its team is entitled to.
  bool IsOverRate = false;
  /// Data centre in which the tasks are kept together; empty: none yet.
  std::string HomeDataCentre;
  /// The open occurrences: they were due and have not ended.
  std::map<int32_t, OccurrenceProgress> Occurrences;
  /// The next occurrence to open. Earlier ones that are not open have ended.
  int32_t NextOccurrence = 0;
  bool AreAllDue = false; ///< The last occurrence was due when last checked.
  /// The store has rejected the record as invalid and holds an older one.
  bool IsRecordRejected = false;
  /// False: the record leaves out checkpoints, with which it is too large.
  bool StoresCheckpoints = true;
  /// No task is placed earlier; set when the record was rejected.
  TimePoint SetAsideUntil;

  bool isEnded() const { return EndedMs != 0; }
  /// From then on the result of the job has no value.
  TimePoint worthlessAt() const {
    return Objective + (Objective - AcceptedAt) * (WorthlessFactor - 1);
  }
  TaskProgress *find(const TaskKey &Key);
  const StepSpec &stepOf(const TaskKey &Key) const {
    return Spec.Steps[static_cast<size_t>(Key.Step)];
  }
  StepProgress &stateOf(const TaskKey &Key);
  const StepProgress &stateOf(const TaskKey &Key) const;

  /// When occurrence \p Number is due, wall clock in ms.
  int64_t dueMs(int32_t Number) const {
    return Spec.FirstStartMs + int64_t(Number) * Spec.IntervalMs;
  }
  /// Opens the occurrences that are due at \p WallMs, as long as the job has
  /// few open tasks.
  void openDue(int64_t WallMs);
  /// Drops the repetitions that have ended and hold no room; returns their
  /// numbers.
  std::vector<int32_t> closeEnded();

  /// True if all tasks of the steps in `After` of \p Step are done.
  bool isReady(const OccurrenceProgress &Occurrence, size_t Step) const;
  bool allDone() const;
  /// True if a start request may have been sent. Unlike `IsStarted`, the stored
  /// record always shows it.
  bool mayHaveStarted() const;

  void assign(StepProgress &Step, TaskProgress &Task,
              const EndpointId &AssignedTo, int64_t Attempt);
  void release(StepProgress &Step, TaskProgress &Task);
  void complete(OccurrenceProgress &Occurrence, size_t Step,
                TaskProgress &Task);

  /// The record of the progress for the store.
  std::string encode() const;
  /// Restores the output of `encode`. Throws `Error` for anything else.
  void restore(const std::string &Text);
  /// The version in the output of `encode`; 0 for anything else.
  static int64_t versionOf(const std::string &Text);

private:
  /// The result has no value once the job has taken this multiple of the time
  /// from its acceptance to its objective.
  static constexpr int64_t WorthlessFactor = 3;

  void open(int32_t Number);
  void recount(OccurrenceProgress &Occurrence);
};

} // namespace teaselwalk::cell
