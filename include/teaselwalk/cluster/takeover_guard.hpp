#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace teaselwalk::cluster {

/// What is known about the tasks of an endpoint after a takeover.
enum class TaskKnowledge {
  Reported, ///< The endpoint answered: its task list is the truth.
  Unknown,  ///< Not reached: any task of the shard may be running there.
  Ended,    ///< Certainly nothing runs there.
};

/// Decides when the tasks on endpoints that the new owner never reached count
/// as ended. A former owner may still renew tasks there, so silence alone
/// proves nothing: they end with the endpoint's VM, or with the lease after the
/// former owner's VM is gone.
class TakeoverGuard {
public:
  explicit TakeoverGuard(Duration TaskLease = Duration(30000))
      : TaskLease(TaskLease) {}

  /// Starts a takeover of \p Endpoints. \p FormerOwners are all processes that
  /// may have owned the shard; without any, only an answer or a removal from
  /// the VM list settles an endpoint.
  void begin(const std::vector<EndpointId> &Endpoints,
             const std::vector<ProcessId> &FormerOwners);
  /// A process that may also have owned the shard (from a refusal).
  void addFormerOwner(const ProcessId &Process);
  void onReached(const EndpointId &Endpoint);
  void onAddedToList(const EndpointId &Endpoint);
  void onRemovedFromList(const EndpointId &Endpoint);
  /// The VM list no longer contains the VM of \p Process.
  void onOwnerGone(const ProcessId &Process, TimePoint Now);
  /// The VM list contains the VM of \p Process again.
  void onOwnerBack(const ProcessId &Process);

  /// `Unknown` for an endpoint that was never named here.
  TaskKnowledge knowledge(const EndpointId &Endpoint, TimePoint Now) const;
  /// The endpoints with `Unknown`. While there is one, a task of the shard that
  /// was found nowhere counts as running.
  std::vector<EndpointId> unknown(TimePoint Now) const;
  bool allKnown(TimePoint Now) const { return unknown(Now).empty(); }
  /// True if a task that no reached endpoint reports may be started now.
  bool mayRestartMissing(TimePoint Now) const { return allKnown(Now); }

private:
  bool formerOwnersEnded(TimePoint Now) const;

  Duration TaskLease;
  std::map<EndpointId, TaskKnowledge> Endpoints;
  std::map<ProcessId, std::optional<TimePoint>> FormerOwners; ///< Gone since.
};

} // namespace teaselwalk::cluster
