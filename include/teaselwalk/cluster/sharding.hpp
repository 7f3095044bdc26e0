#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/protocol/peer.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Assignment of endpoints to shards and of shards to processes. The results
/// depend only on the arguments, so all processes agree on them.
namespace teaselwalk::cluster {

using protocol::ShardId;

/// Number of shards of a data centre, 1 to `MaxShards` (document field
/// `shards`).
struct ShardCount {
  uint32_t Value = 1;
};

constexpr uint32_t MaxShards = 64;

/// The shard number of an endpoint, from 0 to \p Count - 1, by a hash of its
/// name. Throws `InvalidInput` if \p Count is not 1 to `MaxShards`.
uint32_t shardOf(const EndpointId &Endpoint, ShardCount Count);

/// The process of \p Live that should own \p Shard, by rendezvous hashing: when
/// a process joins or leaves, only its own shards change owner. Nothing if
/// \p Live is empty. The order of \p Live does not matter.
std::optional<ProcessId> preferredOwner(const ShardId &Shard,
                                        const std::vector<ProcessId> &Live);

} // namespace teaselwalk::cluster
