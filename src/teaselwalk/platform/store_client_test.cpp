#include "teaselwalk/platform/store_client.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/protocol/vm_json.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace teaselwalk::platform {
namespace {

using protocol::Delivery;
using protocol::StoreOperation;
using protocol::StoreRequest;
using protocol::StoreStatus;

StoreRequest callOf(StoreOperation Operation) {
  StoreRequest Call;
  Call.Operation = Operation;
  Call.Key = "config/head";
  Call.Value = "v";
  Call.Lease = "7";
  return Call;
}

StoreStatus statusOf(StoreOperation Operation, int Code,
                     const std::string &Body) {
  return toReply(callOf(Operation), {Delivery::Answered, {Code, Body}}).Status;
}

// Guards against taking a malformed 200 answer for success.
TEST(StoreClientTest, MalformedAnswerIsLost) {
  for (const char *Body :
       {"", "{", "[]", "{}", "null", R"({"version":"3"})", R"({"version":-1})",
        R"({"version":1.5})", R"({"version":0})", R"({"version":true})",
        R"({"versio)"}) {
    EXPECT_EQ(statusOf(StoreOperation::Write, 200, Body), StoreStatus::Lost)
        << Body;
    EXPECT_EQ(statusOf(StoreOperation::Read, 200, Body), StoreStatus::Lost)
        << Body;
    EXPECT_EQ(statusOf(StoreOperation::List, 200, Body), StoreStatus::Lost)
        << Body;
    EXPECT_EQ(statusOf(StoreOperation::GrantLease, 200, Body),
              StoreStatus::Lost)
        << Body;
  }
  EXPECT_EQ(statusOf(StoreOperation::Write, 200, R"({"version":3})"),
            StoreStatus::Ok);
}

// Guards against reporting a call as refused when the error answer leaves open
// whether it took effect.
TEST(StoreClientTest, RefusedOnlyIfCertainlyNotRun) {
  const std::string NotRun = R"({"verdict":"not_run"})";
  auto Write = StoreOperation::Write;
  EXPECT_EQ(statusOf(Write, 503, NotRun), StoreStatus::Refused);
  EXPECT_EQ(statusOf(Write, 413, ""), StoreStatus::Refused);
  for (int Code : {200, 201, 302, 304, 408, 500, 502, 503, 504})
    EXPECT_EQ(statusOf(Write, Code, "{}"), StoreStatus::Lost) << Code;
  EXPECT_EQ(statusOf(Write, 409, R"({"version":0})"), StoreStatus::Conflict);
  EXPECT_EQ(statusOf(Write, 409, "{}"), StoreStatus::Lost);
}

// Guards against accepting 304 for a read that named no version.
TEST(StoreClientTest, UnchangedOnlyIfTheReadNamedAVersion) {
  StoreRequest Call = callOf(StoreOperation::Read);
  EXPECT_EQ(toReply(Call, {Delivery::Answered, {304, ""}}).Status,
            StoreStatus::Lost);
  Call.Unless = 4;
  auto Reply = toReply(Call, {Delivery::Answered, {304, ""}});
  EXPECT_EQ(Reply.Status, StoreStatus::Unchanged);
  EXPECT_EQ(Reply.Version, 4U);
}

// Guards against skipping a malformed row: a VM that is absent from the list
// counts as gone.
TEST(VmListTest, OneMalformedRowInvalidatesTheList) {
  protocol::VmInfo Row{
      "e1", {"127.0.0.1", 80}, DataCentreId("brno-a"), RackId("r1")};
  nlohmann::json Good = Row;
  EXPECT_EQ(protocol::parseVms(nlohmann::json::array({Good}).dump()).size(),
            1U);
  EXPECT_THROW(protocol::parseVms(nlohmann::json::array({Good, Good}).dump()),
               InvalidInput);
  for (const auto &Item : Good.items()) {
    nlohmann::json Bad = Good;
    Bad.erase(Item.key());
    EXPECT_THROW(protocol::parseVms(nlohmann::json::array({Good, Bad}).dump()),
                 InvalidInput)
        << Item.key();
  }
  for (const char *Text : {"", "{}", "[1]", "[", "null"})
    EXPECT_THROW(protocol::parseVms(Text), InvalidInput) << Text;
}

} // namespace
} // namespace teaselwalk::platform
