#include "teaselwalk/config/describe.hpp"

#include "test_documents.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

/// A change of the example and the words that must be in its description.
struct Case {
  const char *Patch;
  const char *Words;
  bool Dangerous;
};

class DescribeTest : public testing::TestWithParam<Case> {};

// Guards against a change whose consequence an operator is not told.
TEST_P(DescribeTest, TellsTheConsequence) {
  Json Edited = exampleJson().patch(Json::parse(GetParam().Patch));
  RunningUsage Running{{TeamId("north"), {60000, 1000, 0, 30, 30}}};
  auto Changes = describeChanges(documentFromJson(exampleJson()),
                                 documentFromJson(Edited), Running);
  ASSERT_FALSE(Changes.empty());
  bool Found = false;
  for (const Difference &Row : Changes) {
    Found = Found || (Row.Text.find(GetParam().Words) != std::string::npos &&
                      Row.Dangerous == GetParam().Dangerous);
    EXPECT_EQ(Row.Text.find(exampleKey().Stored.Secret.Hash),
              std::string::npos);
  }
  EXPECT_TRUE(Found) << Changes.front().Text;
  EXPECT_EQ(confirmationFor(Changes).empty(), !GetParam().Dangerous);
}

INSTANTIATE_TEST_SUITE_P(
    Config, DescribeTest,
    testing::Values(
        Case{
            R"([{"op":"replace","path":"/data_centres/0/state","value":"out"}])",
            "data centre brno-a goes from in to out: it starts nothing new "
            "within 3 s; its running tasks are checkpointed and stopped",
            true},
        Case{R"([{"op":"remove","path":"/data_centres/1"}])",
             "data centre brno-b is removed", true},
        Case{R"([{"op":"replace","path":"/data_centres/1/cut_off_service_s",
                  "value":90}])",
             "withdrawn keys and states take effect there only after", true},
        Case{R"([{"op":"replace","path":"/data_centres/1/cut_off_service_s",
                  "value":0}])",
             "for 0 s instead of 60 s", false},
        Case{R"([{"op":"replace","path":"/data_centres/0/shards","value":9}])",
             "from 3 to 9 shards", true},
        Case{R"([{"op":"replace","path":"/teams/1/share","value":2}])",
             "share goes from 1 (25.0%) to 2 (40.0%)", false},
        Case{R"([{"op":"replace","path":"/teams/0/limit/tasks","value":40}])",
             "limit of running tasks goes down from 100 to 40", false},
        Case{R"([{"op":"replace","path":"/teams/0/limit/tasks","value":20}])",
             "30 are in use, so the newest tasks above the limit are stopped",
             true},
        Case{R"([{"op":"remove","path":"/teams/0/keys/0"}])",
             "team north has no key left", true},
        Case{R"([{"op":"replace","path":"/teams/0/keys/0/id","value":"new"}])",
             "key north-1 is withdrawn", true},
        Case{R"([{"op":"replace","path":"/queues/2/teams/0","value":"north"}])",
             "no longer accepts work of team south", true},
        Case{R"([{"op":"replace","path":"/queues/0/access","value":"open"}])",
             "becomes open", true},
        Case{R"([{"op":"replace","path":"/queues/0/overflow","value":""}])",
             "changes its overflow from batch to none", false},
        Case{R"([{"op":"remove","path":"/queues/2"}])",
             "queue public is removed", true},
        Case{R"([{"op":"replace","path":"/operators/0/name","value":"eva"}])",
             "operator olga is removed", true}));

// Guards against a removed team whose running tasks are not mentioned.
TEST(DescribeTeamTest, RemovedTeamNamesItsTasks) {
  Json Edited = exampleJson();
  Edited["teams"].erase(0);
  Edited["queues"].erase(0);
  Edited["queues"][0]["teams"] = {"south"};
  auto Changes =
      describeChanges(documentFromJson(exampleJson()), documentFromJson(Edited),
                      {{TeamId("north"), {1, 1, 0, 7, 7}}});
  EXPECT_EQ(Changes[0].Text, "team north is removed: its keys stop working and "
                             "its 7 running tasks are stopped");
  EXPECT_EQ(confirmationFor(Changes), "north batch calls");
}

// Guards against noise where nothing changes.
TEST(DescribeTeamTest, EqualDocumentsHaveNoDifference) {
  Document Same = documentFromJson(exampleJson());
  EXPECT_TRUE(describeChanges(Same, Same).empty());
}

} // namespace
} // namespace teaselwalk::config
