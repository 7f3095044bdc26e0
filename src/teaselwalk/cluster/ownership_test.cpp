#include "teaselwalk/cluster/shard_ownership.hpp"

#include <gtest/gtest.h>

using namespace teaselwalk;
using namespace teaselwalk::cluster;

namespace {

const ShardId Shard{DataCentreId("brno-a"), 0};

std::vector<ShardEndpoint> endpoints(int Count) {
  std::vector<ShardEndpoint> List;
  List.reserve(static_cast<size_t>(Count));
  for (int I = 0; I < Count; ++I)
    List.push_back({EndpointId("e" + std::to_string(I)),
                    {"10.0.0." + std::to_string(I), 80}});
  return List;
}

/// One process that is the preferred owner. Its commands are answered at once,
/// except by the endpoints in `Silent`, which never answer.
struct Fixture {
  ShardOwnership Owner{Shard, ProcessId("p"), 1};
  std::set<EndpointId> Silent;
  std::vector<OwnershipCommand> Sent;
  int64_t Ms = 0;

  explicit Fixture(int Count) {
    Owner.setEndpoints(endpoints(Count), timeAt(0));
    Owner.setOwnershipHint({true, false}, timeAt(0));
  }
  TimePoint now() const { return timeAt(Ms); }
  void run(int64_t For) {
    for (int64_t End = Ms + For; Ms < End; Ms += 100) {
      std::vector<OwnershipCommand> Out;
      Owner.tick(now(), Out);
      for (const OwnershipCommand &Command : Out) {
        Sent.push_back(Command);
        if (Silent.count(Command.Endpoint) != 0)
          Owner.onNoAnswer(Command.Id, protocol::Delivery::Lost, now());
        else
          Owner.onEndpointState(Command.Id, {Command.Owner}, now());
      }
    }
  }
};

// Guards against starting tasks while the former owner may still have
// authority, that is, until 5,000 ms plus 2% after two thirds of the endpoints
// were attached.
TEST(ShardOwnership, WaitsForTheFormerOwner) {
  Fixture F(3);
  F.run(100);
  EXPECT_EQ(F.Owner.state(F.now()), OwnershipState::Waiting);
  F.run(4900);
  EXPECT_FALSE(F.Owner.hasAuthority(timeAt(5100)));
  F.run(300);
  EXPECT_EQ(F.Owner.state(F.now()), OwnershipState::Holding);
  EXPECT_TRUE(F.Owner.mayStartOn(EndpointId("e0"), F.now()));
}

// Guards against a process that continues to act as owner after it was paused.
TEST(ShardOwnership, PausedOwnerHasNoAuthority) {
  Fixture F(3);
  F.run(8000);
  ASSERT_TRUE(F.Owner.hasAuthority(F.now()));
  EXPECT_FALSE(F.Owner.hasAuthority(F.now() + Duration(60000)));
  F.Ms += 60000;
  F.run(1000);
  EXPECT_FALSE(F.Owner.hasAuthority(F.now()));
  F.run(6000);
  EXPECT_TRUE(F.Owner.hasAuthority(F.now()));
}

// Guards against counting an endpoint from the arrival of its answer. The
// answer may have been delayed, and the endpoint may have accepted a new
// owner's epoch right after sending it. Authority must count from the send time
// of the command.
TEST(ShardOwnership, AuthorityCountsFromTheSendTime) {
  ShardOwnership Owner(Shard, ProcessId("p"), 1);
  Owner.setEndpoints(endpoints(1), timeAt(0));
  Owner.setOwnershipHint({true, false}, timeAt(0));
  std::vector<OwnershipCommand> Out;
  for (int64_t Ms = 0; Ms <= 6000; Ms += 100) {
    Out.clear();
    Owner.tick(timeAt(Ms), Out);
    for (const OwnershipCommand &Command : Out)
      Owner.onEndpointState(Command.Id, {Command.Owner}, timeAt(Ms));
  }
  Out.clear();
  Owner.tick(timeAt(7000), Out);
  ASSERT_EQ(Out.size(), 1u);
  Owner.onEndpointState(Out[0].Id, {Out[0].Owner}, timeAt(9000));
  EXPECT_EQ(Owner.authorityEnd(timeAt(9000)), timeAt(12000));
}

// Guards against renewals that keep tasks on an unreachable endpoint running
// for ever, and against restarting them before their lease has certainly
// expired.
TEST(ShardOwnership, StopsRenewingASilentEndpoint) {
  Fixture F(4);
  F.run(8000);
  EndpointId Lost("e1");
  F.Silent.insert(Lost);
  F.run(15000);
  EXPECT_EQ(F.Owner.unreachable(F.now()), std::vector<EndpointId>{Lost});
  EXPECT_TRUE(F.Owner.hasAuthority(F.now()));
  EXPECT_FALSE(F.Owner.mayStartOn(Lost, F.now()));
  TimePoint End = *F.Owner.leasesEndBy(Lost);
  F.Sent.clear();
  F.run(10000);
  EXPECT_EQ(*F.Owner.leasesEndBy(Lost), End);
  size_t Probes = 0;
  for (const OwnershipCommand &Command : F.Sent)
    if (Command.Endpoint == Lost) {
      EXPECT_EQ(Command.Action, OwnershipAction::Probe);
      ++Probes;
    }
  EXPECT_EQ(Probes, 5u);
  EXPECT_GE(End, timeAt(17000) + withDrift(Duration(30000)));
  F.Silent.clear();
  F.run(3000);
  EXPECT_TRUE(F.Owner.mayStartOn(Lost, F.now()));
}

// Guards against two processes that take the shard from each other again and
// again without delay.
TEST(ShardOwnership, RefusalGivesUpWithGrowingDelay) {
  Fixture F(3);
  F.run(8000);
  std::vector<int64_t> Delays;
  for (int Round = 0; Round < 3; ++Round) {
    Epoch Mine = F.Owner.epoch();
    Epoch Other{Mine.Counter + 1, ProcessId("q")};
    F.Owner.onRunRefused(EndpointId("e0"), {Other}, F.now());
    EXPECT_EQ(F.Owner.state(F.now()), OwnershipState::Lost);
    EXPECT_FALSE(F.Owner.hasAuthority(F.now()));
    int64_t Start = F.Ms;
    while (F.Owner.state(F.now()) == OwnershipState::Lost)
      F.run(100);
    Delays.push_back(F.Ms - Start);
    EXPECT_EQ(F.Owner.epoch().Counter, Other.Counter + 1);
  }
  EXPECT_LE(Delays[0], 400);
  EXPECT_GE(Delays[1], 2000);
  EXPECT_GE(Delays[2], 4000);
  EXPECT_EQ(F.Owner.refusingProcesses().count(ProcessId("q")), 1u);
}

// Guards against a hand-over that lets running tasks lose their leases: the
// former owner must renew them until the next one has attached.
TEST(ShardOwnership, ReleaseKeepsRenewing) {
  Fixture F(3);
  F.run(8000);
  F.Owner.release(F.now());
  EXPECT_FALSE(F.Owner.hasAuthority(F.now()));
  F.Sent.clear();
  F.run(3000);
  EXPECT_EQ(F.Sent.size(), 9u);
  EXPECT_FALSE(F.Owner.released());
  for (const ShardEndpoint &Item : endpoints(3))
    F.Owner.onRunRefused(Item.Id, {{9, ProcessId("q")}}, F.now());
  EXPECT_TRUE(F.Owner.released());
}

// Guards against a takeover that opens connections to a whole rack at
// once, and against endpoints that never answer and keep others from being
// tried.
TEST(ShardOwnership, BoundsAttachesInFlight) {
  ShardOwnership Owner(Shard, ProcessId("p"), 1);
  Owner.setEndpoints(endpoints(100), timeAt(0));
  Owner.setOwnershipHint({true, false}, timeAt(0));
  std::set<EndpointId> Tried;
  for (int64_t Ms = 0; Ms <= 20000; Ms += 100) {
    std::vector<OwnershipCommand> Out;
    Owner.tick(timeAt(Ms), Out);
    EXPECT_LE(Owner.attachesInFlight(), 32u);
    for (const OwnershipCommand &Command : Out)
      Tried.insert(Command.Endpoint);
  }
  EXPECT_EQ(Tried.size(), 100u);
}

// Guards against authority from a VM list that lost most of its rows: another
// owner may still use the longer list.
TEST(ShardOwnership, ShortListNeedsMoreThanAThirdOfTheLongOne) {
  Fixture F(9);
  F.run(8000);
  F.Owner.setEndpoints(endpoints(3), F.now());
  EXPECT_FALSE(F.Owner.hasAuthority(F.now()));
  F.Owner.setEndpoints({}, F.now());
  EXPECT_FALSE(F.Owner.hasAuthority(F.now()));
}

} // namespace
