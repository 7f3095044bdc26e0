#include "teaselwalk/cluster/document_freshness.hpp"
#include "teaselwalk/cluster/writer_role.hpp"

#include "property_test.hpp"

#include <random>

using namespace teaselwalk;
using namespace teaselwalk::cluster;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

namespace {

const ProcessId A("a");
const ProcessId B("b");

// Guards against work that is started under a document which may have been
// replaced more than 3 s ago, and against cutting off running tasks.
TEST(DocumentFreshness, PermissionsEndAtTheBound) {
  DocumentFreshness Document;
  EXPECT_FALSE(Document.allowed(Permission::StartTask, timeAt(0)));
  EXPECT_TRUE(Document.allowed(Permission::ContinueTask, timeAt(0)));
  Document.adopt(7, {A});
  EXPECT_FALSE(Document.age(timeAt(0)));
  Document.onRead(7, timeAt(1000));
  EXPECT_EQ(*Document.age(timeAt(1500)), Duration(500));
  for (Permission What : {Permission::AcceptWithKey, Permission::AcceptOpen,
                          Permission::StartTask}) {
    EXPECT_TRUE(Document.allowed(What, timeAt(4000)));
    EXPECT_FALSE(Document.allowed(What, timeAt(4001)));
  }
  EXPECT_TRUE(Document.allowed(Permission::ContinueTask, timeAt(900000)));
  Document.setCutOffService(Duration(60000));
  EXPECT_TRUE(Document.allowed(Permission::StartTask, timeAt(64000)));
  EXPECT_FALSE(Document.allowed(Permission::StartTask, timeAt(64001)));
  Document.setCutOffService(Duration(1LL << 40));
  EXPECT_EQ(Document.latestEffect(), Duration(3603000));
}

// Guards against a document that reverts, and against a confirmation of a newer
// revision that keeps an older document alive.
TEST(DocumentFreshness, NeverGoesBack) {
  DocumentFreshness Document;
  Document.adopt(7, {A});
  Document.onRead(7, timeAt(0));
  Document.adopt(6, {B});
  EXPECT_EQ(Document.revision(), 7u);
  Document.onRead(6, timeAt(9000));
  Document.onRead(8, timeAt(9000));
  EXPECT_EQ(*Document.age(timeAt(10000)), Duration(10000));
  EXPECT_EQ(Document.newestHeard(), 8u);
  Document.adopt(8, {A});
  EXPECT_EQ(*Document.age(timeAt(10000)), Duration(1000));
}

// Guards against a stale attestation that looks fresh after it was relayed: the
// ages of all hops, each with drift, and the time of each exchange add up.
TEST(DocumentFreshness, AgesAddUpAlongTheRelayPath) {
  DocumentFreshness First;
  DocumentFreshness Second;
  First.adopt(7, {A});
  Second.adopt(7, {A});
  // The answer arrives at 800, but counts from the request.
  First.onAttestation({A, 7, Duration(500)}, timeAt(0));
  EXPECT_EQ(*First.age(timeAt(800)), Duration(1310));
  std::vector<protocol::Attestation> Relayed = First.attestations(timeAt(800));
  ASSERT_EQ(Relayed.size(), 1u);
  Second.onAttestation(Relayed[0], timeAt(50000));
  EXPECT_EQ(*Second.age(timeAt(50000)), withDrift(Duration(1310)));
  // A later but older attestation changes nothing.
  Second.onAttestation({A, 7, Duration(2900)}, timeAt(50100));
  EXPECT_EQ(*Second.age(timeAt(50100)),
            withDrift(Duration(1310)) + Duration(100));
}

// Guards against a proof with a writer missing or at another revision.
TEST(DocumentFreshness, NeedsAllWriters) {
  DocumentFreshness Document;
  Document.adopt(7, {A, B});
  Document.onAttestation({A, 7, Duration(0)}, timeAt(0));
  EXPECT_FALSE(Document.age(timeAt(0)));
  Document.onAttestation({B, 6, Duration(0)}, timeAt(0));
  EXPECT_FALSE(Document.age(timeAt(0)));
  Document.onAttestation({B, 7, Duration(0)}, timeAt(500));
  EXPECT_EQ(*Document.age(timeAt(500)), Duration(500));
}

StoreReply reply(StoreStatus Status, protocol::StoreVersion Version = 0,
                 std::string Value = "") {
  StoreReply Result;
  Result.Status = Status;
  Result.Version = Version;
  Result.Value = std::move(Value);
  return Result;
}

HeadRecord headWith(std::vector<ProcessId> Writers) {
  HeadRecord Head;
  Head.Revision = 7;
  Head.Writers = std::move(Writers);
  return Head;
}

HeadChange change(std::string Id) {
  HeadChange Change;
  Change.Write = std::move(Id);
  return Change;
}

// Guards against an attestation while a write may still take effect: the read
// shows the old version, but the lost write can arrive after it.
TEST(WriterRole, LostWriteIsRepeatedUntilTheVersionChanges) {
  WriterRole Role(A);
  Role.onHead(headWith({A}), 3);
  EXPECT_EQ(Role.attestation()->Revision, 7u);
  StoreRequest Write = *Role.begin(change("w1"), "d");
  EXPECT_FALSE(Role.attestation());
  EXPECT_EQ(Role.onReply(reply(StoreStatus::Lost))->Operation,
            protocol::StoreOperation::Read);
  auto Again =
      Role.onReply(reply(StoreStatus::Ok, 3, encodeHead(headWith({A}))));
  EXPECT_EQ(Again->Operation, protocol::StoreOperation::Write);
  EXPECT_EQ(Again->Value, Write.Value);
  EXPECT_FALSE(Role.attestation());
  // The first attempt took effect meanwhile.
  EXPECT_TRUE(Role.onReply(reply(StoreStatus::Conflict, 4)));
  EXPECT_FALSE(Role.onReply(reply(StoreStatus::Ok, 4, Write.Value)));
  EXPECT_EQ(Role.outcome(), HeadWrite::Applied);
  EXPECT_EQ(Role.attestation()->Revision, 8u);
}

// Guards against a refused retry that hides an earlier lost attempt.
TEST(WriterRole, RefusalAfterALossSettlesNothing) {
  WriterRole Role(A);
  Role.onHead(headWith({A}), 3);
  Role.begin(change("w1"), "d");
  Role.onReply(reply(StoreStatus::Lost));
  Role.onReply(reply(StoreStatus::Ok, 3, encodeHead(headWith({A}))));
  EXPECT_TRUE(Role.onReply(reply(StoreStatus::Refused)));
  EXPECT_FALSE(Role.attestation());
}

// Guards against a fleet without writers, or with more than three.
TEST(WriterRole, AddsAndRemovesWriters) {
  WriterRole Role(A);
  Role.onHead(headWith({A}), 3);
  EXPECT_FALSE(Role.beginRemove(A, "w"));
  EXPECT_FALSE(Role.beginAdd(A, "w"));
  auto Add = Role.beginAdd(B, "w");
  HeadRecord Next = decodeHead(Add->Value);
  EXPECT_EQ(Next.Revision, 8u);
  EXPECT_EQ(Next.Writers, (std::vector<ProcessId>{A, B}));
  Role.onReply(reply(StoreStatus::Ok, 4));
  WriterRole Other(B);
  Other.onHead(Role.head(), 4);
  EXPECT_TRUE(Other.attestation());
  EXPECT_TRUE(Other.beginRemove(A, "w2"));
  Role.onHead(headWith({A, B, ProcessId("c")}), 9);
  EXPECT_FALSE(Role.beginAdd(ProcessId("d"), "w"));
}

// --- Property: the proof by attestations ------------------------------------

/// A store whose writes may arrive late and whose answers may be lost.
struct FakeHead {
  HeadRecord Head = headWith({A, B});
  protocol::StoreVersion Version = 1;
  std::vector<int64_t> RevisionAt; ///< Time of each revision from 7 on.

  StoreReply act(const StoreRequest &Request, int64_t Now) {
    if (Request.Operation == protocol::StoreOperation::Read)
      return reply(StoreStatus::Ok, Version, encodeHead(Head));
    if (Request.Expected != Version)
      return reply(StoreStatus::Conflict, Version);
    Head = decodeHead(Request.Value);
    ++Version;
    RevisionAt.push_back(Now);
    return reply(StoreStatus::Ok, Version);
  }
};

/// A write on its way.
struct Call {
  int64_t At;
  StoreRequest Request;
};

/// Two writers, and one reader that asks them directly or through old copies.
struct ProofWorld {
  std::mt19937 Random;
  FakeHead Store;
  std::vector<WriterRole> Writers{WriterRole(A), WriterRole(B)};
  std::vector<int64_t> PausedUntil{0, 0};
  std::vector<std::optional<StoreRequest>> Waiting{2};
  std::vector<Call> Late;
  DocumentFreshness Reader;
  struct Relayed {
    protocol::Attestation Item;
    int64_t Since;
  };
  std::vector<Relayed> Relays;

  explicit ProofWorld(uint32_t Seed) : Random(Seed) {
    Store.RevisionAt.push_back(0);
    for (WriterRole &Writer : Writers)
      Writer.onHead(Store.Head, Store.Version);
    Reader.adopt(7, Store.Head.Writers);
  }
  bool chance(uint32_t Percent) { return Random() % 100 < Percent; }

  void send(size_t W, int64_t Now) {
    StoreRequest Request = *Waiting[W];
    Waiting[W].reset();
    bool DelayedWrite = chance(30);
    StoreReply Answer = reply(StoreStatus::Lost);
    if (DelayedWrite)
      Late.push_back({Now + static_cast<int64_t>(Random() % 8000), Request});
    else if (!chance(20)) {
      Answer = Store.act(Request, Now);
      if (chance(20))
        Answer = reply(StoreStatus::Lost);
    }
    Waiting[W] = Writers[W].onReply(Answer);
  }

  void startWrite(size_t W, const std::string &Id) {
    size_t Other = 1 - W;
    ProcessId Name = Other == 0 ? A : B;
    switch (Random() % 3) {
    case 0:
      Waiting[W] = Writers[W].begin(change(Id), "d");
      break;
    case 1:
      Waiting[W] = Writers[W].beginRemove(Name, Id);
      break;
    default:
      Waiting[W] = Writers[W].beginAdd(Name, Id);
      break;
    }
  }

  void stepWriter(size_t W, int64_t Now) {
    if (Now < PausedUntil[W])
      return;
    if (Waiting[W] && chance(50))
      send(W, Now);
    else if (!Waiting[W] && chance(5))
      startWrite(W, std::to_string(W) + "-" + std::to_string(Now));
    if (chance(10))
      Writers[W].onHead(Store.Head, Store.Version);
    if (chance(3)) // Also between the start of a write and its sending.
      PausedUntil[W] = Now + static_cast<int64_t>(Random() % 9000);
    if (auto Item = Writers[W].attestation()) {
      if (chance(60)) // The request was sent up to 400 ms ago.
        Reader.onAttestation(
            *Item, timeAt(Now - static_cast<int64_t>(Random() % 400)));
      if (chance(20))
        Relays.push_back({*Item, Now});
    }
  }

  void step(int64_t Now) {
    for (size_t I = 0; I < Late.size(); ++I)
      if (Late[I].At <= Now && Late[I].At > Now - 50)
        Store.act(Late[I].Request, Now);
    stepWriter(0, Now);
    stepWriter(1, Now);
    if (!Relays.empty() && chance(20)) {
      Relayed Item = Relays[Random() % Relays.size()];
      // The relay's clock runs up to 2% slow, so its age may be too low.
      Item.Item.Age = Duration((Now - Item.Since) * 100 / 102);
      Reader.onAttestation(Item.Item, timeAt(Now));
    }
    if (chance(10)) // The reader learns of a revision late.
      Reader.adopt(Store.Head.Revision, Store.Head.Writers);
  }

  /// The present document of the reader was the newest at the moment that its
  /// age names.
  bool proofHolds(int64_t Now) const {
    auto Age = Reader.age(timeAt(Now));
    size_t Next = Reader.revision() - 7 + 1;
    return !Age || Next >= Store.RevisionAt.size() ||
           Now - Age->count() <= Store.RevisionAt[Next];
  }
};

// Guards against a proof that holds although a newer revision exists: writers
// paused before they send, answers lost, writes that take effect after a
// read-back, writers removed with a write in flight, attestations relayed late.
TEST(WriterRole, AttestationsProveTheNewestRevision) {
  checkProperty(20261206, 300, [] {
    ProofWorld World(*within<uint32_t>(0, 1U << 30U));
    for (int64_t Now = 0; Now < 60000; Now += 50) {
      World.step(Now);
      RC_ASSERT(World.proofHolds(Now));
    }
  });
}

} // namespace
