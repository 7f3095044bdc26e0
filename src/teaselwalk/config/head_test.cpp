#include "teaselwalk/config/head.hpp"

#include "teaselwalk/base/error.hpp"

#include "test_documents.hpp"

#include <gtest/gtest.h>

#include <map>

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

const ChangeNote Note{"olga", 1700000000000, "test"};

Document withShare(int64_t Share) {
  Json Value = exampleJson();
  Value["teams"][0]["share"] = Share;
  return documentFromJson(Value);
}

/// The store as a writer leaves it after some changes.
struct History {
  HeadRecord Head;
  Snapshot Latest;
  std::map<uint64_t, std::string> Copies;
  std::vector<Snapshot> All{Snapshot()};

  void change(const Document &Next, const HeadBounds &Bounds = {}) {
    NextHead Made = nextHead(Head, Latest, Next, Note, Bounds);
    if (Made.CopyBefore)
      Copies[Latest.Revision] = serialise(Latest.Content);
    Head = parseHead(serialise(Made.Head), Bounds);
    Latest = {Head.Revision, Next};
    All.push_back(Latest);
  }
};

// Guards against fields lost between the store and a process.
TEST(HeadTest, RoundTrip) {
  History Store;
  Store.Head.Writers = {{ProcessId("p1"), {"127.0.0.1", 7001}},
                        {ProcessId("p2"), {"127.0.0.1", 7002}}};
  Store.change(withShare(2));
  Store.change(withShare(5));
  HeadRecord Copy = parseHead(serialise(Store.Head));
  EXPECT_EQ(serialise(Copy), serialise(Store.Head));
  EXPECT_EQ(Copy.Writers, Store.Head.Writers);
  EXPECT_EQ(Copy.Changes[1].Who, "olga");
  EXPECT_EQ(Copy.Changes[1].WhenMs, Note.WhenMs);
}

// Guards against a process that cannot reach the newest revision from an
// earlier one, either by changes or by a whole copy.
TEST(HeadTest, EveryRevisionLeadsToTheNewest) {
  History Store;
  for (int64_t Share = 1; Share <= 70; ++Share)
    Store.change(withShare(Share));
  for (Snapshot Start : Store.All) {
    if (advance(Start, Store.Head) == AdvanceState::NeedsCopy) {
      ASSERT_EQ(Store.Copies.count(Store.Head.Copy), 1U);
      Start = snapshotOf(Store.Head.Copy, Store.Copies[Store.Head.Copy]);
      advance(Start, Store.Head);
    }
    EXPECT_EQ(Start.Revision, 70U);
    EXPECT_EQ(serialise(Start.Content), serialise(Store.Latest.Content));
  }
  EXPECT_EQ(Store.Head.Changes.size(), 32U);
  EXPECT_EQ(Store.Head.Copy, 64U);
}

// Guards against a head that the store would refuse, and against dropping
// changes that no whole copy replaces.
TEST(HeadTest, LargeChangesAreDroppedBehindACopy) {
  HeadBounds Bounds;
  Bounds.MaxBytes = 4000;
  History Store;
  for (int64_t Share = 1; Share <= 20; ++Share) {
    Json Value = exampleJson();
    for (Json &Team : Value["teams"])
      Team["limit"]["tasks"] = Share;
    Value["data_centres"][0]["region"] =
        std::string(60, "abcdefghijklmnopqrstu"[Share]);
    Store.change(documentFromJson(Value), Bounds);
    EXPECT_LE(serialise(Store.Head).size(), Bounds.MaxBytes);
    Snapshot Reader;
    if (advance(Reader, Store.Head) == AdvanceState::NeedsCopy) {
      Reader = snapshotOf(Store.Head.Copy, Store.Copies.at(Store.Head.Copy));
      EXPECT_EQ(advance(Reader, Store.Head), AdvanceState::Advanced);
    }
    EXPECT_EQ(serialise(Reader.Content), serialise(Store.Latest.Content));
  }
}

// Guards against configuration that reverts (I11).
TEST(HeadTest, NeverGoesBack) {
  History Store;
  Store.change(withShare(1));
  HeadRecord Old = Store.Head;
  Store.change(withShare(2));
  Snapshot Reader = Store.Latest;
  EXPECT_EQ(advance(Reader, Old), AdvanceState::Older);
  EXPECT_EQ(advance(Reader, Store.Head), AdvanceState::Same);
  EXPECT_EQ(Reader.Revision, 2U);
  EXPECT_EQ(Reader.Content.Teams[0].Share, 2);
}

// Guards against a damaged or foreign head being half applied.
TEST(HeadTest, WrongDigestOrPatchChangesNothing) {
  History Store;
  Store.change(withShare(1));
  Snapshot Reader = Store.Latest;
  Store.change(withShare(2));
  HeadRecord Damaged = Store.Head;
  Damaged.Digest[0] = Damaged.Digest[0] == '0' ? '1' : '0';
  EXPECT_THROW(advance(Reader, Damaged), Error);
  Damaged = Store.Head;
  Damaged.Changes.back().Patch[0]["path"] = "/teams/9/share";
  EXPECT_THROW(advance(Reader, Damaged), Error);
  Damaged = Store.Head;
  Damaged.Changes.back().Patch[0]["value"] = -1;
  EXPECT_THROW(advance(Reader, Damaged), Error);
  EXPECT_EQ(Reader.Revision, 1U);
  EXPECT_EQ(Reader.Content.Teams[0].Share, 1);
  Snapshot Other{2, withShare(9)};
  EXPECT_THROW(advance(Other, Store.Head), Error);
}

// Guards against unreadable values in the store.
TEST(HeadTest, RefusesWhatIsNoHead) {
  History Store;
  Store.change(withShare(1));
  Store.change(withShare(2));
  Json Good = Json::parse(serialise(Store.Head));
  EXPECT_THROW(parseHead(""), Error);
  EXPECT_THROW(parseHead("{}"), Error);
  for (const char *Field : {"revision", "digest", "copy", "changes"}) {
    Json Bad = Good;
    Bad.erase(Field);
    EXPECT_THROW(parseHead(Bad.dump()), Error) << Field;
  }
  Json Gap = Good;
  Gap["changes"][0]["revision"] = 0;
  EXPECT_THROW(parseHead(Gap.dump()), Error);
  Gap = Good;
  Gap["copy"] = 2;
  EXPECT_THROW(parseHead(Gap.dump()), Error);
}

// Guards against a change that is built on another document than the head's.
TEST(HeadTest, NextHeadNeedsTheBase) {
  History Store;
  Store.change(withShare(1));
  EXPECT_THROW(nextHead(Store.Head, {1, withShare(7)}, withShare(2), Note),
               Error);
  EXPECT_THROW(nextHead(Store.Head, {0, {}}, withShare(2), Note), Error);
  EXPECT_THROW(nextHead(Store.Head, Store.Latest, withShare(2), {"", 0, ""}),
               InvalidInput);
}

} // namespace
} // namespace teaselwalk::config
