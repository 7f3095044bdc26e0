#include "teaselwalk/cluster/plain_ownership.hpp"

#include <gtest/gtest.h>

using namespace teaselwalk;
using namespace teaselwalk::cluster;
using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

namespace {

const ShardId Shard{DataCentreId("brno-a"), 0};

/// One key under a lease. The store's clock may run faster than the processes'.
struct FakeStore {
  struct Lease {
    int64_t Until;
  };
  std::map<std::string, Lease> Leases;
  std::string Holder, HolderLease;
  protocol::StoreVersion Version = 0;
  bool Down = false;
  bool LoseNextWriteAnswer = false;

  bool alive(const std::string &Id, int64_t Now) const {
    auto It = Leases.find(Id);
    return It != Leases.end() && Now * 102 / 100 < It->second.Until;
  }
  StoreReply act(const StoreRequest &Request, int64_t Now) {
    StoreReply Reply;
    if (Down)
      return Reply;
    if (!HolderLease.empty() && !alive(HolderLease, Now))
      HolderLease.clear();
    Reply.Status = StoreStatus::Ok;
    Reply.Version = Version;
    switch (Request.Operation) {
    case StoreOperation::GrantLease:
      Reply.Value = "l" + std::to_string(Leases.size());
      Leases[Reply.Value] = {Now * 102 / 100 + Request.Ttl.count()};
      break;
    case StoreOperation::RenewLease:
      if (alive(Request.Lease, Now))
        Leases[Request.Lease].Until = Now * 102 / 100 + 15000;
      else
        Reply.Status = StoreStatus::NotFound;
      break;
    case StoreOperation::Write:
      if (!HolderLease.empty() || !alive(Request.Lease, Now)) {
        Reply.Status = StoreStatus::Conflict;
        break;
      }
      Holder = Request.Value;
      HolderLease = Request.Lease;
      Reply.Version = ++Version;
      if (std::exchange(LoseNextWriteAnswer, false))
        Reply.Status = StoreStatus::Lost;
      break;
    case StoreOperation::Remove:
      HolderLease.clear();
      break;
    default:
      Reply.Value = Holder;
      if (HolderLease.empty())
        Reply.Status = StoreStatus::NotFound;
      break;
    }
    return Reply;
  }
};

struct Fixture {
  FakeStore Store;
  std::vector<std::unique_ptr<PlainOwnership>> Owners;
  std::set<size_t> Paused;
  int64_t Ms = 0;

  explicit Fixture(size_t Count) {
    for (size_t I = 0; I < Count; ++I) {
      Owners.push_back(std::make_unique<PlainOwnership>(
          Shard, ProcessId("p" + std::to_string(I)), I));
      Owners[I]->setEndpoints({{EndpointId("e"), {"10.0.0.1", 1}}}, timeAt(0));
    }
  }
  size_t acting() const {
    size_t Count = 0;
    for (const auto &Owner : Owners)
      Count += Owner->hasAuthority(timeAt(Ms)) ? 1 : 0;
    return Count;
  }
  void run(int64_t For) {
    for (int64_t End = Ms + For; Ms < End; Ms += 100) {
      for (size_t I = 0; I < Owners.size(); ++I) {
        if (Paused.count(I) != 0)
          continue;
        std::vector<OwnershipCommand> Out;
        Owners[I]->tick(timeAt(Ms), Out);
        for (const OwnershipCommand &Command : Out)
          if (Command.Action == OwnershipAction::Store)
            Owners[I]->onStore(Command.Id, Store.act(Command.Request, Ms),
                               timeAt(Ms));
          else
            Owners[I]->onState(Command.Id, {}, timeAt(Ms));
      }
      ASSERT_LE(acting(), 1u) << Ms;
    }
  }
};

// Guards against starting while commands of the former owner may still arrive,
// before the task list was read, and during a store outage of 10 minutes.
TEST(PlainOwnership, WaitsAndStopsWithTheStore) {
  Fixture F(1);
  PlainOwnership &Owner = *F.Owners[0];
  Owner.setWish({true, false}, timeAt(0));
  F.run(17300);
  EXPECT_EQ(Owner.state(timeAt(F.Ms)), OwnershipState::Waiting);
  EXPECT_TRUE(Owner.isAttached(EndpointId("e"))); // Renewed meanwhile.
  F.run(2000);
  EXPECT_TRUE(Owner.mayStartOn(EndpointId("e"), timeAt(F.Ms)));
  F.Store.Down = true;
  F.run(15000);
  EXPECT_FALSE(Owner.hasAuthority(timeAt(F.Ms)));
  F.run(600000 - 15000);
  F.Store.Down = false;
  F.run(25000);
  EXPECT_TRUE(Owner.mayStartOn(EndpointId("e"), timeAt(F.Ms)));
}

// Guards against two owners when the first one is paused past its lease.
TEST(PlainOwnership, PausedOwnerLosesTheShard) {
  Fixture F(2);
  F.Owners[0]->setWish({true, false}, timeAt(0));
  F.run(20000);
  F.Paused.insert(0);
  F.Owners[1]->setWish({true, false}, timeAt(F.Ms));
  F.run(40000);
  EXPECT_TRUE(F.Owners[1]->hasAuthority(timeAt(F.Ms)));
  F.Paused.clear();
  F.run(20000);
  EXPECT_FALSE(F.Owners[0]->hasAuthority(timeAt(F.Ms)));
}

// Guards against a shard without owner when the answer to the creation of the
// key is lost, and after a hand-over.
TEST(PlainOwnership, LostAnswerAndHandOver) {
  Fixture F(2);
  F.Store.LoseNextWriteAnswer = true;
  F.Owners[0]->setWish({true, false}, timeAt(0));
  F.run(20000);
  EXPECT_TRUE(F.Owners[0]->hasAuthority(timeAt(F.Ms)));
  F.Owners[1]->setWish({true, false}, timeAt(F.Ms));
  F.Owners[0]->release(timeAt(F.Ms));
  F.run(22000);
  EXPECT_TRUE(F.Owners[0]->released());
  EXPECT_TRUE(F.Owners[1]->hasAuthority(timeAt(F.Ms)));
}

} // namespace
