#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace teaselwalk::cluster {

/// What the new owner of a shard knows about the tasks on one endpoint.
enum class TaskKnowledge {
  Reported, ///< The endpoint answered with the list of its tasks.
  Unknown,  ///< Not reached yet: any task of the shard may be running there.
  Ended,    ///< Certainly no task of the shard runs there.
};

/// Prevents a second run of a task after a takeover: decides when the tasks on
/// endpoints that the new owner has not reached count as ended. A former owner
/// may still renew tasks there, so a missing answer alone proves nothing. The
/// tasks end with the endpoint's VM, or when their leases expire after the VMs
/// of all former owners are gone.
class TakeoverGuard {
public:
  explicit TakeoverGuard(Duration TaskLease = Duration(30000))
      : TaskLease(TaskLease) {}

  /// Starts a takeover of the shard with \p Endpoints, all of them `Unknown`.
  /// \p FormerOwners are the processes that may have owned the shard. If none
  /// is known, an endpoint stays `Unknown` until it answers or is removed from
  /// the VM list.
  void startTakeover(const std::vector<EndpointId> &Endpoints,
                     const std::vector<ProcessId> &FormerOwners);
  /// Adds a process that may also have owned the shard, found in a refusal.
  void addFormerOwner(const ProcessId &Process);
  /// \p Endpoint answered with its tasks.
  void onEndpointReached(const EndpointId &Endpoint);
  void onAddedToList(const EndpointId &Endpoint);
  void onRemovedFromList(const EndpointId &Endpoint);
  /// The VM list no longer contains the VM of \p Process.
  void onFormerOwnerGone(const ProcessId &Process, TimePoint Now);
  /// The VM list contains the VM of \p Process again.
  void onFormerOwnerBack(const ProcessId &Process);

  /// `Unknown` for an endpoint that no other call named.
  TaskKnowledge knowledge(const EndpointId &Endpoint, TimePoint Now) const;
  /// The endpoints whose tasks are `Unknown`. While there is one, a task of the
  /// shard that no endpoint reported counts as running.
  std::vector<EndpointId> unknownEndpoints(TimePoint Now) const;
  bool allKnown(TimePoint Now) const { return unknownEndpoints(Now).empty(); }
  /// True if a task that no reached endpoint reports may be started now.
  bool mayRestartUnreported(TimePoint Now) const { return allKnown(Now); }

private:
  bool formerOwnersEnded(TimePoint Now) const;

  Duration TaskLease;
  std::map<EndpointId, TaskKnowledge> Endpoints;
  /// Former owners, with the time at which their VM left the list, if it did.
  std::map<ProcessId, std::optional<TimePoint>> FormerOwners;
};

} // namespace teaselwalk::cluster
