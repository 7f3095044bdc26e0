#pragma once

#include "teaselwalk/cluster/ownership.hpp"

#include <map>
#include <random>
#include <set>

namespace teaselwalk::cluster {

struct ShardOwnershipOptions {
  /// How long a confirmation of the epoch by an endpoint counts for authority,
  /// from the time at which the confirmed command was sent (`authority_ms`).
  Duration Authority{5000};
  Duration RenewInterval{1000}; ///< Between renewals to one endpoint.
  Duration ProbeInterval{2000}; ///< Between probes of an unreachable endpoint.
  /// Time without an answer after which an endpoint counts as unreachable and
  /// its tasks are no longer renewed.
  Duration UnreachableAfter{10000};
  Duration TaskLease{30000}; ///< Lease that a renewal gives to tasks.
  /// Time limit of the client for a command. If its outcome is not reported
  /// within twice this time, the command counts as lost.
  Duration AnswerTimeout{2000};
  /// A command that was sent reaches the endpoint within this time or not at
  /// all, because the client closes the connection after `AnswerTimeout`.
  Duration MaxDeliveryDelay{2000};
  /// How long a process that is no longer the preferred owner keeps the shard.
  /// The preferred process leaves it to a live peer for three times as long.
  Duration HandOverDelay{3000};
  /// Delay of the next takeover after the first refusal, which usually only
  /// tells which epoch counter is in use. Lets the answers of the other
  /// endpoints arrive, which may tell a higher one.
  Duration FirstTakeoverDelay{200};
  /// Delay after the second refusal in a row. It doubles with each further one,
  /// and a random time of up to the delay itself is added.
  Duration TakeoverBackoffMin{2000};
  /// Upper bound of the delay without jitter.
  Duration TakeoverBackoffMax{16000};
  Duration MaxListLag{60000};      ///< Upper bound on the lag of the VM list.
  size_t MaxAttachesInFlight = 32; ///< Limit of attaches and probes in flight.
};

/// Ownership of one shard by fencing epochs: each endpoint refuses commands
/// with a lower epoch than it has accepted, and this process has authority
/// while a quorum of the endpoints counts for its epoch.
///
/// An endpoint counts for authority while (a) it has confirmed a command with
/// the epoch that was sent less than `Authority` ago, and (b) it has held the
/// epoch without interruption for at least `Authority` plus clock drift. Two
/// processes never count the same endpoint at the same time: for that, it would
/// have to have held the epochs of both `Authority` (plus drift) ago. Authority
/// needs two thirds of the listed endpoints, so two processes with authority
/// would count a common endpoint, unless the union of their lists has at least
/// two thirds as many endpoints as the two lists have together.
///
/// The condition "without interruption" in (b) covers an endpoint that restarts
/// and forgets its epoch. This is recognised by a refusal that names a lower
/// epoch, or by a gap of more than `Authority` between confirmations. An
/// endpoint that forgets its epoch must therefore stay silent for `Authority`
/// plus drift after it starts, or refuse renewals with an epoch that it does
/// not hold.
class ShardOwnership final : public Ownership {
public:
  ShardOwnership(ShardId Shard, ProcessId Self, uint64_t Seed,
                 ShardOwnershipOptions Options = {});

  void setOwnershipHint(OwnershipHint Hint, TimePoint Now) override;
  void setEndpoints(const std::vector<ShardEndpoint> &List,
                    TimePoint Now) override;
  void tick(TimePoint Now, std::vector<OwnershipCommand> &Out) override;
  void onEndpointState(uint64_t Command, const protocol::EndpointState &State,
                       TimePoint Now) override;
  void onStaleEpoch(uint64_t Command, const protocol::StaleEpoch &Stale,
                    TimePoint Now) override;
  void onNoAnswer(uint64_t Command, protocol::Delivery How,
                  TimePoint Now) override;
  void onStoreReply(uint64_t Command, const protocol::StoreReply &Reply,
                    TimePoint Now) override;
  void onRunRefused(const EndpointId &Endpoint,
                    const protocol::StaleEpoch &Stale, TimePoint Now) override;
  void onRunSent(const EndpointId &Endpoint, TimePoint Now) override;
  void release(TimePoint Now) override;
  bool released() const override;
  OwnershipState state(TimePoint Now) const override;
  bool hasAuthority(TimePoint Now) const override;
  TimePoint authorityEnd(TimePoint Now) const override;
  bool mayStartOn(const EndpointId &Endpoint, TimePoint Now) const override;
  Epoch epoch() const override { return Current; }
  bool isAttached(const EndpointId &Endpoint) const override;
  std::vector<EndpointId> unreachable(TimePoint Now) const override;
  std::optional<TimePoint>
  leasesEndBy(const EndpointId &Endpoint) const override;

  const ShardId &shard() const { return Shard; }
  /// Attaches and probes in flight; at most `MaxAttachesInFlight`.
  size_t attachesInFlight() const;
  /// Number of endpoints that must count for authority: two thirds of the list,
  /// and more than a third of the longest list within the last `MaxListLag`.
  /// The other owner may still use that list and needs two thirds of it.
  size_t quorum() const;
  /// Processes whose higher epoch made an endpoint refuse this process's epoch.
  /// They may have owned the shard, see `TakeoverGuard::addFormerOwner`.
  const std::set<ProcessId> &refusingProcesses() const {
    return RefusingProcesses;
  }

private:
  struct CommandInFlight {
    uint64_t Id = 0; ///< 0: no command in flight.
    OwnershipAction Action = OwnershipAction::Attach;
    TimePoint SentAt;
    /// `LeaseSent` to go back to if this renewal did not leave the process.
    std::optional<TimePoint> LeaseBefore;
  };

  /// State of the communication with one endpoint of the shard.
  struct EndpointLink {
    ShardEndpoint Info;
    bool IsAttached = false;     ///< Accepted `Current`, not refused since.
    bool ReportsLeaving = false; ///< Reported by the endpoint itself.
    /// Arrival of the first confirmation since which the endpoint has held
    /// `Current` without interruption.
    TimePoint HeldSince;
    TimePoint Confirmed; ///< Send time of the last confirmed command.
    /// Arrival of the last answer. Also set when the endpoint is new, at a
    /// takeover and after a pause of this process, so that its silence is
    /// counted from then.
    TimePoint LastAnswer;
    TimePoint NextSend; ///< No command is sent before.
    /// Send time of the last renewal or run command, which starts a lease.
    std::optional<TimePoint> LeaseSent;
    CommandInFlight Pending;
  };

  enum class Mode {
    Idle,
    Owning, ///< Acquires or has authority.
    GivenUp ///< Only renews tasks on endpoints that still hold its epoch.
  };

  bool isCounted(const EndpointLink &Link, TimePoint Now) const;
  bool isUnreachable(const EndpointLink &Link, TimePoint Now) const;
  EndpointLink *findPending(uint64_t Command);
  void handleConfirmation(EndpointLink &Link, TimePoint SentAt, TimePoint Now);
  void handleRefusal(EndpointLink &Link, const Epoch &Holder, TimePoint Now);
  void takeOver(TimePoint Now);
  void giveUp(TimePoint Now);
  void updateRole(TimePoint Now);
  void expireCommands(TimePoint Now);
  void handleOwnPause(TimePoint Now);
  OwnershipAction actionFor(const EndpointLink &Link, TimePoint Now) const;
  bool isCommandDue(const EndpointLink &Link, TimePoint Now) const;
  void sendTo(EndpointLink &Link, OwnershipAction Action, TimePoint Now,
              std::vector<OwnershipCommand> &Out);

  ShardId Shard;
  ProcessId Self;
  ShardOwnershipOptions Options;
  std::mt19937_64 Random;
  Mode Role = Mode::Idle;
  bool IsReleased = false;
  OwnershipHint Hint;
  Epoch Current;
  uint64_t HighestCounter = 0; ///< Highest epoch counter seen in any answer.
  std::set<ProcessId> RefusingProcesses;
  bool NextRefusalIsFirst = true; ///< No refusal since authority was last held.
  size_t LongestList = 0;         ///< Endpoints in the longest recent list.
  TimePoint LongestListAt;
  TimePoint LastTick;
  uint64_t NextId = 1;
  Duration TakeoverBackoff;
  TimePoint EarliestTakeover; ///< No takeover before this time.
  TimePoint PreferenceSince;  ///< When `Hint.IsPreferredOwner` last changed.
  TimePoint HeldByPeerSince;
  std::map<EndpointId, EndpointLink> Links;
};

} // namespace teaselwalk::cluster
