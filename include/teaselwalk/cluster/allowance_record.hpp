#pragma once

#include "teaselwalk/base/epoch.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/protocol/peer.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

/// The key `allowance/<team>`: how a team's limit is split between shards.
namespace teaselwalk::cluster {

/// The part of one shard. Only the shard's owner lowers `Amount`; anyone may
/// lower `Target` to ask it to.
struct AllowanceRow {
  Resources Amount; ///< Counts towards the limit.
  Resources Target; ///< At most `Amount`; the shard may use only so much.
  Resources Wanted; ///< Asked for in addition; zero without demand.
  Epoch Holder;     ///< Owner that last claimed the row.
};

/// Content of `allowance/<team>`.
///
/// The sum of `Amount` over all shards never rises above `Limit`. After the
/// limit was lowered the sum may stay above it until the shards have lowered
/// their amounts to their targets; in that time nothing is raised.
struct AllowanceRecord {
  Resources Limit;
  uint64_t LimitRevision = 0; ///< Document revision of `Limit`.
  std::map<protocol::ShardId, AllowanceRow> Rows;

  Resources total() const;
  Resources totalTarget() const;
};

bool operator==(const AllowanceRow &A, const AllowanceRow &B);
bool operator==(const AllowanceRecord &A, const AllowanceRecord &B);

std::string allowanceKey(const TeamId &Team);
std::string encodeAllowance(const AllowanceRecord &Value);
/// Throws `InvalidInput` on malformed text.
AllowanceRecord decodeAllowance(const std::string &Text);

/// Component-wise minimum and maximum.
Resources smaller(const Resources &A, const Resources &B);
Resources larger(const Resources &A, const Resources &B);

/// Use and demand of one shard, for weights.
using ShardDemands = std::map<protocol::ShardId, Resources>;

/// Splits \p Amount over \p Shards in proportion to demand, per component; in
/// equal parts without demand. The parts add up to \p Amount.
std::map<protocol::ShardId, Resources>
splitByDemand(const Resources &Amount,
              const std::set<protocol::ShardId> &Shards,
              const ShardDemands &Demand);

/// The first record of a team: the whole limit, split by demand.
AllowanceRecord createAllowances(const Resources &Limit, uint64_t Revision,
                                 const std::set<protocol::ShardId> &Shards,
                                 const ShardDemands &Demand);

/// Applies a new limit. If the sum is above it, targets are lowered: those of
/// reachable shards first, then those of \p Unreachable ones, which follow when
/// they return. If the sum is below it, reachable shards are raised. Ignored if
/// \p Revision is lower than that of the record.
AllowanceRecord withLimit(AllowanceRecord Record, const Resources &Limit,
                          uint64_t Revision,
                          const std::set<protocol::ShardId> &Unreachable);

/// Adds a row without allowance.
AllowanceRecord withShard(AllowanceRecord Record,
                          const protocol::ShardId &Shard);
/// Removes a row and gives its amount to the reachable others. Allowed only
/// when nothing of the shard can run or start any more.
AllowanceRecord withoutShard(AllowanceRecord Record,
                             const protocol::ShardId &Shard,
                             const std::set<protocol::ShardId> &Unreachable);
/// \p Holder takes over the row of \p Shard.
AllowanceRecord withClaim(AllowanceRecord Record,
                          const protocol::ShardId &Shard, const Epoch &Holder);
/// The owner of \p Shard, which uses at most \p Used, lowers its amount to its
/// target as far as it can.
AllowanceRecord withTargetMet(AllowanceRecord Record,
                              const protocol::ShardId &Shard,
                              const Resources &Used);
/// The owner of \p From gives \p Amount to \p To, whose `Wanted` falls by as
/// much. Throws `InvalidInput` if \p From has less or a component is negative.
AllowanceRecord withMove(AllowanceRecord Record, const protocol::ShardId &From,
                         const protocol::ShardId &To, const Resources &Amount);

} // namespace teaselwalk::cluster
