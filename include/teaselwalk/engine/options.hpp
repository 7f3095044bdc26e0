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

/// Settings of one engine. Intervals are minimum times between two actions.
struct EngineOptions {
  ProcessId Self;
  DataCentreId DataCentre;
  protocol::Address PeerAddress; ///< Address of this process's peer server.
  uint64_t Seed = 1;

  Duration TickInterval{20};       ///< Longest time between two ticks.
  Duration HeadReadInterval{1000}; ///< Between two reads of `config/head`.
  /// Between two reads of `config/head` while a peer is known to have a newer
  /// revision.
  Duration CatchUpReadInterval{200};
  Duration VmListInterval{2000};
  Duration HeartbeatInterval{1000};
  /// Heartbeats ask for an echo, which may confirm the document, once the last
  /// confirmation is older than this. The value is above the age that is normal
  /// between two reads, and more than one heartbeat interval below the limit of
  /// 3 s (`FreshnessOptions::MaxAge`).
  Duration EchoRequestAge{1200};
  Duration StoreTimeout{2000};
  Duration EndpointTimeout{2000}; ///< For attach, renew, stop and run.
  /// Between two renewals that name an endpoint's tasks, to get their usage,
  /// while the set of tasks stays the same; the others carry a hash of the set.
  /// Usage is only needed to reclaim borrowed room.
  Duration FullListInterval{10000};
  /// Between two batches of ended tasks, between two writes of a job's record,
  /// and before a failed write, list or watch of the store is repeated.
  Duration FlushInterval{1000};
  Duration AllowanceInterval{100}; ///< Between two updates of the allowances.
  Duration WatchLength{5000};      ///< Longest time that one store watch waits.
  /// Between the starts of two store watches, which bounds their rate.
  Duration WatchInterval{500};
  Duration ReloadInterval{10000}; ///< Between two reads of a shard's jobs.
  /// How long an ended job stays in memory and in the store.
  Duration JobRetention{600000};
  /// The deadline of a forwarded call is shortened by this much, which leaves
  /// time for the answer to come back.
  Duration ForwardMargin{20};

  /// Longest time that a shutdown waits for peers to take its shards.
  Duration HandOverTimeout{10000};

  uint32_t MaxAttempts = 3; ///< For a quick call, or a task of a batch or gang.
  size_t MaxOpenCalls = 10000; ///< For each shard.
  /// Ended tasks in one record. With `MaxResultBytes` it keeps the record below
  /// the store's limit of 1 MB.
  size_t MaxCompletionBatch = 500;
  size_t MaxResultBytes = 1024; ///< Longer results of job tasks are cut off.

  cluster::ShardOwnershipOptions Ownership;
  cluster::MembershipOptions Membership;
  cluster::AllowanceOptions Allowances;
  cluster::FreshnessOptions Freshness;
  schedule::SchedulerOptions Scheduling;
};

} // namespace teaselwalk::engine
