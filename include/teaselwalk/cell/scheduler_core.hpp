#pragma once

#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/owner.hpp"
#include "teaselwalk/cell/owner_election.hpp"
#include "teaselwalk/cell/process_registration.hpp"
#include "teaselwalk/cell/request_handler.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace teaselwalk::cell {

/// Client of the other entry processes.
class PeerCalls : public OwnerCalls {
public:
  virtual void job(const protocol::Address &To, const JobId &Id,
                   std::function<void(JobQueryResult)> Done) = 0;
  virtual void pending(const protocol::Address &To, const std::string &Queue,
                       std::function<void(PendingQueryResult)> Done) = 0;
};

/// The interfaces that a `SchedulerCore` works with. They must outlive it.
struct Dependencies {
  Executor &Clock;
  /// The same clock for the timers of what keeps the process registered and the
  /// ownership alive. They do not wait for a backlog of timers of `Clock`.
  Executor &ControlClock;
  /// For what keeps the process registered and the ownership alive.
  Store &Storage;
  Store &CallerStorage; ///< The same store for the requests of callers.
  EndpointCalls &Endpoints;
  Advisor &AdvisoryService;
  PeerCalls &Peers;
  Recorder &Log;
};

struct SchedulerCoreOptions {
  std::string ProcessId; ///< Process id, unique for every start of the process.
  std::string VmName;    ///< Name of the VM.
  protocol::Address PeerAddress; ///< Where other processes reach this one.
  double Cores = 1;              ///< CPU cores that this process may use.
  /// Wait before a claim of the ownership. Differs between processes, so that
  /// they do not all claim at once.
  Duration ClaimDelay{0};
  /// A revoked caller key is refused by all processes after this time.
  Duration KeyRevocation{5000};
  OwnerOptions Owner;
  std::string OperatorPrefix; ///< Key prefix of the operators' items.
  /// Applies a changed item to the desired state; throws `Error` if the item is
  /// malformed.
  std::function<void(const StoreItem &, DesiredState &)> ApplyOperatorItem;
  /// Called with each new configuration; may be empty.
  std::function<void(const Configuration &)> ConfigurationChanged;
  /// Decodes the body of a submission; throws if it is malformed.
  std::function<JobSpec(const std::string &Body)> DecodeSubmission;
};

/// The scheduler within one entry process. Every process answers callers and
/// takes part in the election of the owner; on the elected process the owner
/// also schedules all jobs. Not thread-safe: runs on one thread.
class SchedulerCore : private OwnerQueries {
public:
  SchedulerCore(const Dependencies &Deps, SchedulerCoreOptions Options);

  void start();

  void handle(const CallerRequest &Request, const AnswerCallback &Answer) {
    Handler.handle(Request, Answer);
  }

  /// True if this process can serve callers.
  bool isReady() const { return !IsStopping && Handler.isReady(); }
  bool isOwner() const { return LocalOwner != nullptr; }

  /// Gives up the ownership and reports the process as not ready. Requests that
  /// still arrive are answered.
  void stop();

  /// Answer the queries of other processes. `IsAnswered` is false if this
  /// process is not the owner or has not loaded the stored state yet.
  JobQueryResult localJob(const JobId &Id) const;
  PendingQueryResult localPending(const std::string &Queue) const;
  const std::string &processId() const { return Options.ProcessId; }
  OwnerHealth ownerHealth(const std::string &ProcessId) const {
    return Election.healthOf(ProcessId);
  }

private:
  void job(const JobId &Id, std::function<void(JobQueryResult)> Done) override;
  void pending(const std::string &Queue,
               std::function<void(PendingQueryResult)> Done) override;
  void onOperatorItem(const StoreItem &Item);
  void onProcessItem(const StoreItem &Item);
  void updateAdviceRoutes();
  void scheduleYield(Duration Delay);
  void yieldToLarger();
  void onElected(const EpochRecord &Held, int64_t Revision);

  Dependencies Deps;
  SchedulerCoreOptions Options;
  DesiredState Desired;
  StoreMirror OperatorMirror;
  ProcessRegistration Registration;
  /// Watches the other processes. Null unless this is the owner.
  std::unique_ptr<StoreMirror> ProcessMirror;
  std::map<std::string, ProcessRecord> OtherProcesses;
  OwnerElection Election;
  RequestHandler Handler;
  std::unique_ptr<Owner> LocalOwner;
  bool IsStopping = false;
  TimePoint OwnerSince;
  /// Time as owner before this process yields to one with more cores. Doubles
  /// with each yield.
  Duration YieldAfter;
  Lifetime Alive;
};

} // namespace teaselwalk::cell
