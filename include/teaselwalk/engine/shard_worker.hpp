#pragma once

#include "teaselwalk/cluster/shard_allowances.hpp"
#include "teaselwalk/cluster/shard_ownership.hpp"
#include "teaselwalk/cluster/takeover_guard.hpp"
#include "teaselwalk/config/describe.hpp"
#include "teaselwalk/config/document.hpp"
#include "teaselwalk/engine/commands.hpp"
#include "teaselwalk/engine/done_log.hpp"
#include "teaselwalk/engine/open_call.hpp"
#include "teaselwalk/engine/options.hpp"
#include "teaselwalk/engine/task_ledger.hpp"
#include "teaselwalk/schedule/scheduler.hpp"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace teaselwalk::engine {

/// What a shard shows in the status.
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

/// One shard in this process: ownership of its endpoints, its queue, its jobs
/// and the quick calls that were given to it. Starts work only with authority.
class ShardWorker {
public:
  ShardWorker(protocol::ShardId Shard, const EngineOptions &Options,
              Commands &Out);
  ShardWorker(const ShardWorker &) = delete;
  ShardWorker &operator=(const ShardWorker &) = delete;

  /// The endpoints of this shard and the entry VMs by a newer VM list.
  void setVms(const std::vector<protocol::VmInfo> &Endpoints,
              const std::set<std::string> &EntryNames, TimePoint Now);
  void setDocument(const config::Document &Document, uint64_t Revision);
  /// A record `allowance/<team>` that has changed.
  void onAllowance(const TeamId &Team, const cluster::AllowanceRecord &Record,
                   protocol::StoreVersion Version, TimePoint Now);
  void setOwnershipHint(cluster::OwnershipHint Hint, TimePoint Now);
  /// Whether tasks may start: the document is confirmed and the data centre
  /// takes work.
  void setStartsAllowed(bool Allowed) { StartsAllowed = Allowed; }
  void tick(TimePoint Now);

  bool hasAuthority(TimePoint Now) const { return Owner.hasAuthority(Now); }
  /// True once a team's allowance was claimed, so that its calls can start.
  bool hasAllowance() const;
  Resources room() const { return Queue.endpoints().totalRoom(); }

  /// Queue a call. If it is refused, \p Call is unchanged.
  schedule::Admission admitCall(OpenCall &Call, TimePoint Now);
  /// Takes back a call that was not started, so that it can go elsewhere.
  std::optional<OpenCall> withdrawCall(const TaskId &Task);
  /// Calls in the queue, for forwarding.
  std::vector<TaskId> queuedCalls() const;
  const OpenCall *findCall(const TaskId &Task) const;
  size_t openCalls() const { return Calls.size(); }

  /// Whether a job of this form could be admitted.
  schedule::Admission checkJob(const TeamId &Team,
                               const protocol::JobSpec &Spec) const;
  /// Enter a job whose record is in the store.
  void addJob(Job Value, TimePoint Now);
  const Job *findJob(const JobId &Id) const;
  /// Cancel a job of this shard. \p Then is called with true once the record
  /// says so, or with false if ownership was lost before.
  void cancelJob(const JobId &Id, TimePoint Now,
                 std::function<void(bool)> Then);
  /// Stop all running tasks: the data centre is out.
  void stopAll();

  /// Graceful hand-over; final.
  void release(TimePoint Now);
  bool released() const { return Owner.released(); }

  ShardStatus status(TimePoint Now) const;
  /// Adds what the teams have running on this shard.
  void addRunning(config::RunningUsage &Sum) const;

private:
  /// How an attempt ended.
  enum class EndKind {
    Finished,     ///< With a result.
    NeverStarted, ///< Surely did not run.
    Vanished,     ///< Ran or may have run; ended without a result.
    Preempted,    ///< Stopped or checkpointed by this process.
  };

  /// What an attach or renewal said about the running tasks.
  struct SentRenewal {
    TimePoint At;
    bool IsRenewal = false; ///< Otherwise an attach, which extends no lease.
    std::vector<protocol::AttemptId> Tasks;
    std::optional<uint64_t> Digest; ///< In place of the names.
  };

  // shard_worker.cpp
  void onAuthorityChange(bool Gained, TimePoint Now);
  void refreshEndpoints(TimePoint Now);
  /// Of one endpoint only: all of them at every answer would make the work
  /// grow with the square of the endpoints. The others follow at the next tick,
  /// and a start checks its endpoint again.
  void refreshEndpoint(const EndpointId &Endpoint, TimePoint Now);
  void sendOwnership(TimePoint Now);
  void sendOwnershipCommand(const cluster::OwnershipCommand &Command,
                            TimePoint Now);
  protocol::RenewCommand makeRenewal(const cluster::OwnershipCommand &Command,
                                     TimePoint Now) const;
  /// Notes what an answer says about the running tasks, to choose between names
  /// and digest in the next renewal.
  void noteListing(const EndpointId &Endpoint, const SentRenewal &Sent,
                   const protocol::EndpointState &State, TimePoint Now);
  /// Enters the running tasks of an answer. Returns their ids.
  std::set<TaskId> enterTasks(const EndpointId &Endpoint,
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
  void endLostLeases(TimePoint Now);
  void endAll(const EndpointId &Endpoint, const char *Why, TimePoint Now);
  void reclaim(TimePoint Now);

  // shard_worker_limits.cpp
  void removeTeam(const TeamId &Team);
  void openLedger();
  void applyLimits();
  void moveAllowances(TimePoint Now);
  void applyAllowances(TimePoint Now);
  Resources unknownUse(TimePoint Now) const;

  // shard_worker_run.cpp
  void decide(TimePoint Now);
  void start(const schedule::Placement &Place, TimePoint Now);
  bool fillCommand(const TaskId &Task, protocol::RunCommand &Command,
                   TimePoint Now);
  void onRunReply(const protocol::AttemptId &Id, const EndpointReply &Reply,
                  TimePoint Now);
  void sendStop(const ActiveTask &Task, protocol::StopMode Mode);
  void endForgotten(const EndpointId &Endpoint,
                    const protocol::StaleEpoch &Stale, TimePoint Now);
  void answerLateCall(const protocol::AttemptId &Id, const EndpointId &Endpoint,
                      TimePoint Now);
  void resolveUnknown(TimePoint Now);
  void onStopReply(const protocol::AttemptId &Id, const EndpointReply &Reply,
                   TimePoint Now);
  void end(const protocol::AttemptId &Id, EndKind Kind, bool Ok,
           const std::string &Result, TimePoint Now);
  void endCall(const protocol::AttemptId &Id, const EndpointId &Endpoint,
               EndKind Kind, bool Ok, const std::string &Result, TimePoint Now);
  void requeueCall(const TaskId &Task, TimePoint Now);
  void answerCall(const TaskId &Task, protocol::CallAnswer Answer);
  void expireCalls(TimePoint Now);

  // shard_worker_jobs.cpp
  void endJobTask(const protocol::AttemptId &Id, const TaskPlace &Place,
                  const EndpointId &Endpoint, EndKind Kind, bool Ok,
                  const std::string &Result, TimePoint Now);
  void settleTask(Job &Value, uint32_t Index, bool Ok, Verdict Outcome,
                  const std::string &Result, const protocol::AttemptId &Id,
                  TimePoint Now);
  void requeueTask(Job &Value, uint32_t Index, TimePoint Now);
  void restartGang(Job &Value, TimePoint Now);
  void queueTasks(Job &Value, const std::vector<uint32_t> &Indices,
                  TimePoint Now);
  void checkEnd(Job &Value, TimePoint Now);
  void cancelLocally(Job &Value, TimePoint Now);
  void writeJobs(TimePoint Now);
  void onJobWritten(const JobId &Id, const WriteResult &Result, TimePoint Now);
  void retireJobs(TimePoint Now);
  void reload(TimePoint Now);
  void onJobsListed(const protocol::StoreReply &Reply, bool AllKnown,
                    TimePoint Now);
  void onDoneListed(const protocol::StoreReply &Jobs,
                    const protocol::StoreReply &Done, bool AllKnown,
                    TimePoint Now);
  std::optional<Job> readJob(const protocol::StoreEntry &Entry);
  void applyDone(const protocol::StoreReply &Done);
  void resumeJob(Job &Value, bool AllKnown, TimePoint Now);
  void stopOrphans();
  schedule::WorkSpec workSpec(const Job &Value) const;
  void record(EventName Name,
              std::vector<std::pair<std::string, std::string>> Fields);

  protocol::ShardId Shard;
  const EngineOptions &Options;
  Commands &Out;
  cluster::ShardOwnership Owner;
  cluster::TakeoverGuard Guard;
  schedule::Scheduler Queue;
  TaskLedger Ledger;
  std::set<TaskId> Unresolved; ///< Attempts whose state is Unknown.
  DoneLog Done;
  std::map<EndpointId, protocol::VmInfo> Vms;
  std::set<std::string> EntryVms;
  std::set<ProcessId> FormerOwners;
  std::map<EndpointId, Resources> Capacities;
  std::map<EndpointId, bool> SaysLeaving;
  /// Which attempts the endpoint listed last, and when. A renewal that stands
  /// for the same attempts carries their digest instead of their names.
  struct Listing {
    uint64_t Digest = 0;
    TimePoint At;
    bool NameTasks = true; ///< The next renewal must name the tasks.
  };
  std::map<EndpointId, Listing> Listings;
  /// Endpoints that answered "no room"; closed until their next state.
  std::set<EndpointId> Full;
  /// Results to acknowledge with the next renewal.
  std::map<EndpointId, std::vector<protocol::AttemptId>> Acks;
  std::unordered_map<TaskId, OpenCall> Calls;
  std::unordered_map<JobId, Job> Jobs;
  std::unordered_map<JobId, std::vector<std::function<void(bool)>>> Cancels;
  /// Only with authority.
  std::optional<cluster::ShardAllowances> Allowances;
  TimePoint NextMove;
  uint64_t Term = 0; ///< Of the ledger, to drop replies to an earlier one.
  std::map<TeamId, config::Team> Teams;
  std::set<protocol::ShardId> AllShards;
  uint64_t Revision = 0; ///< Of the document.

  bool StartsAllowed = false;
  bool HadAuthority = false;
  bool Taking = false;    ///< The guard follows a takeover.
  bool Loaded = false;    ///< Jobs of the shard were read from the store.
  bool LoadedAll = false; ///< And no endpoint was unknown at that time.
  bool Loading = false;
  uint64_t Generation = 0; ///< Of the ownership, to drop late list answers.
  TimePoint NextLoad;
  uint64_t CallSequence = 0;
};

} // namespace teaselwalk::engine
