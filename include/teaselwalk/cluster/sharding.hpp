#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/protocol/peer.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Assignment of endpoints to shards and of shards to processes. All results
/// are the same on every machine.
namespace teaselwalk::cluster {

using protocol::ShardId;

/// Number of shards of a data centre, 1 to 64 (document field `shards`).
struct ShardCount {
  uint32_t Value = 1;
};

constexpr uint32_t MaxShards = 64;

/// The shard number of an endpoint, below \p Count. Depends on the name only.
/// Throws `InvalidInput` if \p Count is outside 1 to 64.
uint32_t shardOf(const EndpointId &Endpoint, ShardCount Count);

/// The process that should own \p Shard among \p Live, by rendezvous hashing:
/// when a process joins or leaves, only its own shards change owner. Nothing
/// if \p Live is empty. The order of \p Live does not matter.
std::optional<ProcessId> preferredOwner(const ShardId &Shard,
                                        const std::vector<ProcessId> &Live);

} // namespace teaselwalk::cluster
