#pragma once

#include "teaselwalk/base/epoch.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/protocol/peer.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

/// The store records `allowance/<team>`, which split the limit of each team
/// between the shards of all data centres, and the changes to them. A shard may
/// use its part without asking any other shard.
namespace teaselwalk::cluster {

/// The part of one shard. Only the owner of the shard lowers `Amount`; any
/// writer may lower `Target` to ask the owner to do so.
struct AllowanceRow {
  Resources Amount; ///< Part of the limit that is reserved for the shard.
  Resources Target; ///< Upper bound on the shard's use; at most `Amount`.
  Resources Wanted; ///< Requested in addition to `Amount`; zero: no request.
  Epoch Holder;     ///< Epoch of the owner that last claimed the row.
};

/// Content of `allowance/<team>`.
///
/// Invariant: no change raises the sum of `Amount` over all shards above
/// `Limit`. After the limit was lowered, the sum may stay above it until the
/// shards have lowered their amounts to their targets; until then no amount is
/// raised.
struct AllowanceRecord {
  Resources Limit;
  uint64_t LimitRevision = 0; ///< Document revision that `Limit` is from.
  std::map<protocol::ShardId, AllowanceRow> Rows;

  Resources total() const;       ///< Sum of `Amount` over all shards.
  Resources totalTarget() const; ///< Sum of `Target` over all shards.
};

bool operator==(const AllowanceRow &A, const AllowanceRow &B);
bool operator==(const AllowanceRecord &A, const AllowanceRecord &B);

std::string allowanceKey(const TeamId &Team);
std::string encodeAllowance(const AllowanceRecord &Value);
/// Throws `InvalidInput` if \p Text is not an allowance record.
AllowanceRecord decodeAllowance(const std::string &Text);

/// Component-wise minimum.
Resources componentMin(const Resources &A, const Resources &B);
/// Component-wise maximum.
Resources componentMax(const Resources &A, const Resources &B);

/// Use and demand of each shard: the weights for splitting a limit.
using ShardDemands = std::map<protocol::ShardId, Resources>;

/// Splits each component of \p Amount over \p Shards in proportion to
/// \p Demand, or equally if no shard has a demand for it. The parts add up to
/// \p Amount.
std::map<protocol::ShardId, Resources>
splitByDemand(const Resources &Amount,
              const std::set<protocol::ShardId> &Shards,
              const ShardDemands &Demand);

/// The first record of a team, with the whole limit split by demand.
AllowanceRecord createAllowanceRecord(const Resources &Limit, uint64_t Revision,
                                      const std::set<protocol::ShardId> &Shards,
                                      const ShardDemands &Demand);

/// Applies a new limit. If the sum of targets is above it, targets are lowered:
/// those of reachable shards first, then those of \p Unreachable ones, whose
/// owners lower their use once they are reachable again. If the sum of amounts
/// is below it, reachable shards are raised. Ignored if \p Revision is lower
/// than that of the record.
AllowanceRecord withLimit(AllowanceRecord Record, const Resources &Limit,
                          uint64_t Revision,
                          const std::set<protocol::ShardId> &Unreachable);

/// Adds a row with zero allowance if \p Shard has none.
AllowanceRecord withShard(AllowanceRecord Record,
                          const protocol::ShardId &Shard);
/// Removes the row of \p Shard and gives its amount to the reachable other
/// shards. Allowed only when no task of the shard runs or can still start.
AllowanceRecord withoutShard(AllowanceRecord Record,
                             const protocol::ShardId &Shard,
                             const std::set<protocol::ShardId> &Unreachable);
/// Marks the row of \p Shard as claimed by the owner with epoch \p Holder.
AllowanceRecord withClaim(AllowanceRecord Record,
                          const protocol::ShardId &Shard, const Epoch &Holder);
/// Lowers the amount of \p Shard to its target, but not below \p Used, which
/// its owner uses at most.
AllowanceRecord withAmountLowered(AllowanceRecord Record,
                                  const protocol::ShardId &Shard,
                                  const Resources &Used);
/// Transfers \p Amount from shard \p From to shard \p To, whose `Wanted` falls
/// by as much. Only the owner of \p From may write this change. Throws
/// `InvalidInput` if the target of \p From is less than \p Amount, if a
/// component is negative, if a shard has no row, or if both are the same shard.
AllowanceRecord withTransfer(AllowanceRecord Record,
                             const protocol::ShardId &From,
                             const protocol::ShardId &To,
                             const Resources &Amount);

} // namespace teaselwalk::cluster
