#pragma once

#include "teaselwalk/cluster/membership.hpp"
#include "teaselwalk/config/describe.hpp"
#include "teaselwalk/engine/allowance_watcher.hpp"
#include "teaselwalk/engine/command_dispatcher.hpp"
#include "teaselwalk/engine/document_follower.hpp"
#include "teaselwalk/engine/options.hpp"
#include "teaselwalk/engine/shard_controller.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

/// The decision logic of one entry process. It has no socket, thread or clock,
/// so that tests run it in virtual time.
namespace teaselwalk::engine {

/// Turns events into actions. All calls must come from one thread, with a time
/// that never decreases.
///
/// ```cpp
/// Engine Core(Options, Now);
/// Actions Out;
/// Core.handle(CallReceived{Token, Call}, Now, Out);
/// for (Action &Step : Out) { ... }
/// ```
class Engine {
public:
  Engine(EngineOptions Options, TimePoint Now);

  void handle(const Event &Value, TimePoint Now, Actions &Out);

  const DataCentreId &dataCentre() const { return Options.DataCentre; }
  /// The configuration document in force and its head.
  const DocumentFollower &documents() const { return Follower; }
  /// Resources that each team uses on the shards of this process.
  config::RunningUsage running() const;

  /// True once a drain is complete: every caller has been answered and every
  /// shard was handed over or given up.
  bool isDrained(TimePoint Now) const;
  /// True if this process takes work: it is not draining, its document is
  /// fresh, and it has authority over a shard with an allowance.
  bool isReady(TimePoint Now) const;

  /// The heartbeat that this process sends to its peers at \p Now.
  protocol::Heartbeat heartbeat(TimePoint Now) const;

private:
  void on(const CallReceived &Event, TimePoint Now);
  void on(const JobReceived &Event, TimePoint Now);
  void on(const JobQuery &Event, TimePoint Now);
  void on(const JobCancel &Event, TimePoint Now);
  void on(const StatusQuery &Event, TimePoint Now);
  void on(const EndpointReplied &Event, TimePoint Now);
  void on(const StoreReplied &Event, TimePoint Now);
  void on(const VmListReceived &Event, TimePoint Now);
  void on(const HeartbeatReceived &Event, TimePoint Now);
  void on(const PeerCallReceived &Event, TimePoint Now);
  void on(const PeerCallAnswered &Event, TimePoint Now);
  void on(const PeerCallFailed &Event, TimePoint Now);
  void on(const ProposalReceived &Event, TimePoint Now);
  void on(const DrainRequested &Event, TimePoint Now);
  void on(const Tick &Event, TimePoint Now);

  // engine_calls.cpp
  void placeCall(OpenCall Call, TimePoint Now);
  bool forwardCall(OpenCall &Call, TimePoint Now);
  void failExpiredForwards(TimePoint Now);
  protocol::Refusal checkAccess(const std::string &Key, const QueueId &Queue,
                                TimePoint Now, TeamId &Team,
                                std::string &Message) const;
  ShardController *controllerWithMostRoom(TimePoint Now);

  // engine_jobs.cpp
  struct JobSubmission;
  void claimRequestId(const std::shared_ptr<JobSubmission> &Request);
  void writeJob(const std::shared_ptr<JobSubmission> &Request);
  void refuseJob(RequestToken From, const JobId &Id, protocol::Refusal Reason,
                 Verdict Outcome, std::string Message);
  /// Reads the record of a job of \p Team from the store.
  void
  readRecordedJob(const JobId &Id, const TeamId &Team,
                  std::function<void(protocol::Refusal, const Job &)> Then);
  void statusFromStore(const JobQuery &Event, const TeamId &Team);
  void cancelInStore(RequestToken From, const JobId &Id, const TeamId &Team);
  ShardController *localOwnerOf(const JobId &Id, TimePoint Now);

  void applyDocument(TimePoint Now);
  void assignVms(TimePoint Now);
  void updateOwnershipHints(TimePoint Now);
  void updateStartPermission(TimePoint Now);
  void sendHeartbeats(TimePoint Now);
  void onEcho(const protocol::Heartbeat &Beat, TimePoint Now);
  void advanceDrain(TimePoint Now);
  config::DataCentreState dataCentreState() const;

  EngineOptions Options;
  CommandDispatcher Commands;
  DocumentFollower Follower;
  cluster::Membership Members;
  AllowanceWatcher Allowances;
  std::map<uint32_t, std::unique_ptr<ShardController>> Controllers;
  std::vector<protocol::VmInfo> Vms;
  uint64_t AppliedRevision = 0;
  TimePoint NextVmList;
  TimePoint NextHeartbeat;
  bool IsDraining = false;
  bool IsReleasing = false;
  TimePoint ReleasedAt;      ///< When the hand-over of the shards began.
  size_t ForwardedCalls = 0; ///< Calls that wait for a peer's answer.
  std::multimap<TimePoint, CommandId> ForwardDeadlines;
  uint64_t RefusedRequests = 0; ///< Requests refused, for the status.
};

} // namespace teaselwalk::engine
