#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cluster/document_freshness.hpp"
#include "teaselwalk/cluster/membership.hpp"
#include "teaselwalk/cluster/shard_allowances.hpp"
#include "teaselwalk/cluster/shard_ownership.hpp"
#include "teaselwalk/protocol/vm.hpp"
#include "teaselwalk/schedule/scheduler_state.hpp"

#include <cstdint>

namespace teaselwalk::engine {

/// Settings of one engine.
struct EngineOptions {
  ProcessId Self;
  DataCentreId DataCentre;
  protocol::Address PeerAddress; ///< Of this process's peer server.
  uint64_t Seed = 1;

  Duration TickInterval{20};        ///< Between two `Tick` events at most.
  Duration HeadReadInterval{1000};  ///< Between reads of `config/head`.
  Duration BehindReadInterval{200}; ///< After a newer revision was heard of.
  Duration VmListInterval{2000};
  Duration HeartbeatInterval{1000};
  /// A heartbeat asks for an echo when the document is older than this: above
  /// the age between two reads, and one heartbeat below the limit of 3 s.
  Duration EchoAge{1200};
  Duration StoreTimeout{2000};
  Duration EndpointTimeout{2000}; ///< For attach, renew, stop and start.
  /// Between two lists of an endpoint's tasks with their usage while the set of
  /// tasks stays the same. Usage is only needed for reclaiming borrowed room.
  Duration FullListInterval{10000};
  Duration FlushInterval{1000}; ///< Between batches of ended tasks.
  Duration MoveInterval{100};   ///< Between two looks at the allowances.
  Duration WatchLength{5000};   ///< Longest wait of one watch of the store.
  Duration WatchPause{500}; ///< Between two watches, which bounds their rate.
  Duration ReloadInterval{10000}; ///< Between readings of a shard's jobs.
  /// Longest time an ended job stays in memory and in the store.
  Duration JobRetention{600000};
  /// A forwarded call keeps this much of its deadline for the way back.
  Duration ForwardMargin{20};

  Duration HandOverLimit{
      10000}; ///< A shutdown waits no longer for a new owner.

  uint32_t MaxAttempts = 3; ///< Of one task of a batch or gang.
  size_t MaxOpenCalls = 10000;
  /// Ended tasks in one record, which bounds it below the store's 1 MB.
  size_t MaxDoneBatch = 500;
  size_t MaxResultBytes = 1024; ///< Kept of a job task's result.

  cluster::ShardOwnershipOptions Ownership;
  cluster::MembershipOptions Membership;
  cluster::AllowanceOptions Allowances;
  cluster::FreshnessOptions Freshness;
  schedule::SchedulerOptions Scheduling;
};

} // namespace teaselwalk::engine
