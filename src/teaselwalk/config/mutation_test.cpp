#include "teaselwalk/base/error.hpp"
#include "teaselwalk/config/describe.hpp"
#include "teaselwalk/config/head.hpp"

#include "test_documents.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

/// Every place in \p Value, the whole included.
void collect(const Json &Value, const Json::json_pointer &At,
             std::vector<Json::json_pointer> &Out) {
  Out.push_back(At);
  if (Value.is_object())
    for (const auto &Item : Value.items())
      collect(Item.value(), At / Item.key(), Out);
  if (Value.is_array())
    for (size_t I = 0; I < Value.size(); ++I)
      collect(Value[I], At / I, Out);
}

const std::vector<Json> OddValues = {nullptr,
                                     true,
                                     0,
                                     -1,
                                     1.5,
                                     "",
                                     "x",
                                     "north",
                                     "a/b",
                                     INT64_MIN,
                                     1e300,
                                     UINT64_MAX,
                                     Json::array(),
                                     Json::object(),
                                     Json::array({1, "north"}),
                                     {{"name", "x"}}};

// Guards against a crash on a damaged document, and against one that is read in
// part: whatever is accepted must survive being written and read again.
TEST(MutationTest, DamagedDocumentsAreRefusedWhole) {
  std::mt19937_64 Random(20261204);
  int Accepted = 0;
  for (int Round = 0; Round < 4000; ++Round) {
    Json Value = exampleJson();
    for (uint64_t Left = Random() % 3 + 1; Left > 0; --Left) {
      std::vector<Json::json_pointer> Places;
      collect(Value, Json::json_pointer(), Places);
      Value[Places[Random() % Places.size()]] =
          OddValues[Random() % OddValues.size()];
    }
    try {
      Document Read = parseDocument(Value.dump());
      EXPECT_EQ(serialise(parseDocument(serialise(Read))), serialise(Read));
      EXPECT_FALSE(Read.DataCentres.empty());
      ++Accepted;
    } catch (const InvalidInput &Failure) {
      EXPECT_FALSE(Failure.errors().empty());
    }
  }
  EXPECT_GT(Accepted, 0);
}

// Guards against a crash on damaged text.
TEST(MutationTest, DamagedTextNeverCrashes) {
  const std::string Good = exampleJson().dump();
  std::mt19937_64 Random(7);
  for (int Round = 0; Round < 4000; ++Round) {
    std::string Text = Good;
    for (uint64_t Left = Random() % 4 + 1; Left > 0; --Left) {
      size_t At = Random() % Text.size();
      if (Random() % 3 == 0)
        Text.erase(At, Random() % 16);
      else if (Random() % 2 == 0)
        Text.insert(At, Good.substr(Random() % Good.size(), Random() % 64));
      else
        Text[At] = static_cast<char>(Random());
    }
    try {
      parseDocument(Text);
    } catch (const InvalidInput &Failure) {
      EXPECT_FALSE(Failure.errors().empty());
    }
    try {
      parseHead(Text);
      ADD_FAILURE() << "a document is no head";
    } catch (const Error &) {
      continue;
    }
  }
}

/// A valid document that differs from the example in \p Count teams.
Document variant(std::mt19937_64 &Random, uint64_t Count) {
  Json Value = exampleJson();
  for (uint64_t I = 0; I < Count; ++I) {
    Json Team = exampleJson()["teams"][1];
    Team["name"] = "team-" + std::to_string(Random() % 40);
    Team["share"] = Random() % 9 + 1;
    bool Taken = false;
    for (const Json &Row : Value["teams"])
      Taken = Taken || Row["name"] == Team["name"];
    if (!Taken)
      Value["teams"].insert(
          Value["teams"].begin() + static_cast<int>(Random() % 2), Team);
  }
  Value["data_centres"][0]["state"] = Random() % 2 == 0 ? "in" : "draining";
  return documentFromJson(Value);
}

// Guards against a sequence of changes after which a reader that joins at any
// revision ends with another document than the writer's.
TEST(MutationTest, ReadersFollowAnyHistory) {
  rc::detail::TestParams Params;
  Params.seed = 20261204;
  Params.maxSuccess = 20;
  auto Result = rc::detail::checkTestable(
      [](uint64_t Seed) {
        std::mt19937_64 Random(Seed);
        HeadRecord Head;
        Snapshot Latest;
        Snapshot Reader;
        std::string Copy;
        for (int Step = 0; Step < 40; ++Step) {
          Document Next = variant(Random, Random() % 12);
          NextHead Made = nextHead(Head, Latest, Next, {"olga", 1, "test"});
          if (Made.CopyBefore)
            Copy = serialise(Latest.Content);
          Head = parseHead(serialise(Made.Head));
          Latest = {Head.Revision, Next};
          if (Random() % 20 != 0)
            continue;
          if (advance(Reader, Head) == AdvanceState::NeedsCopy) {
            Reader = snapshotOf(Head.Copy, Copy);
            advance(Reader, Head);
          }
          RC_ASSERT(Reader.Revision == Latest.Revision);
          RC_ASSERT(serialise(Reader.Content) == serialise(Next));
          RC_ASSERT(describeChanges(Reader.Content, Next).empty());
        }
      },
      rc::detail::TestMetadata(), Params);
  EXPECT_TRUE(Result.is<rc::detail::SuccessResult>()) << Result;
}

} // namespace
} // namespace teaselwalk::config
