#pragma once

#include "teaselwalk/schedule/scheduler_state.hpp"
#include "teaselwalk/schedule/task.hpp"

#include <optional>
#include <vector>

namespace teaselwalk::schedule {

/// Decides which queued task starts on which endpoint, and which running task
/// has to give its room back. Holds no clock: `Now` never goes backwards.
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

  /// Insert or change an endpoint, also to close or open it.
  void setEndpoint(const SchedulableEndpoint &Info);
  /// Forget an endpoint. Its tasks count as ended; their ids are returned.
  std::vector<TaskId> removeEndpoint(const EndpointId &Id);
  const EndpointTable &endpoints() const { return State.Endpoints; }

  void setTeam(const TeamId &Team, const TeamSettings &Settings);
  /// Refuse new work of a team and drop its queued tasks, which are returned.
  /// Running tasks still count until they end.
  std::vector<TaskId> removeTeam(const TeamId &Team);
  void setQueue(const QueueId &Queue, TaskClass Class);
  void removeQueue(const QueueId &Queue);

  /// Queue a task.
  Admission admit(const TaskId &Task, const WorkSpec &Spec, TimePoint Now);
  /// Queue tasks that start together or not at all.
  Admission admitGang(const std::vector<TaskId> &Tasks, const WorkSpec &Spec,
                      TimePoint Now);
  /// Whether a request of this form could be admitted, without queueing it.
  Admission checkAdmission(const WorkSpec &Spec, int64_t Tasks,
                           bool Gang) const;

  /// Remove a queued task, with its whole gang. Returns the removed tasks;
  /// empty if it is not queued. Running tasks end through `ended`.
  std::vector<TaskId> cancel(const TaskId &Task);
  /// Remove all queued tasks of a job and return them.
  std::vector<TaskId> cancelJob(const JobId &Job);
  /// Running tasks of a job, for the caller to stop.
  std::vector<TaskId> runningOf(const JobId &Job) const;

  /// Append the tasks that start now. Returns true if the batch limit cut the
  /// decision short; the caller then calls again.
  bool decide(TimePoint Now, std::vector<Placement> &Out);

  /// The endpoint has confirmed the start. Unknown ids are ignored.
  void started(const TaskId &Task, TimePoint Now);
  /// The task surely runs no more. Returns false for an unknown id.
  bool ended(const TaskId &Task);
  /// Count a task that an endpoint reports as running, also above the
  /// allowance. Returns false if it is already counted. A queued task of this
  /// id leaves the queue.
  bool adopt(const AdoptedTask &Task, TimePoint Now);
  /// Usage reported for a running task, in place of the previous report.
  void usage(const TaskId &Task, const Resources &Used);

  /// Remove and return queued tasks whose deadline has passed.
  std::vector<TaskId> expire(TimePoint Now);
  /// When to call `expire`, `decide` and `reclaim` again at the latest. While
  /// work is queued, `reclaim` and `decide` are also due every 250 ms and after
  /// every admission of urgent work.
  std::optional<TimePoint> nextDeadline() const;
  /// Tasks to checkpoint or stop so that urgent work, teams below their share,
  /// due reservations and lowered allowances get their room.
  std::vector<ReclaimStep> reclaim(TimePoint Now);

  bool isQueued(const TaskId &Task) const;
  bool isRunning(const TaskId &Task) const;
  std::optional<EndpointId> endpointOf(const TaskId &Task) const;
  int64_t queuedTasks() const { return State.Queue.taskCount(); }
  size_t runningTasks() const { return State.Running.size(); }
  /// Size of the queued tasks of \p Team, counted no further than \p Cap.
  Resources queuedDemand(const TeamId &Team, const Resources &Cap) const;
  /// The account of a team, or null.
  const TeamAccount *team(const TeamId &Team) const;

private:
  SchedulerState State;
};

} // namespace teaselwalk::schedule
