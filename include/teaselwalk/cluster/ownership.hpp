#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/epoch.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cluster/sharding.hpp"
#include "teaselwalk/protocol/delivery.hpp"
#include "teaselwalk/protocol/endpoint.hpp"
#include "teaselwalk/protocol/store.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Ownership of one shard by this process.
namespace teaselwalk::cluster {

/// An endpoint of the shard according to the VM list.
struct ShardEndpoint {
  EndpointId Id;
  protocol::Address At;
  bool Leaving = false; ///< VM state `leaving`.
};

enum class OwnershipState {
  Idle,      ///< Not the owner and not trying.
  Attaching, ///< Fewer than two thirds of the endpoints hold the epoch.
  Waiting,   ///< Two thirds hold the epoch; the former owner may still act.
  Holding,   ///< Has authority.
  Lost,      ///< Gave up; still renews where its epoch is valid.
};

constexpr std::array<EnumName<OwnershipState>, 5> OwnershipStateNames = {{
    {OwnershipState::Idle, "idle"},
    {OwnershipState::Attaching, "attaching"},
    {OwnershipState::Waiting, "waiting"},
    {OwnershipState::Holding, "holding"},
    {OwnershipState::Lost, "lost"},
}};

enum class OwnershipAction {
  Attach, ///< `POST /attach`.
  Renew,  ///< `POST /renew` with the tasks known on the endpoint.
  Probe,  ///< `POST /attach` to an unreachable endpoint; extends no lease.
  Store,  ///< `Request` to the key-value service.
};

constexpr std::array<EnumName<OwnershipAction>, 4> OwnershipActionNames = {{
    {OwnershipAction::Attach, "attach"},
    {OwnershipAction::Renew, "renew"},
    {OwnershipAction::Probe, "probe"},
    {OwnershipAction::Store, "store"},
}};

/// One message to send now. Exactly one of `onState`, `onStale`, `onNoAnswer`
/// and `onStore` must report its outcome under `Id`.
struct OwnershipCommand {
  uint64_t Id = 0; ///< Unique within one strategy object.
  OwnershipAction Action = OwnershipAction::Attach;
  EndpointId Endpoint;
  protocol::Address At;
  Epoch Owner;                    ///< To carry in the message.
  Duration Lease{0};              ///< For Renew.
  protocol::StoreRequest Request; ///< For Store.
};

/// What this process knows about its role, from membership.
struct OwnershipWish {
  bool Preferred = false;  ///< This process is the preferred owner.
  bool HeldByPeer = false; ///< A live peer reports the shard as held.
};

/// Strategy of ownership (`ShardOwnership`). Every call passes the present
/// time, which never decreases. A call with a time after a long gap (a paused
/// process) is safe: authority depends on send times only.
class Ownership {
public:
  virtual ~Ownership() = default;

  virtual void setWish(OwnershipWish Wish, TimePoint Now) = 0;
  /// Replaces the endpoints by those of a newer VM list.
  virtual void setEndpoints(const std::vector<ShardEndpoint> &List,
                            TimePoint Now) = 0;
  /// Appends the commands that are due. The caller sends them after this call
  /// and must drop them if it was paused past `authorityEnd`.
  virtual void tick(TimePoint Now, std::vector<OwnershipCommand> &Out) = 0;

  /// Answers to commands. Answers with an unknown id are ignored.
  virtual void onState(uint64_t Command, const protocol::EndpointState &State,
                       TimePoint Now) = 0;
  virtual void onStale(uint64_t Command, const protocol::StaleEpoch &Stale,
                       TimePoint Now) = 0;
  virtual void onNoAnswer(uint64_t Command, protocol::Delivery How,
                          TimePoint Now) = 0;
  virtual void onStore(uint64_t Command, const protocol::StoreReply &Reply,
                       TimePoint Now) = 0;

  /// A run command was refused for a stale epoch by \p Endpoint.
  virtual void onRunRefused(const EndpointId &Endpoint,
                            const protocol::StaleEpoch &Stale,
                            TimePoint Now) = 0;
  /// A run command is about to be sent: its lease starts at the endpoint.
  virtual void onRunSent(const EndpointId &Endpoint, TimePoint Now) = 0;

  /// Graceful hand-over: starts nothing more, renews tasks until the next
  /// owner has attached. Final.
  virtual void release(TimePoint Now) = 0;
  /// After `release`: no endpoint holds the epoch any more, as far as known.
  virtual bool released() const = 0;

  virtual OwnershipState state(TimePoint Now) const = 0;
  virtual bool hasAuthority(TimePoint Now) const = 0;
  /// The first moment without authority if no further answer arrives; `Now`
  /// or earlier if there is none.
  virtual TimePoint authorityEnd(TimePoint Now) const = 0;
  /// Has authority, and the endpoint confirmed the epoch and takes work.
  virtual bool mayStartOn(const EndpointId &Endpoint, TimePoint Now) const = 0;
  /// The epoch for commands to the shard's endpoints.
  virtual Epoch epoch() const = 0;
  /// True if \p Endpoint accepted `epoch()` and has not refused it since:
  /// tasks there may be renewed and stopped.
  virtual bool isAttached(const EndpointId &Endpoint) const = 0;
  /// Endpoints of the list without an answer for 10 s.
  virtual std::vector<EndpointId> unreachable(TimePoint Now) const = 0;
  /// The moment from which tasks that this process started or renewed on
  /// \p Endpoint have certainly ended if the endpoint never answers again.
  /// Nothing if this process never sent a lease there.
  virtual std::optional<TimePoint>
  leasesEndBy(const EndpointId &Endpoint) const = 0;
};

} // namespace teaselwalk::cluster
