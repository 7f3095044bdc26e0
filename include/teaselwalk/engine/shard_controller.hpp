#pragma once

#include "teaselwalk/cluster/shard_allowances.hpp"
#include "teaselwalk/cluster/shard_ownership.hpp"
#include "teaselwalk/cluster/takeover_guard.hpp"
#include "teaselwalk/config/describe.hpp"
#include "teaselwalk/config/document.hpp"
#include "teaselwalk/engine/active_task_table.hpp"
#include "teaselwalk/engine/command_dispatcher.hpp"
#include "teaselwalk/engine/completion_log.hpp"
#include "teaselwalk/engine/open_call.hpp"
#include "teaselwalk/engine/options.hpp"
#include "teaselwalk/schedule/scheduler.hpp"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace teaselwalk::engine {

/// State of one shard for `GET /v1/status`.
struct ShardStatus {
  protocol::ShardId Shard;
  cluster::OwnershipState State = cluster::OwnershipState::Idle;
  Epoch Owner;
  bool JobsLoaded = false;
  size_t Endpoints = 0;
  size_t Unreachable = 0;
  size_t Queued = 0;
  size_t Active = 0;
  size_t Jobs = 0;
  Resources Free;
};

/// One shard, as seen by this process: the ownership of its endpoints, its
/// scheduler, its jobs and the quick calls placed on it. Starts tasks only
/// while this process has authority over the shard.
class ShardController {
public:
  ShardController(protocol::ShardId Shard, const EngineOptions &Options,
                  CommandDispatcher &Commands);
  ShardController(const ShardController &) = delete;
  ShardController &operator=(const ShardController &) = delete;

  /// Applies a newer VM list: the endpoints of this shard, and the names of all
  /// entry VMs.
  void setVms(const std::vector<protocol::VmInfo> &Endpoints,
              const std::set<std::string> &EntryNames, TimePoint Now);
  void setDocument(const config::Document &Document, uint64_t Revision);
  /// The allowance record of \p Team has changed in the store.
  void onAllowanceRecord(const TeamId &Team,
                         const cluster::AllowanceRecord &Record,
                         protocol::StoreVersion Version, TimePoint Now);
  void setOwnershipHint(cluster::OwnershipHint Hint, TimePoint Now);
  /// Allows or forbids the start of tasks. It needs a fresh document and a data
  /// centre that takes work.
  void setStartsAllowed(bool Allowed) { StartsAllowed = Allowed; }
  void tick(TimePoint Now);

  bool hasAuthority(TimePoint Now) const { return Ownership.hasAuthority(Now); }
  /// True if at least one team has a usable allowance on this shard.
  bool hasAllowance() const;
  Resources room() const { return Scheduler.endpoints().totalRoom(); }

  /// Queues a call. Moves from \p Call only if the call is admitted.
  schedule::Admission admitCall(OpenCall &Call, TimePoint Now);
  /// Removes and returns a call that is still queued, to place it elsewhere.
  std::optional<OpenCall> withdrawCall(const TaskId &Task);
  /// The calls that have not been started.
  std::vector<TaskId> queuedCalls() const;
  const OpenCall *findCall(const TaskId &Task) const;
  size_t openCalls() const { return Calls.size(); }

  /// Whether a job with this specification could be admitted.
  schedule::Admission checkJob(const TeamId &Team,
                               const protocol::JobSpec &Spec) const;
  /// Adds a job whose record is in the store, and queues its tasks.
  void addJob(Job Value, TimePoint Now);
  const Job *findJob(const JobId &Id) const;
  /// Cancels a job of this shard. Calls \p Then with true once the cancellation
  /// is recorded in the store, or with false if the job is unknown or authority
  /// was lost first.
  void cancelJob(const JobId &Id, TimePoint Now,
                 std::function<void(bool)> Then);
  /// Stops all running tasks, because the data centre is out of service.
  void stopAll();

  /// Starts the hand-over to another process. It cannot be undone.
  void release(TimePoint Now);
  bool released() const { return Ownership.released(); }

  ShardStatus status(TimePoint Now) const;
  /// Adds the resources that each team uses on this shard to \p Sum.
  void addRunningUsage(config::RunningUsage &Sum) const;

private:
  /// How an attempt ended.
  enum class EndKind {
    Finished,     ///< Has a result, of success or failure.
    NeverStarted, ///< Certainly did not run.
    NoResult,     ///< May have run, and ended without a result.
    Preempted,    ///< Stopped or checkpointed by this process.
  };

  /// The result of a task whose job has not been read from the store yet.
  struct EarlyResult {
    protocol::AttemptId Id;
    JobTaskRef TaskRef;
    EndpointId Endpoint;
    bool Ok = false;
    std::string Text;
  };

  /// What an attach or renewal told the endpoint about its tasks.
  struct SentRenewal {
    TimePoint At;
    bool IsRenewal = false; ///< False for an attach, which extends no lease.
    /// The attempts on the endpoint when the message was sent.
    std::vector<protocol::AttemptId> Tasks;
    std::optional<uint64_t>
        AttemptsHash; ///< Set if it was sent instead of them.
  };

  // shard_controller.cpp
  void onAuthorityChange(bool Gained, TimePoint Now);
  void refreshEndpoints(TimePoint Now);
  /// Updates one endpoint in the scheduler. To update all of them at every
  /// answer would make the work grow with the square of the number of
  /// endpoints. The others follow at the next tick, and each start checks its
  /// endpoint again.
  void refreshEndpoint(const EndpointId &Endpoint, TimePoint Now);
  void sendOwnershipCommands(TimePoint Now);
  void sendOwnershipCommand(const cluster::OwnershipCommand &Command,
                            TimePoint Now);
  protocol::RenewCommand makeRenewal(const cluster::OwnershipCommand &Command,
                                     TimePoint Now) const;
  /// Records which tasks the endpoint listed, which decides whether the next
  /// renewal names the tasks or carries their hash.
  void recordTaskListing(const EndpointId &Endpoint, const SentRenewal &Sent,
                         const protocol::EndpointState &State, TimePoint Now);
  /// Records the tasks that an answer reports as running. Returns their ids.
  std::set<TaskId> recordRunningTasks(const EndpointId &Endpoint,
                                      const SentRenewal &Sent,
                                      const protocol::EndpointState &State,
                                      TimePoint Now);
  void onOwnershipReply(const cluster::OwnershipCommand &Command,
                        const SentRenewal &Sent, const EndpointReply &Reply,
                        TimePoint Now);
  void onState(const EndpointId &Endpoint, const SentRenewal &Sent,
               const protocol::EndpointState &State, TimePoint Now);
  void adopt(const EndpointId &Endpoint, const protocol::RunningTask &Task,
             TimePoint Now);
  void endExpiredLeases(TimePoint Now);
  void endAll(const EndpointId &Endpoint, const char *Why, TimePoint Now);
  void reclaim(TimePoint Now);

  // shard_controller_limits.cpp
  void removeTeam(const TeamId &Team);
  void openShardAllowances();
  void applyLimits();
  void updateAllowances(TimePoint Now);
  void applyAllowances(TimePoint Now);
  Resources usageOnUnknownEndpoints(TimePoint Now) const;

  // shard_controller_run.cpp
  void decide(TimePoint Now);
  void startTask(const schedule::Placement &Place, TimePoint Now);
  bool fillRunCommand(const TaskId &Task, protocol::RunCommand &Command,
                      TimePoint Now);
  void onRunReply(const protocol::AttemptId &Id, const EndpointReply &Reply,
                  TimePoint Now);
  void sendStop(const ActiveTask &Task, protocol::StopMode Mode);
  void endTasksOfRestartedEndpoint(const EndpointId &Endpoint,
                                   const protocol::StaleEpoch &Stale,
                                   TimePoint Now);
  void answerExpiredCall(const protocol::AttemptId &Id,
                         const EndpointId &Endpoint, TimePoint Now);
  void resolveUnknownAttempts(TimePoint Now);
  void onStopReply(const protocol::AttemptId &Id, const EndpointReply &Reply,
                   TimePoint Now);
  void endAttempt(const protocol::AttemptId &Id, EndKind Kind, bool Ok,
                  const std::string &Result, TimePoint Now);
  void endCall(const protocol::AttemptId &Id, const EndpointId &Endpoint,
               EndKind Kind, bool Ok, const std::string &Result, TimePoint Now);
  void requeueCall(const TaskId &Task, TimePoint Now);
  void answerCall(const TaskId &Task, protocol::CallAnswer Answer);
  void expireCalls(TimePoint Now);

  // shard_controller_jobs.cpp
  void endJobTask(const protocol::AttemptId &Id, const JobTaskRef &TaskRef,
                  const EndpointId &Endpoint, EndKind Kind, bool Ok,
                  const std::string &Result, TimePoint Now);
  void completeTask(Job &Value, uint32_t Index, bool Ok, Verdict Outcome,
                    const std::string &Result, const protocol::AttemptId &Id,
                    TimePoint Now);
  void requeueTask(Job &Value, uint32_t Index, TimePoint Now);
  void restartGang(Job &Value, TimePoint Now);
  void queueTasks(Job &Value, const std::vector<uint32_t> &Indices,
                  TimePoint Now);
  void endJobIfComplete(Job &Value, TimePoint Now);
  void cancelLocally(Job &Value, TimePoint Now);
  void writeJobs(TimePoint Now);
  void onJobWritten(const JobId &Id, const WriteResult &Result, TimePoint Now);
  void removeExpiredJobs(TimePoint Now);
  void reloadJobs(TimePoint Now);
  void onJobsListed(const protocol::StoreReply &Reply, bool AllEndpointsKnown,
                    TimePoint Now);
  void onCompletionsListed(const protocol::StoreReply &JobList,
                           const protocol::StoreReply &CompletionList,
                           bool AllEndpointsKnown, TimePoint Now);
  std::optional<Job> readJob(const protocol::StoreEntry &Entry);
  void applyCompletions(const protocol::StoreReply &CompletionList);
  /// Ends the tasks in `EarlyResults`.
  void applyEarlyResults(TimePoint Now);
  void resumeJob(Job &Value, bool AllEndpointsKnown, TimePoint Now);
  void stopOrphans();
  schedule::WorkSpec workSpec(const Job &Value) const;
  void logEvent(EventName Name,
                std::vector<std::pair<std::string, std::string>> Fields);

  protocol::ShardId Shard;
  const EngineOptions &Options;
  CommandDispatcher &Commands;
  cluster::ShardOwnership Ownership;
  cluster::TakeoverGuard Guard;
  schedule::Scheduler Scheduler;
  ActiveTaskTable ActiveTasks;
  std::set<TaskId> UnknownTasks; ///< Tasks whose attempt has the state Unknown.
  CompletionLog Completions;
  std::map<EndpointId, protocol::VmInfo> Vms;
  std::set<std::string> EntryVms;
  std::set<ProcessId> FormerOwners;
  std::map<EndpointId, Resources> Capacities;
  std::map<EndpointId, bool> ReportsLeaving;
  /// The attempts in the endpoint's last full answer, as a hash. A renewal for
  /// the same attempts carries the hash instead of their names.
  struct TaskListing {
    uint64_t AttemptsHash = 0;
    TimePoint At;
    /// The last message extended no lease, so the next renewal must name the
    /// tasks.
    bool MustNameTasks = true;
  };
  std::map<EndpointId, TaskListing> Listings;
  /// Endpoints that had no room for a task or were not reached. They get no
  /// tasks until they report their state again.
  std::set<EndpointId> FullEndpoints;
  /// Finished attempts to acknowledge with the next renewal, after which the
  /// endpoint drops their results.
  std::map<EndpointId, std::vector<protocol::AttemptId>> PendingAcks;
  std::unordered_map<TaskId, OpenCall> Calls;
  std::unordered_map<JobId, Job> Jobs;
  std::unordered_map<JobId, std::vector<std::function<void(bool)>>>
      CancelCallbacks;
  /// Set only while this process has authority.
  std::optional<cluster::ShardAllowances> Allowances;
  TimePoint NextAllowanceUpdate;
  /// Counts the ledgers so far. Store replies to an earlier ledger are dropped.
  uint64_t LedgerGeneration = 0;
  std::map<TeamId, config::Team> Teams;
  std::set<protocol::ShardId> AllShards;
  uint64_t Revision = 0; ///< Revision of the applied document.

  bool StartsAllowed = false;
  bool HadAuthority = false;
  bool Taking = false;        ///< Unused.
  bool HasLoadedJobs = false; ///< The shard's jobs were read from the store.
  /// Results that endpoints reported before the jobs were read.
  std::vector<EarlyResult> EarlyResults;
  /// The shard's jobs were read at a time when the tasks of every endpoint were
  /// known, so that a task found nowhere was certainly not running.
  bool HasLoadedAll = false;
  bool IsLoadingJobs = false; ///< A read of the jobs is in flight.
  /// Counts changes of authority. Store answers from before a change are
  /// dropped.
  uint64_t Generation = 0;
  TimePoint NextLoad;
  uint64_t CallSequence = 0;
};

} // namespace teaselwalk::engine
