#include "teaselwalk/cluster/shard_allowances.hpp"

#include "teaselwalk/base/error.hpp"

#include "property_test.hpp"

#include <random>

using namespace teaselwalk;
using namespace teaselwalk::cluster;
using protocol::ShardId;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

namespace {

const TeamId Team("north");

ShardId shard(uint32_t N) {
  return {DataCentreId("dc" + std::to_string(N)), 0};
}
Resources amount(int64_t N) { return {1000 * N, 100 * N, 0, N, N}; }

std::set<ShardId> shards(uint32_t Count) {
  std::set<ShardId> Result;
  for (uint32_t I = 0; I < Count; ++I)
    Result.insert(shard(I));
  return Result;
}

/// Store with a single key that supports compare-and-swap.
struct FakeKey {
  std::optional<AllowanceRecord> Record;
  protocol::StoreVersion Version = 0;
  int Writes = 0;

  StoreReply act(const StoreRequest &Request) {
    StoreReply Reply;
    Reply.Version = Version;
    if (Request.Operation == protocol::StoreOperation::Read) {
      Reply.Status = Record ? StoreStatus::Ok : StoreStatus::NotFound;
      if (Record)
        Reply.Value = encodeAllowance(*Record);
      return Reply;
    }
    Reply.Status = StoreStatus::Conflict;
    if (Request.Expected == Version) {
      Record = decodeAllowance(Request.Value);
      Reply.Version = ++Version;
      Reply.Status = StoreStatus::Ok;
      ++Writes;
    }
    return Reply;
  }
};

// Guards against an encoding that loses a field: other processes would then
// read another record than the one that was written.
TEST(Allowance, RecordSurvivesEncoding) {
  AllowanceRecord Record =
      createAllowanceRecord(amount(100), 7, shards(3), {{shard(0), amount(3)}});
  Record.Rows[shard(1)].Holder = {4, ProcessId("p")};
  Record.Rows[shard(1)].Wanted = amount(2);
  Record.Rows[shard(0)].Target = amount(1);
  EXPECT_TRUE(decodeAllowance(encodeAllowance(Record)) == Record);
  EXPECT_THROW(decodeAllowance("{}"), InvalidInput);
}

// Guards against a first split that loses a part of the limit by rounding or
// ignores the demand of the shards.
TEST(Allowance, FirstSplitUsesTheWholeLimit) {
  AllowanceRecord Record =
      createAllowanceRecord(amount(100), 1, shards(3),
                            {{shard(0), amount(1)}, {shard(1), amount(2)}});
  EXPECT_EQ(Record.total(), amount(100));
  EXPECT_GT(Record.Rows[shard(1)].Amount.Slots,
            Record.Rows[shard(0)].Amount.Slots);
  EXPECT_EQ(createAllowanceRecord(amount(100), 1, shards(7), {}).total(),
            amount(100));
}

// Guards against a lowered limit that is not met by the reachable data centres
// as far as possible, and against redistributing the allowance that an isolated
// data centre may still use.
TEST(Allowance, LoweringCutsReachableShardsFirst) {
  AllowanceRecord Record = createAllowanceRecord(amount(90), 1, shards(3), {});
  std::set<ShardId> Isolated{shard(0)};
  Record = withLimit(Record, amount(45), 2, Isolated);
  EXPECT_EQ(Record.totalTarget(), amount(45));
  EXPECT_EQ(Record.Rows[shard(0)].Target, amount(30));
  EXPECT_EQ(Record.total(), amount(90));
  Record = withAmountLowered(Record, shard(1), {});
  Record = withAmountLowered(Record, shard(2), {});
  EXPECT_EQ(Record.total(), amount(45));
  // The limit is below the amount of the isolated shard, whose owner lowers its
  // use once it is reachable again.
  Record = withLimit(Record, amount(20), 3, Isolated);
  EXPECT_EQ(Record.Rows[shard(0)].Target, amount(20));
  EXPECT_EQ(Record.Rows[shard(1)].Target, Resources());
  Record = withAmountLowered(
      withAmountLowered(withAmountLowered(Record, shard(0), {}), shard(1), {}),
      shard(2), {});
  EXPECT_EQ(Record.total(), amount(20));
  Record = withLimit(Record, amount(50), 4, {});
  EXPECT_EQ(Record.total(), amount(50));
  EXPECT_EQ(withoutShard(Record, shard(0), {}).total(), amount(50));
}

// Guards against a shard that still uses an amount while the write that
// transfers it is in flight, or after the reply to that write was lost.
TEST(Allowance, TransferredAmountIsNotUsableBeforeTheSwap) {
  FakeKey Key;
  Key.Record = createAllowanceRecord(amount(100), 1, shards(2), {});
  Key.Version = 1;
  ShardAllowances Allowances(shard(0), {1, ProcessId("p")});
  std::vector<AllowanceRequest> Out;
  auto Tick = [&](int64_t Ms) {
    Out.clear();
    Allowances.tick(timeAt(Ms), Out);
    return Out.size();
  };
  Allowances.reportUse(Team, amount(1), amount(10), timeAt(0));
  EXPECT_EQ(Allowances.usable(Team), Resources()); // Not claimed yet.
  for (int64_t Ms = 0; Ms < 1000; Ms += 100)
    if (Tick(Ms))
      Allowances.onReply(Out[0].Id, Key.act(Out[0].Request), timeAt(Ms));
  EXPECT_EQ(Allowances.usable(Team), amount(50));
  Key.Record->Rows[shard(1)].Wanted = amount(20);
  Allowances.onRecord(Team, *Key.Record, ++Key.Version, timeAt(20000));
  ASSERT_EQ(Tick(21100), 1u);
  EXPECT_EQ(Allowances.usable(Team), amount(30));
  StoreRequest Transfer = Out[0].Request;
  Allowances.onReply(Out[0].Id, StoreReply(), timeAt(21200)); // Reply lost.
  ASSERT_EQ(Tick(21300), 1u);
  Allowances.onReply(Out[0].Id, Key.act(Out[0].Request), timeAt(21400));
  EXPECT_EQ(Allowances.usable(Team), amount(30));
  ASSERT_EQ(Tick(21500), 1u);
  EXPECT_EQ(Out[0].Request.Value, Transfer.Value);
  // The first attempt takes effect late, so the second one gets a conflict.
  Key.act(Transfer);
  Allowances.onReply(Out[0].Id, Key.act(Out[0].Request), timeAt(21600));
  ASSERT_EQ(Tick(21700), 1u);
  Allowances.onReply(Out[0].Id, Key.act(Out[0].Request), timeAt(21800));
  EXPECT_FALSE(Allowances.hasUnresolvedWrite(Team));
  EXPECT_EQ(Allowances.usable(Team), amount(30));
  EXPECT_EQ(Key.Record->Rows[shard(1)].Amount, amount(70));
}

// Guards against transfers that oscillate between two shards under changing
// demand, and thereby use up the store's write rate.
TEST(Allowance, TransfersAreFewUnderChangingDemand) {
  FakeKey Key;
  Key.Record = createAllowanceRecord(amount(100), 1, shards(2), {});
  Key.Version = 1;
  std::vector<ShardAllowances> AllowancesByShard{
      {shard(0), {1, ProcessId("p")}}, {shard(1), {1, ProcessId("q")}}};
  for (int64_t Ms = 0; Ms < 60000; Ms += 100)
    for (size_t I = 0; I < 2; ++I) {
      int64_t Demand = (Ms / 500 + static_cast<int64_t>(I)) % 2 == 0 ? 55 : 5;
      AllowancesByShard[I].reportUse(Team, amount(5), amount(Demand),
                                     timeAt(Ms));
      std::vector<AllowanceRequest> Out;
      AllowancesByShard[I].tick(timeAt(Ms), Out);
      for (const AllowanceRequest &Call : Out)
        AllowancesByShard[I].onReply(Call.Id, Key.act(Call.Request),
                                     timeAt(Ms));
      AllowancesByShard[I].onRecord(Team, *Key.Record, Key.Version, timeAt(Ms));
    }
  EXPECT_LE(Key.Writes, 4);
}

// --- Property: conflicting writes, lost replies, changes of owner -----------

/// Three shards of one team under random faults: lost and delayed writes,
/// isolated data centres, changes of owner and of the limit.
struct AllowanceSimulation {
  std::mt19937 Random;
  FakeKey Key;
  std::vector<ShardAllowances> AllowancesByShard;
  struct Delayed {
    int64_t At;
    StoreRequest Request;
  };
  std::vector<Delayed> Late;
  std::set<size_t> Isolated;
  uint64_t Counter = 1;
  int64_t Limit = 100;

  explicit AllowanceSimulation(uint32_t Seed) : Random(Seed) {
    for (uint32_t I = 0; I < 3; ++I)
      AllowancesByShard.push_back(makeAllowances(I));
  }
  bool chance(uint32_t Percent) { return Random() % 100 < Percent; }

  ShardAllowances makeAllowances(uint32_t I) {
    AllowanceOptions Options;
    Options.MinHoldTime = Duration(500);
    Options.MaxTransferDelay = Duration(200);
    ShardAllowances Allowances(shard(I), {Counter++, ProcessId("p")}, Options);
    Allowances.setLimit(Team, amount(Limit), Counter);
    return Allowances;
  }

  void call(ShardAllowances &Allowances, size_t I, const AllowanceRequest &Call,
            int64_t Now) {
    StoreReply Reply;
    if (Isolated.count(I) != 0) {
      Reply.Status = StoreStatus::NotSent;
    } else if (chance(15)) {
      Late.push_back(
          {Now + static_cast<int64_t>(Random() % 6000), Call.Request});
    } else if (!chance(10)) {
      Reply = Key.act(Call.Request);
      if (chance(15))
        Reply = StoreReply(); // Took effect, answer lost.
    }
    Allowances.onReply(Call.Id, Reply, timeAt(Now));
  }

  void stepShard(uint32_t I, int64_t Now) {
    if (chance(1)) // A new owner; writes of the former one may arrive later.
      AllowancesByShard[I] = makeAllowances(I);
    ShardAllowances &Allowances = AllowancesByShard[I];
    std::set<ShardId> Silent;
    for (size_t Other : Isolated)
      Silent.insert(shard(static_cast<uint32_t>(Other)));
    Allowances.setShards(true, shards(3), Silent);
    Allowances.setLimit(Team, amount(Limit), Counter);
    if (chance(20)) {
      Resources Used = amount(static_cast<int64_t>(Random() % 30));
      Allowances.reportUse(Team, componentMin(Used, Allowances.usable(Team)),
                           amount(static_cast<int64_t>(Random() % 90)),
                           timeAt(Now));
    }
    std::vector<AllowanceRequest> Out;
    Allowances.tick(timeAt(Now), Out);
    for (const AllowanceRequest &Item : Out)
      call(Allowances, I, Item, Now);
    if (chance(30) && Key.Record && Isolated.count(I) == 0)
      Allowances.onRecord(Team, *Key.Record, Key.Version, timeAt(Now));
  }

  void step(int64_t Now) {
    for (const Delayed &Item : Late)
      if (Item.At <= Now && Item.At > Now - 100)
        Key.act(Item.Request);
    if (chance(1)) {
      Limit = 40 + static_cast<int64_t>(Random() % 100);
      ++Counter;
    }
    if (chance(1))
      Isolated =
          chance(50) ? std::set<size_t>{Random() % 3} : std::set<size_t>{};
    for (uint32_t I = 0; I < 3; ++I)
      stepShard(I, Now);
  }

  /// True if no owner may use more than the amount in its row, so that the sum
  /// of what all may use is at most the total.
  bool rowsRespected() const {
    for (uint32_t I = 0; I < 3; ++I) {
      Resources Usable = AllowancesByShard[I].usable(Team);
      if (Usable != Resources() &&
          !fits(Usable, Key.Record->Rows.at(shard(I)).Amount))
        return false;
    }
    return true;
  }
};

// Guards against a sum of allowances above the limit, which could come about by
// two shards that transfer at the same time, lost replies, writes that take
// effect late or come from a former owner, a limit that falls and rises, or an
// isolated data centre.
TEST(Allowance, SumNeverExceedsTheLimit) {
  checkProperty(20261207, 300, [] {
    AllowanceSimulation Simulation(*within<uint32_t>(0, 1U << 30U));
    Resources Before;
    int Transfers = 0;
    for (int64_t Now = 0; Now < 60000; Now += 100) {
      Simulation.step(Now);
      if (!Simulation.Key.Record)
        continue;
      Resources Total = Simulation.Key.Record->total();
      RC_ASSERT(
          fits(Total, componentMax(Simulation.Key.Record->Limit, Before)));
      RC_ASSERT(Simulation.rowsRespected());
      Transfers += Total == Before ? 0 : 1;
      Before = Total;
    }
    RC_ASSERT(Simulation.Key.Writes > 3);
  });
}

} // namespace
