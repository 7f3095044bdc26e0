#pragma once

#include "teaselwalk/cell/front.hpp"
#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/owner.hpp"
#include "teaselwalk/cell/owner_election.hpp"
#include "teaselwalk/cell/presence.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace teaselwalk::cell {

/// Calls to another process of the system.
class PeerCalls : public OwnerCalls {
public:
  virtual void job(const protocol::Address &To, const JobId &Id,
                   std::function<void(JobQueryResult)> Done) = 0;
  virtual void pending(const protocol::Address &To, const std::string &Queue,
                       std::function<void(PendingQueryResult)> Done) = 0;
};

/// Everything outside that the decisions of a process need.
struct Dependencies {
  Executor &Clock;
  Store &Source;
  Endpoints &Workers;
  Advisor &Service;
  PeerCalls &Peers;
  Recorder &Log;
};

struct SchedulerCoreOptions {
  std::string Process; ///< New for every start of the process.
  std::string Name;    ///< Of the VM.
  protocol::Address PeerAddress;
  double Strength = 1;    ///< Processor cores that this process may use.
  Duration ClaimDelay{0}; ///< Spreads the competition for the ownership.
  Duration KeyRevocation{5000};
  OwnerOptions Owner;
  std::string OperatorPrefix; ///< Of the operators' items in the store.
  /// Puts an item into the instructions; throws `Error` if it cannot be read.
  std::function<void(const StoreItem &, DesiredState &)> ApplyOperatorItem;
  std::function<JobSpec(const std::string &Body)> DecodeSubmission;
};

/// All decisions of one process: front, leadership and, on one process, owner.
/// Single-threaded.
class SchedulerCore : private OwnerQueries {
public:
  SchedulerCore(const Dependencies &Around, SchedulerCoreOptions Options);

  void start();

  void handle(const CallerRequest &Request, const Reply &Answer) {
    Requests.handle(Request, Answer);
  }

  /// Ready to serve callers.
  bool isReady() const { return !Stopping && Requests.isReady(); }
  bool isOwner() const { return Jobs != nullptr; }

  /// Hands the ownership over and takes the process out of use. Requests are
  /// still answered.
  void stop();

  /// Questions of other processes. `IsAnswered` is false if this process is
  /// not the owner.
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
  void yieldToStronger();
  void gained(const EpochRecord &Held, int64_t Revision);

  Dependencies Around;
  SchedulerCoreOptions Options;
  DesiredState Current;
  StoreMirror Operators;
  Presence Self;
  std::unique_ptr<StoreMirror> Processes; ///< Only on the owner.
  std::map<std::string, PresenceRecord> Peers;
  OwnerElection Election;
  Front Requests;
  std::unique_ptr<Owner> Jobs;
  bool Stopping = false;
  TimePoint OwnerSince;
  Duration YieldAfter; ///< Of owning; doubles each time.
  Lifetime Alive;
};

} // namespace teaselwalk::cell
