#pragma once

#include "teaselwalk/schedule/scheduler_state.hpp"
#include "teaselwalk/schedule/task.hpp"

#include <optional>
#include <vector>

namespace teaselwalk::schedule {

/// Decides which queued task starts on which endpoint, and which running tasks
/// are preempted. There is one scheduler for each shard. It reads no clock: the
/// caller passes `Now`, which must never go backwards.
///
/// ```cpp
/// Scheduler S;
/// S.setEndpoint({EndpointId("e1"), DataCentreId("d"), RackId("r"), Capacity});
/// S.setTeam(TeamId("blue"), {});
/// S.setQueue(QueueId("nightly"), TaskClass::Batch);
/// S.admit(TaskId("job/0"), Spec, Now);
/// std::vector<Placement> Starts;
/// S.decide(Now, Starts);
/// ```
class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options = {});

  /// Inserts or changes an endpoint, which includes closing and opening it.
  void setEndpoint(const SchedulableEndpoint &Info);
  /// Removes an endpoint. Its running tasks count as ended; returns their ids.
  std::vector<TaskId> removeEndpoint(const EndpointId &Id);
  const EndpointTable &endpoints() const { return State.Endpoints; }

  void setTeam(const TeamId &Team, const TeamSettings &Settings);
  /// Refuses new work of a team from now on and removes its queued tasks, which
  /// are returned. Its running tasks count until they end.
  std::vector<TaskId> removeTeam(const TeamId &Team);
  void setQueue(const QueueId &Queue, TaskClass Class);
  void removeQueue(const QueueId &Queue);

  /// Queues a task if it is admitted.
  Admission admit(const TaskId &Task, const WorkSpec &Spec, TimePoint Now);
  /// Queues the tasks of a gang, which start together or not at all.
  Admission admitGang(const std::vector<TaskId> &Tasks, const WorkSpec &Spec,
                      TimePoint Now);
  /// Whether \p Tasks tasks of this kind could be admitted, as a gang or one
  /// by one. Queues nothing.
  Admission checkAdmission(const WorkSpec &Spec, int64_t Tasks,
                           bool Gang) const;

  /// Removes a queued task, with its whole gang. Returns the removed tasks,
  /// none if it is not queued. Running tasks are not affected.
  std::vector<TaskId> cancel(const TaskId &Task);
  /// Removes all queued tasks of a job and returns them.
  std::vector<TaskId> cancelJob(const JobId &Job);
  /// Running tasks of a job, for the caller to stop.
  std::vector<TaskId> runningOf(const JobId &Job) const;

  /// Appends the tasks that start now. Returns true if the decision was cut
  /// short after `MaxStartsPerDecision` starts; the caller then calls again.
  bool decide(TimePoint Now, std::vector<Placement> &Out);

  /// Records that the endpoint has confirmed the start. Unknown ids are
  /// ignored.
  void started(const TaskId &Task, TimePoint Now);
  /// Records that the task certainly no longer runs, and releases its
  /// resources. Returns false for an unknown id.
  bool ended(const TaskId &Task);
  /// Counts a task that an endpoint reports as running, even if that exceeds
  /// the team's allowance. A queued task with this id leaves the queue, with
  /// its gang. Returns false if the task is already counted as running or the
  /// endpoint is unknown.
  bool adopt(const AdoptedTask &Task, TimePoint Now);
  /// Records the usage of a running task; replaces the previous report.
  /// Unknown ids are ignored.
  void reportUsage(const TaskId &Task, const Resources &Used);

  /// Removes and returns queued tasks whose deadline has passed.
  std::vector<TaskId> expire(TimePoint Now);
  /// The latest time for the next calls of `expire`, `decide` and `reclaim`;
  /// nothing if no time is known. While work is queued, `reclaim` and `decide`
  /// are also due every 250 ms and after every admission of urgent work.
  std::optional<TimePoint> nextDeadline() const;
  /// Preemption commands that make room for urgent work, for teams below their
  /// share and for a reservation that is due, and that enforce lowered
  /// allowances.
  std::vector<ReclaimStep> reclaim(TimePoint Now);

  bool isQueued(const TaskId &Task) const;
  bool isRunning(const TaskId &Task) const;
  std::optional<EndpointId> endpointOf(const TaskId &Task) const;
  int64_t queuedTasks() const { return State.Queue.taskCount(); }
  size_t runningTasks() const { return State.Running.size(); }
  /// Sum of the sizes of the queued tasks of \p Team. Summing stops once the
  /// result exceeds \p Cap in some component.
  Resources queuedDemand(const TeamId &Team, const Resources &Cap) const;
  /// The account of a team, or null if the team is unknown.
  const TeamAccount *team(const TeamId &Team) const;

private:
  SchedulerState State;
};

} // namespace teaselwalk::schedule
