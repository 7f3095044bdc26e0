#include "teaselwalk/cluster/shard_allowances.hpp"

#include <xxhash.h>

#include <algorithm>

/// Planning of the changes that one shard makes to the allowance records.
namespace teaselwalk::cluster {
namespace {

Resources percentOf(const Resources &Value, int Percent) {
  Resources Result;
  for (int64_t Resources::*Field : ResourceFields)
    Result.*Field = Value.*Field * Percent / 100;
  return Result;
}

/// True if a component of \p A and \p B differs by more than a quarter of the
/// larger value.
bool differsByOverQuarter(const Resources &A, const Resources &B) {
  for (int64_t Resources::*Field : ResourceFields) {
    int64_t Larger = std::max(A.*Field, B.*Field);
    if (4 * std::abs(A.*Field - B.*Field) > Larger)
      return true;
  }
  return false;
}

/// True if \p Part is above zero in every component in which \p Wanted is.
bool coversAllComponents(const Resources &Part, const Resources &Wanted) {
  for (int64_t Resources::*Field : ResourceFields)
    if (Wanted.*Field > 0 && Part.*Field <= 0)
      return false;
  return true;
}

std::optional<AllowanceRecord> ifChanged(AllowanceRecord Next,
                                         const AllowanceRecord &Before) {
  if (Next == Before)
    return std::nullopt;
  return Next;
}

} // namespace

std::optional<AllowanceRecord> ShardAllowances::plan(const Entry &Item,
                                                     TimePoint Now) const {
  std::optional<AllowanceRecord> Next;
  if (Item.Record)
    Next = planOwnRow(Item);
  if (!Next && Planner)
    Next = planAsPlanner(Item);
  if (!Next && Item.Record)
    Next = planTransfer(Item, Now);
  if (!Next && Item.Record)
    Next = planRequest(Item, Now);
  return Next;
}

std::optional<AllowanceRecord>
ShardAllowances::planOwnRow(const Entry &Item) const {
  auto Row = Item.Record->Rows.find(Shard);
  if (Row == Item.Record->Rows.end())
    return std::nullopt;
  if (Row->second.Holder != Owner) {
    // Rows are claimed before they are needed, so that the first quick call of
    // a team does not wait for the store. Half of the token bucket is kept for
    // rows that are needed now.
    bool IsNeeded = Item.Used != Resources() || Item.Needed != Resources();
    if (!IsNeeded && Tokens < Options.WriteBurst / 2)
      return std::nullopt;
    return withClaim(*Item.Record, Shard, Owner);
  }
  return ifChanged(withAmountLowered(*Item.Record, Shard, Item.Used),
                   *Item.Record);
}

std::optional<AllowanceRecord>
ShardAllowances::planAsPlanner(const Entry &Item) const {
  if (Item.LimitRevision == 0 || Shards.empty())
    return std::nullopt;
  if (!Item.Record) {
    if (!Item.IsAbsent)
      return std::nullopt;
    return createAllowanceRecord(Item.Limit, Item.LimitRevision, Shards,
                                 Item.Demand);
  }
  AllowanceRecord Next = *Item.Record;
  for (const protocol::ShardId &Listed : Shards)
    Next = withShard(std::move(Next), Listed);
  for (const protocol::ShardId &Gone : Retired)
    if (Shards.count(Gone) == 0)
      Next = withoutShard(std::move(Next), Gone, Unreachable);
  bool Newer = Item.LimitRevision >= Next.LimitRevision;
  Resources Limit = Newer ? Item.Limit : Next.Limit;
  uint64_t Revision = Newer ? Item.LimitRevision : Next.LimitRevision;
  return ifChanged(withLimit(std::move(Next), Limit, Revision, Unreachable),
                   *Item.Record);
}

Duration ShardAllowances::transferDelay(const Entry &Item) const {
  uint64_t Hash =
      XXH64(Shard.DataCentre.str().data(), Shard.DataCentre.str().size(),
            Item.Version * 64 + Shard.Number);
  auto Spread = static_cast<uint64_t>(Options.MaxTransferDelay.count());
  return Duration(static_cast<int64_t>(Hash % (Spread + 1)));
}

std::optional<AllowanceRecord>
ShardAllowances::planTransfer(const Entry &Item, TimePoint Now) const {
  const AllowanceRecord &Record = *Item.Record;
  auto Own = Record.Rows.find(Shard);
  bool Waits =
      Now < Item.SeenAt + transferDelay(Item) ||
      (Item.ReceivedAt && Now - *Item.ReceivedAt < Options.MinHoldTime);
  if (Own == Record.Rows.end() || Own->second.Holder != Owner || Waits)
    return std::nullopt;
  Resources Spare = componentMax(
      Resources(), usableIn(Record) - componentMax(Item.Used, Item.Needed) -
                       percentOf(Own->second.Amount, Options.HeadroomPercent));
  const protocol::ShardId *Recipient = nullptr;
  Resources Transferred;
  double Best = 0;
  for (const auto &[Other, Row] : Record.Rows) {
    double Need = dominantShare(Row.Wanted, Record.Limit);
    if (Other == Shard || Unreachable.count(Other) != 0 || Need <= Best)
      continue;
    Resources Part = componentMin(Row.Wanted, Spare);
    bool Small = 100 * dominantShare(Part, Record.Limit) <
                 static_cast<double>(Options.MinTransferPercent);
    if (!coversAllComponents(Part, Row.Wanted) || (Small && Part != Row.Wanted))
      continue;
    Recipient = &Other;
    Transferred = Part;
    Best = Need;
  }
  if (!Recipient)
    return std::nullopt;
  return withTransfer(Record, Shard, *Recipient, Transferred);
}

std::optional<AllowanceRecord>
ShardAllowances::planRequest(const Entry &Item, TimePoint Now) const {
  auto Own = Item.Record->Rows.find(Shard);
  if (Own == Item.Record->Rows.end() || Own->second.Holder != Owner)
    return std::nullopt;
  Resources Unmet = componentMin(
      componentMax(Resources(), Item.Needed - usableIn(*Item.Record)),
      Item.Record->Limit);
  bool Lasting =
      Item.UnmetSince && Now - *Item.UnmetSince >= Options.MinDemandAge;
  if (Unmet != Resources() && !Lasting)
    return std::nullopt;
  if (!differsByOverQuarter(Unmet, Own->second.Wanted))
    return std::nullopt;
  AllowanceRecord Next = *Item.Record;
  Next.Rows[Shard].Wanted = Unmet;
  return Next;
}

} // namespace teaselwalk::cluster
