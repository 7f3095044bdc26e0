#pragma once

#include "teaselwalk/cluster/ownership.hpp"

#include <map>
#include <random>

namespace teaselwalk::cluster {

/// Settings of ownership under a store lease. All in milliseconds.
struct PlainOwnershipOptions {
  Duration StoreLease{15000};
  Duration RenewLeaseEvery{4000};
  Duration RetryStore{1000};    ///< After a failed call, plus jitter.
  Duration CommandExpiry{2000}; ///< Wall-clock validity of commands.
  Duration RenewEvery{1000};    ///< Renewals per endpoint.
  Duration ProbeEvery{2000};
  Duration Unreachable{10000};
  Duration TaskLease{30000};
  Duration AnswerTimeout{2000};
  Duration HandOver{3000};
  size_t MaxAttaches = 32;
};

/// Ownership of one shard whose endpoints do not check epochs.
///
/// The key `owner/<data centre>/<shard>` is created under a store lease. The
/// owner acts until the lease, counted from before the last confirmed renewal
/// was sent and shortened by the drift, has expired. A new owner waits for
/// lease, command expiry and drift after its key exists, and starts on an
/// endpoint only after it has read the task list there. While the store is down
/// authority ends with the lease.
class PlainOwnership final : public Ownership {
public:
  PlainOwnership(ShardId Shard, ProcessId Self, uint64_t Seed,
                 PlainOwnershipOptions Options = {});

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
  bool released() const override { return Released && Step == Phase::Idle; }
  OwnershipState state(TimePoint Now) const override;
  bool hasAuthority(TimePoint Now) const override;
  TimePoint authorityEnd(TimePoint Now) const override;
  bool mayStartOn(const EndpointId &Endpoint, TimePoint Now) const override;
  Epoch epoch() const override { return {1, Self}; }
  bool isAttached(const EndpointId &Endpoint) const override;
  std::vector<EndpointId> unreachable(TimePoint Now) const override;
  std::optional<TimePoint>
  leasesEndBy(const EndpointId &Endpoint) const override;

  std::string key() const;

private:
  /// Steps of the dialogue with the store.
  enum class Phase {
    Idle,     ///< No lease and no wish.
    Granting, ///< Asks for a lease.
    Creating, ///< Creates the key under the lease.
    Reading,  ///< Reads the key after a lost answer or a conflict.
    Owning,   ///< The key exists; renews the lease.
    Removing, ///< Hands over: removes the key.
  };

  struct Peer {
    ShardEndpoint Info;
    bool Read = false;  ///< Answered in this term: tasks may be renewed.
    bool Known = false; ///< Task list read after the wait: may start.
    bool SaysLeaving = false;
    TimePoint LastAnswer;
    TimePoint NextSend;
    std::optional<TimePoint> LeaseSent;
    uint64_t Pending = 0;
    TimePoint PendingSince;
    OwnershipAction PendingAction = OwnershipAction::Attach;
  };

  bool leaseValid(TimePoint Now) const;
  void endTerm(TimePoint Now);
  void beginTerm(TimePoint Now);
  void onOwnKey(protocol::StoreVersion Version, TimePoint Now);
  void onCreated(const protocol::StoreReply &Reply, TimePoint Now);
  void onKeyRead(const protocol::StoreReply &Reply, TimePoint Now);
  void onRenewed(const protocol::StoreReply &Reply, TimePoint Now);
  void retryLater(TimePoint Now);
  void tickStore(TimePoint Now, std::vector<OwnershipCommand> &Out);
  void tickEndpoints(TimePoint Now, std::vector<OwnershipCommand> &Out);
  protocol::StoreRequest nextRequest() const;
  bool isUnreachable(const Peer &Item, TimePoint Now) const;
  TimePoint quietFrom() const;
  Peer *findPending(uint64_t Command);

  ShardId Shard;
  ProcessId Self;
  PlainOwnershipOptions Options;
  std::mt19937_64 Random;
  Phase Step = Phase::Idle;
  OwnershipWish Wish;
  TimePoint WishSince;
  bool Released = false;
  bool HadTerm = false;
  std::string Lease;   ///< Id, empty without a lease.
  TimePoint LeaseFrom; ///< Send time of the last confirmation.
  protocol::StoreVersion KeyVersion = 0;
  TimePoint OwnedSince; ///< When the key was known to be ours.
  uint64_t StorePending = 0;
  TimePoint StoreSentAt;
  TimePoint NextStore;
  uint64_t NextId = 1;
  std::map<EndpointId, Peer> Peers;
};

} // namespace teaselwalk::cluster
