#include "teaselwalk/cluster/document_freshness.hpp"

#include <gtest/gtest.h>

using namespace teaselwalk;
using namespace teaselwalk::cluster;

namespace {

const ProcessId A("a");
const ProcessId B("b");

// Guards against starting work under a document that may have been replaced
// more than 3 s ago (plus `cut_off_service_s`), and against stopping running
// tasks because the document is old.
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

// Guards against going back to an older document, and against counting a
// confirmation of a newer revision for an older document.
TEST(DocumentFreshness, NeverGoesBack) {
  DocumentFreshness Document;
  Document.adopt(7, {A});
  Document.onRead(7, timeAt(0));
  Document.adopt(6, {B});
  EXPECT_EQ(Document.revision(), 7u);
  Document.onRead(6, timeAt(9000));
  Document.onRead(8, timeAt(9000));
  EXPECT_EQ(*Document.age(timeAt(10000)), Duration(10000));
  EXPECT_EQ(Document.newestKnown(), 8u);
  Document.adopt(8, {A});
  EXPECT_EQ(*Document.age(timeAt(10000)), Duration(1000));
}

// Guards against a stale attestation that looks fresh after it was relayed.
// Each hop must add the time since its request was sent, and the clock drift.
TEST(DocumentFreshness, AgesAddUpAlongTheRelayPath) {
  DocumentFreshness First;
  DocumentFreshness Second;
  First.adopt(7, {A});
  Second.adopt(7, {A});
  // The answer arrives at 800 ms, but its age counts from the request at 0 ms.
  First.onAttestation({A, 7, Duration(500)}, timeAt(0));
  EXPECT_EQ(*First.age(timeAt(800)), Duration(1310));
  std::vector<protocol::Attestation> Relayed = First.attestations(timeAt(800));
  ASSERT_EQ(Relayed.size(), 1u);
  Second.onAttestation(Relayed[0], timeAt(50000));
  EXPECT_EQ(*Second.age(timeAt(50000)), withDrift(Duration(1310)));
  // An attestation that arrives later but is older changes nothing.
  Second.onAttestation({A, 7, Duration(2900)}, timeAt(50100));
  EXPECT_EQ(*Second.age(timeAt(50100)),
            withDrift(Duration(1310)) + Duration(100));
}

// Guards against a confirmation by attestations while one writer's attestation
// is missing or names another revision.
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

} // namespace
