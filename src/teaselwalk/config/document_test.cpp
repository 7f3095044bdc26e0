#include "teaselwalk/config/document.hpp"

#include "teaselwalk/base/error.hpp"

#include "test_documents.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

std::vector<FieldError> errorsOf(const std::string &Text) {
  try {
    parseDocument(Text);
  } catch (const InvalidInput &Failure) {
    return Failure.errors();
  }
  return {};
}

std::vector<std::string> badFields(const Json &Value) {
  std::vector<std::string> Names;
  for (const FieldError &Row : errorsOf(Value.dump()))
    Names.push_back(Row.Field);
  return Names;
}

/// A value at a JSON pointer and the path that must be reported for it.
struct BadValue {
  const char *Pointer;
  const char *Value;
  const char *Field;
};

class BadValueTest : public testing::TestWithParam<BadValue> {};

// Guards against a field whose range is not checked.
TEST_P(BadValueTest, IsRefusedWithItsPath) {
  Json Value = exampleJson();
  Value[Json::json_pointer(GetParam().Pointer)] = Json::parse(GetParam().Value);
  EXPECT_EQ(badFields(Value), std::vector<std::string>{GetParam().Field});
}

INSTANTIATE_TEST_SUITE_P(
    DocumentTest, BadValueTest,
    testing::Values(
        BadValue{"/extra", "1", "extra"},
        BadValue{"/data_centres/0/name", "\"\"", "data_centres[0].name"},
        BadValue{"/data_centres/0/name", "\"a/b\"", "data_centres[0].name"},
        BadValue{"/data_centres/1/name", "\"brno-a\"", "data_centres[1].name"},
        BadValue{"/data_centres/0/region", "7", "data_centres[0].region"},
        BadValue{"/data_centres/0/state", "\"on\"", "data_centres[0].state"},
        BadValue{"/data_centres/0/shards", "0", "data_centres[0].shards"},
        BadValue{"/data_centres/0/shards", "65", "data_centres[0].shards"},
        BadValue{"/data_centres/0/cut_off_service_s", "3601",
                 "data_centres[0].cut_off_service_s"},
        BadValue{"/data_centres/0/cut_off_service_s", "-1",
                 "data_centres[0].cut_off_service_s"},
        BadValue{"/data_centres/0/more", "null", "data_centres[0].more"},
        BadValue{"/operators/0", "[]", "operators[0]"},
        BadValue{"/teams/1/share", "0", "teams[1].share"},
        BadValue{"/teams/1/share", "-1", "teams[1].share"},
        BadValue{"/teams/1/share", "18446744073709551615", "teams[1].share"},
        BadValue{"/teams/1/share", "1.5", "teams[1].share"},
        BadValue{"/teams/1/share", "1000001", "teams[1].share"},
        BadValue{"/teams/1/limit", "null", "teams[1].limit"},
        BadValue{"/teams/1/limit/cpu_millis", "-1",
                 "teams[1].limit.cpu_millis"},
        BadValue{"/teams/1/limit/memory_mb", "1e300",
                 "teams[1].limit.memory_mb"},
        BadValue{"/teams/1/limit/accelerators", "1000001",
                 "teams[1].limit.accelerators"},
        BadValue{"/teams/1/limit/tasks", "\"9\"", "teams[1].limit.tasks"},
        BadValue{"/teams/1/limit/disk", "1", "teams[1].limit.disk"},
        BadValue{"/teams/0/keys/0/id", "\"a.b\"", "teams[0].keys[0].id"},
        BadValue{"/teams/0/keys/0/salt", "\"12\"", "teams[0].keys[0].salt"},
        BadValue{"/teams/0/keys/0/hash", "\"xx\"", "teams[0].keys[0].hash"},
        BadValue{"/queues/0/access", "\"all\"", "queues[0].access"},
        BadValue{"/queues/0/teams", "[]", "queues[0].teams"},
        BadValue{"/queues/0/teams/0", "\"west\"", "queues[0].teams[0]"},
        BadValue{"/queues/1/teams/1", "\"north\"", "queues[1].teams[1]"},
        BadValue{"/queues/1/access", "\"open\"", "queues[1].teams"},
        BadValue{"/queues/0/class", "\"fast\"", "queues[0].class"},
        BadValue{"/queues/0/deadline_ms", "0", "queues[0].deadline_ms"},
        BadValue{"/queues/0/overflow", "\"none\"", "queues[0].overflow"},
        BadValue{"/queues/0/overflow", "\"public\"", "queues[0].overflow"},
        BadValue{"/queues/2/overflow", "\"public\"", "queues[2].overflow"},
        BadValue{"/operators", "[]", "operators"},
        BadValue{"/operators/0/hash", "null", "operators[0].hash"}));

// Guards against a mistake hiding the ones after it.
TEST(DocumentTest, ReportsEveryMistakeAtOnce) {
  Json Value = exampleJson();
  Value["teams"][0]["share"] = 0;
  Value["queues"][2]["deadline_ms"] = -5;
  Value["operators"][0].erase("salt");
  EXPECT_EQ(badFields(Value),
            (std::vector<std::string>{"teams[0].share", "queues[2].deadline_ms",
                                      "operators[0].salt"}));
}

// Guards against messages that do not help to repair the field.
TEST(DocumentTest, MessageHasValueRangeAndUnit) {
  Json Value = exampleJson();
  Value["data_centres"][0]["cut_off_service_s"] = 4000;
  EXPECT_EQ(errorsOf(Value.dump()).front().Message,
            "is 4000; must be an integer from 0 to 3600 s");
}

// Guards against a key pasted into the wrong field showing up in a log.
TEST(DocumentTest, MessagesQuoteNoSecret) {
  std::string Secret = exampleKey().Text;
  for (const char *Pointer :
       {"/teams/0/keys/0/id", "/teams/0/keys/0/salt", "/teams/0/keys/0/hash",
        "/operators/0/name", "/operators/0/salt", "/operators/0/hash"}) {
    Json Value = exampleJson();
    Value[Json::json_pointer(Pointer)] = Secret;
    auto Errors = errorsOf(Value.dump());
    ASSERT_EQ(Errors.size(), 1U) << Pointer;
    EXPECT_EQ(Errors[0].Message.find(Secret.substr(8, 8)), std::string::npos);
  }
}

// Guards against two objects of one name, of which one would be ignored.
TEST(DocumentTest, RepeatedNameIsRefused) {
  for (const char *Array : {"data_centres", "teams", "queues", "operators"}) {
    Json Value = exampleJson();
    Json Copy = Value[Array].back();
    std::string Last = std::to_string(Value[Array].size());
    Copy.erase("keys");
    if (Copy.contains("limit"))
      Copy["keys"] = Json::array();
    Value[Array].push_back(Copy);
    EXPECT_EQ(
        badFields(Value),
        std::vector<std::string>{std::string(Array) + "[" + Last + "].name"});
  }
  Json Value = exampleJson();
  Value["teams"][1]["keys"] = Value["teams"][0]["keys"];
  EXPECT_EQ(badFields(Value), std::vector<std::string>{"teams[1].keys[0].id"});
}

// Guards against overflow that passes a request round for ever.
TEST(DocumentTest, OverflowLoopIsRefused) {
  Json Value = exampleJson();
  Value["queues"][0]["teams"] = {"north", "south"};
  Value["queues"][1]["overflow"] = "calls";
  EXPECT_EQ(badFields(Value), (std::vector<std::string>{"queues[0].overflow",
                                                        "queues[1].overflow"}));
}

// Guards against a document that stops the whole fleet.
TEST(DocumentTest, LastDataCentreCannotGoOut) {
  Json Value = exampleJson();
  Value["data_centres"][0]["state"] = "out";
  EXPECT_EQ(badFields(Value), std::vector<std::string>{});
  Value["data_centres"][1]["state"] = "out";
  EXPECT_EQ(badFields(Value), std::vector<std::string>{"data_centres"});
}

// Guards against the JSON library keeping the last of two equal fields.
TEST(DocumentTest, RepeatedFieldIsRefused) {
  std::string Text = exampleJson().dump();
  Text.insert(1, R"("teams":[],)");
  EXPECT_EQ(errorsOf(Text).front().Message, "appears twice in one object");
}

// Guards against hostile nesting and size.
TEST(DocumentTest, RefusesDeepAndLargeInput) {
  EXPECT_EQ(errorsOf(std::string(100000, '[')).front().Field, "document");
  EXPECT_EQ(errorsOf(std::string(960001, ' ')).front().Field, "document");
  EXPECT_EQ(errorsOf("").front().Field, "document");
}

// Guards against fields lost between the store and a process.
TEST(DocumentTest, RoundTrip) {
  Json Value = exampleJson();
  Document Read = parseDocument(Value.dump(2));
  EXPECT_EQ(toJson(Read), Value);
  EXPECT_EQ(serialise(parseDocument(serialise(Read))), serialise(Read));
  EXPECT_EQ(Read.DataCentres[1].CutOffService, Duration(60000));
  EXPECT_EQ(Read.Teams[0].Limit, (Resources{64000, 128000, 2, 100, 100}));
}

// Guards against authentication that accepts more than the exact key.
TEST(AccessTest, OnlyTheExactKeyIsAccepted) {
  Document Read = parseDocument(exampleJson().dump());
  std::string Key = exampleKey().Text;
  EXPECT_EQ(authenticate(Read, Key), TeamId("north"));
  for (const std::string &Wrong :
       {std::string(), std::string("north-1"), std::string("north-1."),
        Key.substr(0, Key.size() - 1), Key + "0", "x" + Key, "south-1." + Key,
        exampleCredential().Text})
    EXPECT_EQ(authenticate(Read, Wrong), std::nullopt) << Wrong;
  EXPECT_EQ(authenticateOperator(Read, exampleCredential().Text), "olga");
  EXPECT_EQ(authenticateOperator(Read, Key), std::nullopt);
}

// Guards against a withdrawn key that is still in the index.
TEST(AccessTest, WithdrawnKeyIsRefused) {
  Json Value = exampleJson();
  Value["teams"][0]["keys"].clear();
  EXPECT_EQ(authenticate(parseDocument(Value.dump()), exampleKey().Text),
            std::nullopt);
  Document Edited = parseDocument(exampleJson().dump());
  Edited.Teams[0].Keys.clear();
  EXPECT_EQ(authenticate(Edited, exampleKey().Text), std::nullopt);
}

// Guards against work accepted for a team that may not use the queue (I3).
TEST(AccessTest, QueuesAreForTheirTeams) {
  Document Read = parseDocument(exampleJson().dump());
  EXPECT_TRUE(mayUse(Read, TeamId("north"), QueueId("calls")));
  EXPECT_FALSE(mayUse(Read, TeamId("south"), QueueId("calls")));
  EXPECT_FALSE(mayUse(Read, TeamId("north"), QueueId("unknown")));
  EXPECT_EQ(chargedTeam(Read, QueueId("public"), std::nullopt),
            TeamId("south"));
  EXPECT_EQ(chargedTeam(Read, QueueId("batch"), std::nullopt), std::nullopt);
}

} // namespace
} // namespace teaselwalk::config
