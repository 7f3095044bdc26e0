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
  Store &Source;
  Endpoints &Workers;
  Advisor &Service;
  PeerCalls &Peers;
  Recorder &Log;
};

struct SchedulerCoreOptions {
  std::string Process; ///< Process id, unique for every start of the process.
  std::string Name;    ///< Name of the VM.
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
  /// Decodes the body of a submission; throws if it is malformed.
  std::function<JobSpec(const std::string &Body)> DecodeSubmission;
};

/// The scheduler within one entry process. Every process answers callers and
/// takes part in the election of the owner; on the elected process the owner
/// also schedules all jobs. Not thread-safe: runs on one thread.
class SchedulerCore : private OwnerQueries {
public:
  SchedulerCore(const Dependencies &Around, SchedulerCoreOptions Options);

  void start();

  void handle(const CallerRequest &Request, const AnswerCallback &Answer) {
    Requests.handle(Request, Answer);
  }

  /// True if this process can serve callers.
  bool isReady() const { return !Stopping && Requests.isReady(); }
  bool isOwner() const { return Jobs != nullptr; }

  /// Gives up the ownership and reports the process as not ready. Requests that
  /// still arrive are answered.
  void stop();

  /// Answer the queries of other processes. `IsAnswered` is false if this
  /// process is not the owner or has not loaded the stored state yet.
  JobQueryResult jobHere(const JobId &Id) const;
  PendingQueryResult pendingHere(const std::string &Queue) const;
  const std::string &process() const { return Options.Process; }
  OwnerHealth healthHere(const std::string &Process) const {
    return Election.healthOf(Process);
  }

private:
  void job(const JobId &Id, std::function<void(JobQueryResult)> Done) override;
  void pending(const std::string &Queue,
               std::function<void(PendingQueryResult)> Done) override;
  void onInstruction(const StoreItem &Item);
  void onProcess(const StoreItem &Item);
  void updateLanes();
  void yieldLater(Duration Delay);
  void yieldToLarger();
  void gained(const EpochRecord &Held, int64_t Revision);

  Dependencies Around;
  SchedulerCoreOptions Options;
  DesiredState Current;
  StoreMirror Operators;
  ProcessRegistration Registration;
  std::unique_ptr<StoreMirror> Processes; ///< Null unless this is the owner.
  std::map<std::string, ProcessRecord> Peers;
  OwnerElection Election;
  RequestHandler Requests;
  std::unique_ptr<Owner> Jobs;
  bool Stopping = false;
  TimePoint OwnerSince;
  /// Time as owner before this process yields to one with more cores. Doubles
  /// with each yield.
  Duration YieldAfter;
  Lifetime Alive;
};

} // namespace teaselwalk::cell
