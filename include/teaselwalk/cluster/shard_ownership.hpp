#pragma once

#include "teaselwalk/cluster/ownership.hpp"

#include <map>
#include <random>
#include <set>

namespace teaselwalk::cluster {

/// Settings of ownership with the epoch check. All in milliseconds.
struct ShardOwnershipOptions {
  Duration Authority{5000};     ///< `authority_ms`.
  Duration RenewEvery{1000};    ///< Per endpoint.
  Duration ProbeEvery{2000};    ///< Per unreachable endpoint.
  Duration Unreachable{10000};  ///< Silence after which renewals stop.
  Duration TaskLease{30000};    ///< Lease of tasks.
  Duration AnswerTimeout{2000}; ///< A command without an answer is lost.
  /// A command that was sent reaches the endpoint within this time or not at
  /// all; the client closes the connection after `AnswerTimeout`.
  Duration Transit{2000};
  /// How long a preferred process leaves the shard with a live peer, and a
  /// process that is no longer preferred keeps it.
  Duration HandOver{3000};
  /// Delay after the first refusal, which usually only shows the counter in
  /// use. Lets the answers of the other endpoints arrive.
  Duration Discovery{200};
  Duration RetakeMin{2000};  ///< Delay after a further refusal.
  Duration RetakeMax{16000}; ///< The delay doubles up to this.
  Duration ListLag{60000};   ///< Bound of the lag of the VM list.
  size_t MaxAttaches = 32;   ///< Attaches and probes in flight.
};

/// Ownership of one shard with the epoch check of endpoints.
///
/// An endpoint counts for authority while (a) a command under the epoch that it
/// confirmed was sent less than `Authority` ago and (b) the endpoint has held
/// the epoch without interruption since at least `Authority` plus drift. Two
/// processes never count the same endpoint at the same moment: both would need
/// it to have held their epoch at the moment `Authority` (plus drift) ago.
/// Authority needs two thirds of the listed endpoints, so two processes with
/// authority would count a common endpoint unless the union of their lists has
/// at least two thirds of the sum of their lengths.
///
/// The interruption in (b) covers an endpoint that restarts and forgets its
/// epoch. It is recognised by a refusal with a lower epoch, or by a gap between
/// confirmations of more than `Authority`. An endpoint that forgets its epoch
/// must therefore stay silent for `Authority` plus drift after it starts, or
/// refuse renewals under an epoch that it does not hold.
class ShardOwnership final : public Ownership {
public:
  ShardOwnership(ShardId Shard, ProcessId Self, uint64_t Seed,
                 ShardOwnershipOptions Options = {});

  void setWish(OwnershipWish Wish, TimePoint Now) override;
  void setEndpoints(const std::vector<ShardEndpoint> &List,
                    TimePoint Now) override;
  void tick(TimePoint Now, std::vector<OwnershipCommand> &Out) override;
  void onState(uint64_t Command, const protocol::EndpointState &State,
               TimePoint Now) override;
  void onStale(uint64_t Command, const protocol::StaleEpoch &Stale,
               TimePoint Now) override;
  void onNoAnswer(uint64_t Command, protocol::Delivery How,
                  TimePoint Now) override;
  void onStore(uint64_t Command, const protocol::StoreReply &Reply,
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
  size_t attachesInFlight() const;
  /// Endpoints that must be counted for authority. Two thirds of the list, and
  /// more than a third of the longest list of the last `ListLag`: another owner
  /// may still use that list.
  size_t quorum() const;
  /// Processes whose epoch made an endpoint refuse ours, for `TakeoverGuard`.
  const std::set<ProcessId> &refusers() const { return Refusers; }

private:
  struct InFlight {
    uint64_t Id = 0; ///< 0: no command in flight.
    OwnershipAction Action = OwnershipAction::Attach;
    TimePoint SentAt;
    std::optional<TimePoint> LeaseBefore; ///< `LeaseSent` before a renewal.
  };

  struct Peer {
    ShardEndpoint Info;
    bool Attached = false;    ///< Accepted `Current`, not refused since.
    bool SaysLeaving = false; ///< By its own answer.
    TimePoint HeldSince;      ///< Answer that began the unbroken holding.
    TimePoint Confirmed;      ///< Send time of the last confirmed command.
    TimePoint LastAnswer;     ///< Or the start of the first attempt.
    TimePoint NextSend;
    std::optional<TimePoint> LeaseSent; ///< Last renewal or run.
    InFlight Pending;
  };

  enum class Mode { Idle, Owning, GivenUp };

  bool isCounted(const Peer &Item, TimePoint Now) const;
  bool isUnreachable(const Peer &Item, TimePoint Now) const;
  Peer *findPending(uint64_t Command);
  void confirm(Peer &Item, TimePoint SentAt, TimePoint Now);
  void refuse(Peer &Item, const Epoch &Holder, TimePoint Now);
  void take(TimePoint Now);
  void giveUp(TimePoint Now);
  void reconsider(TimePoint Now);
  void expirePending(TimePoint Now);
  void noticePause(TimePoint Now);
  OwnershipAction actionFor(const Peer &Item, TimePoint Now) const;
  bool wantsCommand(const Peer &Item, TimePoint Now) const;
  void sendTo(Peer &Item, OwnershipAction Action, TimePoint Now,
              std::vector<OwnershipCommand> &Out);

  ShardId Shard;
  ProcessId Self;
  ShardOwnershipOptions Options;
  std::mt19937_64 Random;
  Mode Role = Mode::Idle;
  bool Released = false;
  OwnershipWish Wish;
  Epoch Current;
  uint64_t HighestCounter = 0;
  std::set<ProcessId> Refusers;
  bool Discovering = true; ///< No refusal since the last authority.
  size_t LongestList = 0;
  TimePoint LongestListAt;
  TimePoint LastTick;
  uint64_t NextId = 1;
  Duration RetakeDelay;
  TimePoint NotBefore; ///< Earliest next takeover.
  TimePoint WishSince; ///< When `Wish.Preferred` last changed.
  TimePoint HeldByPeerSince;
  std::map<EndpointId, Peer> Peers;
};

} // namespace teaselwalk::cluster
