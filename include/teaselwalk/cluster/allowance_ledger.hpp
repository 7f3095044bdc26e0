#pragma once

#include "teaselwalk/cluster/allowance_record.hpp"
#include "teaselwalk/protocol/store.hpp"

#include <optional>
#include <vector>

namespace teaselwalk::cluster {

/// Settings of allowances.
struct AllowanceOptions {
  double WritesPerSecond = 4; ///< Of this shard, over all teams.
  double WriteBurst = 40;     ///< For the claims after a takeover.
  double ReadCost = 0.1;      ///< Of a write; reads are cheaper.
  int HeadroomPercent = 10;   ///< A shard keeps this part of its amount free.
  int MinMovePercent = 2;     ///< Of the limit; smaller moves wait.
  Duration WantedAfter{1000}; ///< Demand must last so long to be written.
  /// A shard that received gives nothing for so long, so that allowance does
  /// not wander back and forth.
  Duration KeepReceived{10000};
  /// Givers wait a part of this that depends on the shard, so that not all of
  /// them write at once.
  Duration GiftSpread{1000};
  Duration RetryAfter{1000};    ///< After a call without success.
  Duration AnswerTimeout{5000}; ///< A request without a reply is repeated.
};

/// One store call for one team. The reply goes to `onReply` with the same id.
struct AllowanceRequest {
  uint64_t Id = 0;
  TeamId Team;
  protocol::StoreRequest Request;
};

/// The allowances of one shard for the term of one owner.
///
/// A former owner's compare-and-swap may still be on its way when the shard
/// changes owner, and would move allowance that the new owner already uses. The
/// new owner therefore first claims the row: the write changes the version, so
/// that older writes fail. Until then nothing is usable.
///
/// An amount to be given is not usable from before the request is sent. If the
/// answer is lost, the key is read back. While its version is unchanged the
/// write may still take effect, so it is repeated and both outcomes are
/// respected: the smaller one is usable.
class AllowanceLedger {
public:
  AllowanceLedger(protocol::ShardId Shard, Epoch Owner,
                  AllowanceOptions Options = {});

  /// The limit of \p Team by the document. A team without a record gets one
  /// from a planner.
  void setLimit(const TeamId &Team, const Resources &Limit, uint64_t Revision);
  /// The shards of the fleet by the document, and those of data centres that
  /// cannot be reached. A planner creates records and applies limits and shard
  /// lists; two planners do no harm, they only cause conflicts.
  void setFleet(bool Planner, std::set<protocol::ShardId> Shards,
                std::set<protocol::ShardId> Unreachable);
  /// Demand of all shards for the first split of \p Team's limit.
  void noteDemand(const TeamId &Team, ShardDemands Demand);
  /// The planner may remove the rows of \p Gone: nothing of the shard runs or
  /// can start any more.
  void retire(const protocol::ShardId &Gone);
  /// Content of a record, read or watched. Lower versions are ignored.
  void onRecord(const TeamId &Team, const AllowanceRecord &Record,
                protocol::StoreVersion Version, TimePoint Now);
  /// What the shard uses now, and needs in total for what is queued.
  void noteUse(const TeamId &Team, const Resources &Used,
               const Resources &Needed, TimePoint Now);

  /// What the shard may use in all. Zero without a claimed record.
  Resources usable(const TeamId &Team) const;
  /// How much of the noted use is above `usable`: to be stopped gracefully.
  Resources excess(const TeamId &Team) const;

  void tick(TimePoint Now, std::vector<AllowanceRequest> &Out);
  void onReply(uint64_t Id, const protocol::StoreReply &Reply, TimePoint Now);

  /// The known record, or null.
  const AllowanceRecord *record(const TeamId &Team) const;
  bool hasPending(const TeamId &Team) const;

private:
  struct Entry {
    std::optional<AllowanceRecord> Record;
    protocol::StoreVersion Version = 0;
    bool Absent = false; ///< The store has no such key.
    Resources Limit;
    uint64_t LimitRevision = 0;
    Resources Used;
    Resources Needed;
    ShardDemands Demand;
    TimePoint SeenAt;                   ///< When `Version` became known.
    std::optional<TimePoint> NeedSince; ///< Unmet demand.
    std::optional<TimePoint> ReceivedAt;
    /// A write that may take effect, and on which version.
    std::optional<AllowanceRecord> Proposed;
    protocol::StoreVersion Expected = 0;
    bool MayLand = false; ///< An attempt of `Proposed` had no answer.
    bool ReadNext = true; ///< The next call is a read.
    uint64_t Pending = 0;
    bool PendingIsRead = false;
    TimePoint SentAt;
    TimePoint NextCall;
  };

  Resources usableIn(const AllowanceRecord &Record) const;
  std::optional<AllowanceRecord> plan(const Entry &Item, TimePoint Now) const;
  std::optional<AllowanceRecord> planAsPlanner(const Entry &Item) const;
  std::optional<AllowanceRecord> planGift(const Entry &Item,
                                          TimePoint Now) const;
  std::optional<AllowanceRecord> planWanted(const Entry &Item,
                                            TimePoint Now) const;
  protocol::StoreRequest requestFor(const TeamId &Team,
                                    const Entry &Item) const;
  bool takeToken(double Cost, TimePoint Now);
  bool nextCall(Entry &Item, TimePoint Now);
  std::optional<AllowanceRecord> planOwnRow(const Entry &Item) const;
  Duration giftDelay(const Entry &Item) const;
  void onOutdatedWrite(Entry &Item, const protocol::StoreReply &Reply);
  void accept(Entry &Item, AllowanceRecord Record,
              protocol::StoreVersion Version, TimePoint Now);
  void onWritten(Entry &Item, const protocol::StoreReply &Reply, TimePoint Now);
  void onReadBack(Entry &Item, const protocol::StoreReply &Reply,
                  TimePoint Now);

  protocol::ShardId Shard;
  Epoch Owner;
  AllowanceOptions Options;
  bool Planner = false;
  std::set<protocol::ShardId> Shards;
  std::set<protocol::ShardId> Unreachable;
  std::set<protocol::ShardId> Retired;
  TeamId LastServed;
  std::map<TeamId, Entry> Teams;
  std::map<uint64_t, TeamId> Calls;
  uint64_t NextId = 1;
  double Tokens = 0;
  std::optional<TimePoint> TokensAt;
};

} // namespace teaselwalk::cluster
