#pragma once

#include "teaselwalk/cluster/allowance_record.hpp"
#include "teaselwalk/protocol/store.hpp"

#include <optional>
#include <vector>

namespace teaselwalk::cluster {

struct AllowanceOptions {
  /// Rate of the token bucket for this shard's store calls, over all teams. A
  /// write costs one token.
  double WritesPerSecond = 4;
  /// Size of the token bucket. Large enough for the claims after a takeover.
  double WriteBurst = 40;
  double ReadCost = 0.1; ///< Tokens per read; reads are cheaper than writes.
  /// Percentage of its amount that a shard keeps free for its own new work and
  /// does not transfer.
  int HeadroomPercent = 10;
  /// Percentage of the team's limit (dominant share) below which an allowance
  /// is transferred only if it covers the whole request.
  int MinTransferPercent = 2;
  /// Unmet demand is published in the record only after it lasted this long.
  Duration MinDemandAge{1000};
  /// A shard transfers nothing for this long after its own allowance grew, so
  /// that allowance does not oscillate between shards.
  Duration MinHoldTime{10000};
  /// Upper bound of the delay before a transfer. The delay depends on the shard
  /// and the record's version, so that not all donors write at once.
  Duration MaxTransferDelay{1000};
  Duration RetryDelay{1000};    ///< Pause after an unsuccessful store call.
  Duration AnswerTimeout{5000}; ///< A call without a reply then counts as lost.
};

/// One store call for the record of one team. The caller passes the reply to
/// `onReply` with the same `Id`.
struct AllowanceRequest {
  uint64_t Id = 0;
  TeamId Team;
  protocol::StoreRequest Request;
};

/// How much of each team's limit one shard may use, during the term of one
/// owner of the shard. Plans the shard's changes to the teams' records in the
/// store (see `AllowanceRecord`) and tracks their outcome.
///
/// When the shard changes owner, a compare-and-swap of the former owner may
/// still be in flight and would transfer allowance that the new owner already
/// uses. The new owner therefore first claims the shard's row: this write
/// changes the version, so that older writes fail. Nothing is usable before the
/// claim is confirmed.
///
/// An amount to be transferred stops being usable before the request is sent.
/// If the reply is lost, the key is read back. While its version is unchanged
/// the write may still take effect, so it is repeated, and until its outcome is
/// known only the smaller of the amounts before and after it is usable.
class ShardAllowances {
public:
  ShardAllowances(protocol::ShardId Shard, Epoch Owner,
                  AllowanceOptions Options = {});

  /// Sets the limit of \p Team according to document revision \p Revision. A
  /// planner creates the record of a team that has none.
  void setLimit(const TeamId &Team, const Resources &Limit, uint64_t Revision);
  /// Sets all shards of the fleet according to the document, and those of data
  /// centres that cannot be reached. A planner creates the records and applies
  /// changed limits and shard lists to them. Several planners at once are safe:
  /// they only cause more write conflicts.
  void setShards(bool Planner, std::set<protocol::ShardId> Shards,
                 std::set<protocol::ShardId> Unreachable);
  /// Sets the weights by which a planner first splits the limit of \p Team
  /// between the shards.
  void setInitialDemand(const TeamId &Team, ShardDemands Demand);
  /// Lets the planner remove the rows of shard \p Gone. Call only when no task
  /// of that shard runs or can still start.
  void retireShard(const protocol::ShardId &Gone);
  /// A record was read or reported by a watch. Ignored unless \p Version is
  /// higher than the known one.
  void onRecord(const TeamId &Team, const AllowanceRecord &Record,
                protocol::StoreVersion Version, TimePoint Now);
  /// Reports the resources that the shard uses now, and those that it needs in
  /// total, including for its queued tasks.
  void reportUse(const TeamId &Team, const Resources &Used,
                 const Resources &Needed, TimePoint Now);

  /// Upper bound on what the shard may use in total. Zero until the shard's row
  /// in the record is claimed.
  Resources usable(const TeamId &Team) const;
  /// How much of the reported use exceeds `usable()`. The caller has to stop
  /// that much work gracefully.
  Resources excess(const TeamId &Team) const;

  /// Appends the store calls that are due to \p Out: at most one per team, and
  /// no more than the token bucket allows.
  void tick(TimePoint Now, std::vector<AllowanceRequest> &Out);
  void onReply(uint64_t Id, const protocol::StoreReply &Reply, TimePoint Now);

  /// The newest known record of \p Team, or null.
  const AllowanceRecord *record(const TeamId &Team) const;
  /// True while the outcome of a write to the record of \p Team is unknown.
  bool hasUnresolvedWrite(const TeamId &Team) const;

private:
  struct Entry {
    std::optional<AllowanceRecord> Record;
    protocol::StoreVersion Version = 0;
    bool IsAbsent = false; ///< The store has no record of the team.
    Resources Limit;
    uint64_t LimitRevision = 0;
    Resources Used;
    Resources Needed;
    ShardDemands Demand;
    TimePoint SeenAt; ///< When `Version` became known.
    /// Since when the need exceeds what is usable.
    std::optional<TimePoint> UnmetSince;
    std::optional<TimePoint> ReceivedAt; ///< Last growth of what is usable.
    /// Content of a write whose outcome is unknown, or that is to be sent.
    std::optional<AllowanceRecord> Proposed;
    protocol::StoreVersion Expected = 0; ///< Version that `Proposed` replaces.
    /// An attempt to write `Proposed` had no reply and may still take effect.
    bool MayTakeEffect = false;
    bool NeedsRead = true; ///< The next call is a read.
    uint64_t Pending = 0;  ///< Id of the call in flight; 0: none.
    bool IsPendingRead = false;
    TimePoint SentAt;
    TimePoint NextCall; ///< No call is sent before.
  };

  /// What the shard may use according to \p Record; zero if this owner has not
  /// claimed the row.
  Resources usableIn(const AllowanceRecord &Record) const;
  /// The next content of the record; nothing if no change is due. Changes of
  /// the own row (claim, lowering) come first, then the planner's, a transfer
  /// to another shard, and last a changed request for more.
  std::optional<AllowanceRecord> plan(const Entry &Item, TimePoint Now) const;
  std::optional<AllowanceRecord> planAsPlanner(const Entry &Item) const;
  std::optional<AllowanceRecord> planTransfer(const Entry &Item,
                                              TimePoint Now) const;
  std::optional<AllowanceRecord> planRequest(const Entry &Item,
                                             TimePoint Now) const;
  protocol::StoreRequest requestFor(const TeamId &Team,
                                    const Entry &Item) const;
  /// Takes \p Cost tokens from the bucket; false if it holds fewer.
  bool takeTokens(double Cost, TimePoint Now);
  /// Prepares the next call for \p Item in its fields; false if none is due.
  bool prepareCall(Entry &Item, TimePoint Now);
  std::optional<AllowanceRecord> planOwnRow(const Entry &Item) const;
  Duration transferDelay(const Entry &Item) const;
  void onSupersededWrite(Entry &Item, const protocol::StoreReply &Reply);
  void accept(Entry &Item, AllowanceRecord Record,
              protocol::StoreVersion Version, TimePoint Now);
  void onWriteReply(Entry &Item, const protocol::StoreReply &Reply,
                    TimePoint Now);
  void onReadReply(Entry &Item, const protocol::StoreReply &Reply,
                   TimePoint Now);

  protocol::ShardId Shard;
  Epoch Owner;
  AllowanceOptions Options;
  bool Planner = false;
  std::set<protocol::ShardId> Shards;
  std::set<protocol::ShardId> Unreachable;
  std::set<protocol::ShardId> Retired;
  TeamId LastServed; ///< Team of the last call, for round-robin.
  std::map<TeamId, Entry> Teams;
  std::map<uint64_t, TeamId> Calls; ///< In flight, by request id.
  uint64_t NextId = 1;
  double Tokens = 0;
  std::optional<TimePoint> TokensAt;
};

} // namespace teaselwalk::cluster
