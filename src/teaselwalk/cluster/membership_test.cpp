#include "teaselwalk/cluster/membership.hpp"

#include "teaselwalk/base/error.hpp"

#include <gtest/gtest.h>

#include <set>

using namespace teaselwalk;
using namespace teaselwalk::cluster;

namespace {

const DataCentreId Home("brno-a");

protocol::Address address(int N) {
  return {"10.0.0." + std::to_string(N), 8080};
}

protocol::Heartbeat makeHeartbeat(const std::string &From, int At,
                                  std::vector<uint32_t> Shards = {}) {
  protocol::Heartbeat Beat;
  Beat.From = ProcessId(From);
  Beat.DataCentre = Home;
  Beat.At = address(At);
  Beat.Shards = std::move(Shards);
  return Beat;
}

Membership membership(uint64_t Seed = 1) {
  return Membership(ProcessId("self"), Home, address(1), Seed, timeAt(0));
}

// Guards against taking over from a process that is only slow (no heartbeat for
// less than 5 s), and against doing so too late.
TEST(Membership, SuspectAndDead) {
  Membership Group = membership();
  Group.onHeartbeat(makeHeartbeat("p", 2), timeAt(0));
  EXPECT_EQ(Group.stateOf(ProcessId("p"), timeAt(2999)), MemberState::Live);
  EXPECT_EQ(Group.stateOf(ProcessId("p"), timeAt(3000)), MemberState::Suspect);
  EXPECT_EQ(Group.candidates(false, timeAt(4999)).size(), 2u);
  EXPECT_EQ(Group.stateOf(ProcessId("p"), timeAt(5000)), MemberState::Dead);
  EXPECT_EQ(Group.candidates(false, timeAt(5000)).size(), 1u);
  Group.tick(timeAt(60000));
  EXPECT_TRUE(Group.members().empty());
}

// Guards against counting a restarted process twice, and against a late
// heartbeat under its former id that makes it a member again.
TEST(Membership, RestartReplacesTheFormerProcess) {
  Membership Group = membership();
  Group.onHeartbeat(makeHeartbeat("p", 2, {0}), timeAt(0));
  Group.onHeartbeat(makeHeartbeat("p2", 2), timeAt(1000));
  EXPECT_EQ(Group.find(ProcessId("p")), nullptr);
  EXPECT_EQ(Group.reportedOwner(0, timeAt(1000)), nullptr);
  Group.onHeartbeat(makeHeartbeat("p", 2, {0}), timeAt(1500));
  EXPECT_EQ(Group.find(ProcessId("p")), nullptr);
  EXPECT_NE(Group.find(ProcessId("p2")), nullptr);
}

// Guards against a process that takes over every shard when it starts, because
// no heartbeat of the others has arrived yet, and against assigning shards to a
// process that is leaving.
TEST(Membership, PreferredOwnerFollowsTheLiveProcesses) {
  Membership Group = membership();
  uint32_t Mine = 0;
  for (uint32_t N = 0; N < 64; ++N)
    EXPECT_FALSE(
        Group.ownershipHint({Home, N}, false, timeAt(4999)).IsPreferredOwner);
  protocol::Heartbeat Other = makeHeartbeat("p", 2, {7});
  Group.onHeartbeat(Other, timeAt(5000));
  for (uint32_t N = 0; N < 64; ++N)
    Mine += Group.ownershipHint({Home, N}, false, timeAt(5000)).IsPreferredOwner
                ? 1
                : 0;
  EXPECT_GT(Mine, 16u);
  EXPECT_LT(Mine, 48u);
  EXPECT_TRUE(Group.ownershipHint({Home, 7}, false, timeAt(5000)).IsHeldByPeer);
  EXPECT_FALSE(
      Group.ownershipHint({Home, 7}, false, timeAt(10000)).IsHeldByPeer);
  Other.Leaving = true;
  Group.onHeartbeat(Other, timeAt(6000));
  for (uint32_t N = 0; N < 64; ++N) {
    EXPECT_TRUE(
        Group.ownershipHint({Home, N}, false, timeAt(6000)).IsPreferredOwner);
    EXPECT_FALSE(
        Group.ownershipHint({Home, N}, true, timeAt(6000)).IsPreferredOwner);
  }
}

// Guards against memory use that grows with the number of processes in other
// data centres, and against digests that reach only some data centres.
TEST(Membership, DigestsGoToThreeOtherDataCentres) {
  Membership Group = membership();
  auto MakeFleet = [](int PerDataCentre) {
    std::vector<Contact> All{{Home, address(1)}, {Home, address(2)}};
    for (int D = 0; D < 19; ++D)
      for (int I = 0; I < PerDataCentre; ++I)
        All.push_back(
            {DataCentreId("dc" + std::to_string(D)),
             {"10." + std::to_string(D + 1) + ".0." + std::to_string(I),
              8080}});
    return All;
  };
  Group.setAddresses(MakeFleet(4), timeAt(0));
  size_t Small = Group.stateBytes();
  Group.setAddresses(MakeFleet(100), timeAt(0));
  EXPECT_LE(Group.stateBytes(), Small + 100);
  EXPECT_EQ(Group.heartbeatTargets(),
            std::vector<protocol::Address>{address(2)});
  std::set<DataCentreId> Seen;
  for (int64_t Ms = 0; Ms < 60000; Ms += 2000) {
    std::vector<Contact> Targets = Group.digestTargets(timeAt(Ms));
    ASSERT_EQ(Targets.size(), 3u);
    std::set<DataCentreId> Distinct;
    for (const Contact &Item : Targets)
      Distinct.insert(Item.DataCentre);
    EXPECT_EQ(Distinct.size(), 3u);
    Seen.insert(Distinct.begin(), Distinct.end());
    EXPECT_TRUE(Group.digestTargets(timeAt(Ms + 1000)).empty());
  }
  EXPECT_EQ(Seen.size(), 19u);
}

// Guards against an old row that arrives late by way of other processes and
// replaces a newer one, and against a digest above 2 KB.
TEST(Membership, DigestKeepsTheNewestRow) {
  Membership Group = membership();
  Digest Value;
  Value.From = ProcessId("x");
  for (int D = 0; D < 60; ++D) {
    DigestRow Row;
    Row.DataCentre = DataCentreId("data-centre-" + std::to_string(D));
    Row.Revision = 5;
    Row.At = address(D);
    Value.Rows.push_back(Row);
  }
  Value.Attestations = {{ProcessId("w"), 5, Duration(20)}};
  std::string Text = encodeDigest(Value);
  EXPECT_LE(Text.size(), MaxDigestBytes);
  Digest Back = decodeDigest(Text);
  EXPECT_EQ(Back.Attestations.size(), 1u);
  EXPECT_THROW(decodeDigest(std::string(2049, ' ')), InvalidInput);
  EXPECT_THROW(decodeDigest("[]"), InvalidInput);
  // Rows that did not fit are sent with another first row.
  EXPECT_EQ(decodeDigest(encodeDigest(Value, 40)).Rows[1].DataCentre,
            Value.Rows[41].DataCentre);

  Group.onDigest(Back, timeAt(1000));
  DataCentreId First = Back.Rows[0].DataCentre;
  Digest Old = Back;
  Old.Rows[0].Revision = 4;
  Old.Rows[0].Age = Duration(3000);
  Group.onDigest(Old, timeAt(2000));
  EXPECT_EQ(Group.dataCentres().at(First).Revision, 5u);
  Digest Mine = Group.makeDigest({}, {}, timeAt(4000));
  EXPECT_EQ(Mine.Rows[0].DataCentre, Home);
  EXPECT_EQ(Mine.Rows[1].Age, Duration(3000));
  Group.tick(timeAt(61000));
  EXPECT_EQ(Group.dataCentres().count(First), 0u);
  Group.tick(timeAt(62000));
  EXPECT_TRUE(Group.dataCentres().empty());
}

} // namespace
