#include "teaselwalk/cluster/allowance_ledger.hpp"

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
bool differsMuch(const Resources &A, const Resources &B) {
  for (int64_t Resources::*Field : ResourceFields) {
    int64_t Larger = std::max(A.*Field, B.*Field);
    if (4 * std::abs(A.*Field - B.*Field) > Larger)
      return true;
  }
  return false;
}

/// True if \p Part is above zero in every component in which \p Wanted is.
bool coversAllKinds(const Resources &Part, const Resources &Wanted) {
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

std::optional<AllowanceRecord> AllowanceLedger::plan(const Entry &Item,
                                                     TimePoint Now) const {
  std::optional<AllowanceRecord> Next;
  if (Item.Record)
    Next = planOwnRow(Item);
  if (!Next && Planner)
    Next = planAsPlanner(Item);
  if (!Next && Item.Record)
    Next = planGift(Item, Now);
  if (!Next && Item.Record)
    Next = planWanted(Item, Now);
  return Next;
}

std::optional<AllowanceRecord>
AllowanceLedger::planOwnRow(const Entry &Item) const {
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
  return ifChanged(withTargetMet(*Item.Record, Shard, Item.Used), *Item.Record);
}

std::optional<AllowanceRecord>
AllowanceLedger::planAsPlanner(const Entry &Item) const {
  if (Item.LimitRevision == 0 || Shards.empty())
    return std::nullopt;
  if (!Item.Record) {
    if (!Item.Absent)
      return std::nullopt;
    return createAllowances(Item.Limit, Item.LimitRevision, Shards,
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

Duration AllowanceLedger::giftDelay(const Entry &Item) const {
  uint64_t Hash =
      XXH64(Shard.DataCentre.str().data(), Shard.DataCentre.str().size(),
            Item.Version * 64 + Shard.Number);
  auto Spread = static_cast<uint64_t>(Options.GiftSpread.count());
  return Duration(static_cast<int64_t>(Hash % (Spread + 1)));
}

std::optional<AllowanceRecord> AllowanceLedger::planGift(const Entry &Item,
                                                         TimePoint Now) const {
  const AllowanceRecord &Record = *Item.Record;
  auto Own = Record.Rows.find(Shard);
  bool Waits =
      Now < Item.SeenAt + giftDelay(Item) ||
      (Item.ReceivedAt && Now - *Item.ReceivedAt < Options.KeepReceived);
  if (Own == Record.Rows.end() || Own->second.Holder != Owner || Waits)
    return std::nullopt;
  Resources Spare = larger(
      Resources(), usableIn(Record) - larger(Item.Used, Item.Needed) -
                       percentOf(Own->second.Amount, Options.HeadroomPercent));
  const protocol::ShardId *Taker = nullptr;
  Resources Gift;
  double Best = 0;
  for (const auto &[Other, Row] : Record.Rows) {
    double Need = dominantShare(Row.Wanted, Record.Limit);
    if (Other == Shard || Unreachable.count(Other) != 0 || Need <= Best)
      continue;
    Resources Part = smaller(Row.Wanted, Spare);
    bool Small = 100 * dominantShare(Part, Record.Limit) <
                 static_cast<double>(Options.MinMovePercent);
    if (!coversAllKinds(Part, Row.Wanted) || (Small && Part != Row.Wanted))
      continue;
    Taker = &Other;
    Gift = Part;
    Best = Need;
  }
  if (!Taker)
    return std::nullopt;
  return withMove(Record, Shard, *Taker, Gift);
}

std::optional<AllowanceRecord>
AllowanceLedger::planWanted(const Entry &Item, TimePoint Now) const {
  auto Own = Item.Record->Rows.find(Shard);
  if (Own == Item.Record->Rows.end() || Own->second.Holder != Owner)
    return std::nullopt;
  Resources Unmet =
      smaller(larger(Resources(), Item.Needed - usableIn(*Item.Record)),
              Item.Record->Limit);
  bool Lasting = Item.NeedSince && Now - *Item.NeedSince >= Options.WantedAfter;
  if (Unmet != Resources() && !Lasting)
    return std::nullopt;
  if (!differsMuch(Unmet, Own->second.Wanted))
    return std::nullopt;
  AllowanceRecord Next = *Item.Record;
  Next.Rows[Shard].Wanted = Unmet;
  return Next;
}

} // namespace teaselwalk::cluster
