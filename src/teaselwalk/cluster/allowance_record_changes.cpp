#include "teaselwalk/cluster/allowance_record.hpp"

#include "teaselwalk/base/error.hpp"

#include <algorithm>
#include <vector>

/// Splitting of limits, and the changes to allowance records.
namespace teaselwalk::cluster {
namespace {

using protocol::ShardId;
using Field = int64_t Resources::*;

/// Splits \p Amount in proportion to \p Weights, or equally if all of them are
/// zero. The parts add up to \p Amount. If \p Amount is at most the sum of the
/// weights, no part exceeds its weight.
std::vector<int64_t> split(int64_t Amount,
                           const std::vector<int64_t> &Weights) {
  int64_t Sum = 0;
  for (int64_t Weight : Weights)
    Sum += Weight;
  auto Count = static_cast<int64_t>(Weights.size());
  std::vector<int64_t> Parts;
  int64_t Left = Amount;
  for (int64_t Weight : Weights) {
    // Floating point, because the product of two sums of megabytes may overflow
    // 64 bits. The loop below distributes what is left over by rounding.
    double Ratio = Sum > 0
                       ? static_cast<double>(Weight) / static_cast<double>(Sum)
                       : 1.0 / static_cast<double>(Count);
    auto Part = static_cast<int64_t>(static_cast<double>(Amount) * Ratio);
    if (Sum >= Amount && Sum > 0)
      Part = std::min(Part, Weight);
    Part = std::min(Part, Left);
    Left -= Part;
    Parts.push_back(Part);
  }
  for (size_t I = 0; I < Parts.size() && Left > 0; ++I) {
    int64_t Room = Sum > 0 && Sum >= Amount ? Weights[I] - Parts[I] : Left;
    int64_t Step = std::min(Room, Left);
    Parts[I] += Step;
    Left -= Step;
  }
  return Parts;
}

struct RowRef {
  AllowanceRow *Row;
  bool Reachable;
};

/// Lowers targets in one component by \p Excess in total, those of reachable
/// shards first.
void lowerTargets(std::vector<RowRef> &Rows, Field Component, int64_t Excess) {
  for (bool Reachable : {true, false}) {
    std::vector<AllowanceRow *> Chosen;
    std::vector<int64_t> Weights;
    int64_t Sum = 0;
    for (RowRef &Ref : Rows)
      if (Ref.Reachable == Reachable) {
        Chosen.push_back(Ref.Row);
        Weights.push_back(Ref.Row->Target.*Component);
        Sum += Weights.back();
      }
    int64_t Cut = std::min(Excess, Sum);
    std::vector<int64_t> Parts = split(Cut, Weights);
    for (size_t I = 0; I < Chosen.size() && Cut > 0; ++I)
      Chosen[I]->Target.*Component -= Parts[I];
    Excess -= Cut;
  }
}

/// Raises targets in one component towards their amounts, by at most \p Room in
/// total. Returns the part of \p Room that is left.
int64_t restoreTargets(std::vector<RowRef> &Rows, Field Component,
                       int64_t Room) {
  for (bool Reachable : {true, false})
    for (RowRef &Ref : Rows) {
      if (Ref.Reachable != Reachable)
        continue;
      int64_t Step = std::min(Room, Ref.Row->Amount.*Component -
                                        Ref.Row->Target.*Component);
      Ref.Row->Target.*Component += Step;
      Room -= Step;
    }
  return Room;
}

/// Raises amounts and targets of reachable shards in one component by \p Room
/// in total, in proportion to what they requested.
void raiseAmounts(std::vector<RowRef> &Rows, Field Component, int64_t Room) {
  std::vector<AllowanceRow *> Chosen;
  std::vector<int64_t> Weights;
  for (RowRef &Ref : Rows)
    if (Ref.Reachable) {
      Chosen.push_back(Ref.Row);
      Weights.push_back(Ref.Row->Wanted.*Component);
    }
  std::vector<int64_t> Parts = split(Room, Weights);
  for (size_t I = 0; I < Chosen.size(); ++I) {
    Chosen[I]->Amount.*Component += Parts[I];
    Chosen[I]->Target.*Component += Parts[I];
    Chosen[I]->Wanted.*Component =
        std::max<int64_t>(0, Chosen[I]->Wanted.*Component - Parts[I]);
  }
}

/// Lowers or raises targets so that their sum meets the limit, then raises
/// amounts if their sum is below the limit.
void fitToLimit(AllowanceRecord &Record, const std::set<ShardId> &Unreachable) {
  std::vector<RowRef> Rows;
  for (auto &[Shard, Row] : Record.Rows)
    Rows.push_back({&Row, Unreachable.count(Shard) == 0});
  for (Field Component : ResourceFields) {
    int64_t Limit = Record.Limit.*Component;
    int64_t Target = Record.totalTarget().*Component;
    if (Target > Limit)
      lowerTargets(Rows, Component, Target - Limit);
    else if (Target < Limit)
      restoreTargets(Rows, Component, Limit - Target);
    int64_t Room = Limit - Record.total().*Component;
    if (Room > 0)
      raiseAmounts(Rows, Component, Room);
  }
}

} // namespace

std::map<ShardId, Resources> splitByDemand(const Resources &Amount,
                                           const std::set<ShardId> &Shards,
                                           const ShardDemands &Demand) {
  std::map<ShardId, Resources> Result;
  for (Field Component : ResourceFields) {
    std::vector<int64_t> Weights;
    for (const ShardId &Shard : Shards) {
      auto It = Demand.find(Shard);
      Weights.push_back(
          It == Demand.end() ? 0 : std::max<int64_t>(0, It->second.*Component));
    }
    std::vector<int64_t> Parts = split(Amount.*Component, Weights);
    size_t I = 0;
    for (const ShardId &Shard : Shards)
      Result[Shard].*Component = Parts[I++];
  }
  return Result;
}

AllowanceRecord createAllowanceRecord(const Resources &Limit, uint64_t Revision,
                                      const std::set<ShardId> &Shards,
                                      const ShardDemands &Demand) {
  AllowanceRecord Record;
  Record.Limit = Limit;
  Record.LimitRevision = Revision;
  for (auto &[Shard, Part] : splitByDemand(Limit, Shards, Demand))
    Record.Rows[Shard] = {Part, Part, {}, {}};
  return Record;
}

AllowanceRecord withLimit(AllowanceRecord Record, const Resources &Limit,
                          uint64_t Revision,
                          const std::set<ShardId> &Unreachable) {
  if (Revision < Record.LimitRevision)
    return Record;
  Record.Limit = Limit;
  Record.LimitRevision = Revision;
  fitToLimit(Record, Unreachable);
  return Record;
}

AllowanceRecord withShard(AllowanceRecord Record, const ShardId &Shard) {
  Record.Rows.emplace(Shard, AllowanceRow());
  return Record;
}

AllowanceRecord withoutShard(AllowanceRecord Record, const ShardId &Shard,
                             const std::set<ShardId> &Unreachable) {
  Record.Rows.erase(Shard);
  fitToLimit(Record, Unreachable);
  return Record;
}

AllowanceRecord withClaim(AllowanceRecord Record, const ShardId &Shard,
                          const Epoch &Holder) {
  auto It = Record.Rows.find(Shard);
  if (It != Record.Rows.end())
    It->second.Holder = Holder;
  return Record;
}

AllowanceRecord withAmountLowered(AllowanceRecord Record, const ShardId &Shard,
                                  const Resources &Used) {
  auto It = Record.Rows.find(Shard);
  if (It != Record.Rows.end()) {
    AllowanceRow &Row = It->second;
    Row.Amount = componentMin(Row.Amount, componentMax(Row.Target, Used));
  }
  return Record;
}

AllowanceRecord withTransfer(AllowanceRecord Record, const ShardId &From,
                             const ShardId &To, const Resources &Amount) {
  auto Donor = Record.Rows.find(From);
  auto Recipient = Record.Rows.find(To);
  if (Donor == Record.Rows.end() || Recipient == Record.Rows.end() ||
      From == To)
    throw InvalidInput("shard",
                       "a transfer needs two different shards that have a row");
  if (hasNegative(Amount) || !fits(Amount, Donor->second.Target))
    throw InvalidInput("amount", "must be from 0 to the donor's target");
  Donor->second.Amount -= Amount;
  Donor->second.Target -= Amount;
  Recipient->second.Amount += Amount;
  Recipient->second.Target += Amount;
  Recipient->second.Wanted =
      componentMax(Resources(), Recipient->second.Wanted - Amount);
  return Record;
}

} // namespace teaselwalk::cluster
