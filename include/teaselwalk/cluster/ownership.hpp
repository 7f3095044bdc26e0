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

/// Ownership of the shards of a data centre. At any time at most one entry
/// process has authority over a shard, that is, may start tasks on the shard's
/// endpoints.
namespace teaselwalk::cluster {

/// An endpoint of the shard according to the VM list.
struct ShardEndpoint {
  EndpointId Id;
  protocol::Address At;
  bool Leaving = false; ///< VM state `leaving`.
};

enum class OwnershipState {
  Idle,      ///< Neither the owner nor trying to become it.
  Attaching, ///< Fewer than a quorum (two thirds) of endpoints hold the epoch.
  Waiting,   ///< A quorum does, but the former owner may have authority.
  Holding,   ///< Has authority.
  Lost,      ///< Gave up; still renews tasks where its epoch is valid.
};

constexpr std::array<EnumName<OwnershipState>, 5> OwnershipStateNames = {{
    {OwnershipState::Idle, "idle"},
    {OwnershipState::Attaching, "attaching"},
    {OwnershipState::Waiting, "waiting"},
    {OwnershipState::Holding, "holding"},
    {OwnershipState::Lost, "lost"},
}};

enum class OwnershipAction {
  Attach, ///< Send `POST /attach`.
  Renew,  ///< Send `POST /renew` with the tasks known on the endpoint.
  Probe,  ///< Send `POST /attach` to an unreachable endpoint; extends no lease.
  Store,  ///< Send `Request` to the key-value service.
};

constexpr std::array<EnumName<OwnershipAction>, 4> OwnershipActionNames = {{
    {OwnershipAction::Attach, "attach"},
    {OwnershipAction::Renew, "renew"},
    {OwnershipAction::Probe, "probe"},
    {OwnershipAction::Store, "store"},
}};

/// One message to send now. The caller must report its outcome under `Id` by
/// exactly one call of `onEndpointState`, `onStaleEpoch`, `onNoAnswer` or
/// `onStoreReply`.
struct OwnershipCommand {
  uint64_t Id = 0; ///< Unique within one `Ownership` object.
  OwnershipAction Action = OwnershipAction::Attach;
  EndpointId Endpoint;
  protocol::Address At;
  Epoch Owner;                    ///< Epoch that the message carries.
  Duration Lease{0};              ///< Lease of the tasks, for Renew.
  protocol::StoreRequest Request; ///< For Store.
};

/// What membership tells about the owner of a shard.
struct OwnershipHint {
  bool IsPreferredOwner = false; ///< `preferredOwner` chose this process.
  bool IsHeldByPeer = false; ///< A live peer reports that it owns the shard.
};

/// Protocol by which this process acquires, keeps and gives up the ownership of
/// one shard. `ShardOwnership` implements it. `Now` is the current time on the
/// steady clock of the process and never decreases between calls. A call after
/// a long gap (a paused process) is safe: authority depends on the times at
/// which commands were sent, not on when answers arrive.
class Ownership {
public:
  virtual ~Ownership() = default;

  virtual void setOwnershipHint(OwnershipHint Hint, TimePoint Now) = 0;
  /// Replaces the shard's endpoints by those of a newer VM list.
  virtual void setEndpoints(const std::vector<ShardEndpoint> &List,
                            TimePoint Now) = 0;
  /// Appends the commands that are due to \p Out. The caller sends them right
  /// after this call; if it was paused past `authorityEnd`, it must drop them.
  virtual void tick(TimePoint Now, std::vector<OwnershipCommand> &Out) = 0;

  /// The endpoint of \p Command answered with its state. Here and below, the
  /// outcome of a command that is not in flight is ignored, except that
  /// `onStaleEpoch` always learns the epoch counter in use.
  virtual void onEndpointState(uint64_t Command,
                               const protocol::EndpointState &State,
                               TimePoint Now) = 0;
  /// The endpoint refused \p Command because it holds a higher epoch.
  virtual void onStaleEpoch(uint64_t Command, const protocol::StaleEpoch &Stale,
                            TimePoint Now) = 0;
  /// \p Command had no answer; \p How says whether it may have arrived.
  virtual void onNoAnswer(uint64_t Command, protocol::Delivery How,
                          TimePoint Now) = 0;
  virtual void onStoreReply(uint64_t Command, const protocol::StoreReply &Reply,
                            TimePoint Now) = 0;

  /// \p Endpoint refused a run command because it holds a higher epoch.
  virtual void onRunRefused(const EndpointId &Endpoint,
                            const protocol::StaleEpoch &Stale,
                            TimePoint Now) = 0;
  /// A run command, which starts a task lease, is about to be sent to
  /// \p Endpoint.
  virtual void onRunSent(const EndpointId &Endpoint, TimePoint Now) = 0;

  /// Hands the shard over: gives up authority at once, but renews tasks until
  /// the next owner has attached to their endpoints. Cannot be undone.
  virtual void release(TimePoint Now) = 0;
  /// True after `release` once no endpoint is known to hold the epoch any more.
  virtual bool released() const = 0;

  virtual OwnershipState state(TimePoint Now) const = 0;
  virtual bool hasAuthority(TimePoint Now) const = 0;
  /// The time at which authority ends if no further answer arrives; at most
  /// \p Now without authority.
  virtual TimePoint authorityEnd(TimePoint Now) const = 0;
  /// True if this process has authority, and \p Endpoint confirmed the epoch
  /// recently and is not leaving.
  virtual bool mayStartOn(const EndpointId &Endpoint, TimePoint Now) const = 0;
  /// The epoch that commands to the shard's endpoints carry.
  virtual Epoch epoch() const = 0;
  /// True if \p Endpoint accepted `epoch()` and has not refused it since, so
  /// that tasks there may be renewed and stopped.
  virtual bool isAttached(const EndpointId &Endpoint) const = 0;
  /// Listed endpoints that have not answered for the time that counts as lost
  /// contact (setting `contact_lost_ms`, 10 s by default).
  virtual std::vector<EndpointId> unreachable(TimePoint Now) const = 0;
  /// The time by which all tasks that this process started or renewed on
  /// \p Endpoint have certainly ended if it sends no further lease there;
  /// nothing if it never sent one.
  virtual std::optional<TimePoint>
  leasesEndBy(const EndpointId &Endpoint) const = 0;
};

} // namespace teaselwalk::cluster
