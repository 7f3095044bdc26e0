#include "jsonrpc/batch.hpp"
#include "jsonrpc/dispatcher.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/peers/message.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace teaselwalk::peers {
namespace {

std::string validCall() {
  CallMessage Call;
  Call.Token = 1;
  Call.Call.Call.Request = RequestId("r1");
  Call.Call.Call.Size = {100, 64, 0, 1, 1};
  return encode({ProcessId("a"), {"127.0.0.1", 1}, {5, 6}, Call});
}

/// \p Valid with one byte replaced, cut short, or any text.
rc::Gen<std::string> nearly(const std::string &Valid) {
  auto Position = rc::gen::inRange<size_t>(0, Valid.size());
  auto Mutated =
      rc::gen::map(rc::gen::pair(Position, rc::gen::arbitrary<char>()),
                   [Valid](const std::pair<size_t, char> &Change) {
                     std::string Text = Valid;
                     Text[Change.first] = Change.second;
                     return Text;
                   });
  auto Cut = rc::gen::map(
      Position, [Valid](size_t Length) { return Valid.substr(0, Length); });
  return rc::gen::oneOf(Mutated, Cut, rc::gen::arbitrary<std::string>());
}

template <typename Property> void checkSeeded(Property Holds) {
  rc::detail::TestParams Params;
  Params.seed = 815;
  Params.maxSuccess = 2000;
  auto Result = rc::detail::checkTestable(std::move(Holds),
                                          rc::detail::TestMetadata(), Params);
  EXPECT_TRUE(Result.template is<rc::detail::SuccessResult>()) << Result;
}

// Guards against parameters that end the process instead of being refused.
TEST(PeersFuzzTest, DecodeRefusesWithInvalidInput) {
  const std::string Valid = validCall();
  checkSeeded([&] {
    std::string Method(*rc::gen::elementOf(
        std::vector<std::string_view>(MethodNames.begin(), MethodNames.end())));
    try {
      decode(Method, *nearly(Valid));
    } catch (const InvalidInput &) {
      return;
    }
  });
}

// Guards against requests that end the server, and against a failed method
// that hides the results of the others in its batch.
TEST(PeersFuzzTest, DispatcherAnswersAnyText) {
  jsonrpc::Dispatcher Methods(
      {{"good", [](const std::string &) { return R"({"taken":true})"; }},
       {"bad", [](const std::string &) -> std::string {
          throw std::runtime_error("no");
        }}});
  jsonrpc::Batch Calls;
  Calls.add("good", "{}");
  Calls.add("bad", "{}");
  Calls.add("unknown", "{}");
  const std::string Valid = Calls.text();
  using Kind = jsonrpc::Reply::Kind;
  auto Replies = jsonrpc::decodeReplies(Methods.handle(Valid), 4);
  EXPECT_EQ(Replies[0].State, Kind::Result);
  EXPECT_EQ(Replies[1].State, Kind::Error);
  EXPECT_NE(Replies[1].Text.find("no"), std::string::npos);
  EXPECT_EQ(Replies[2].State, Kind::Error);
  EXPECT_EQ(Replies[3].State, Kind::Missing);
  Methods.handle(std::string(200000, '['));
  checkSeeded([&] { Methods.handle(*nearly(Valid)); });
}

// Guards against responses that end the client.
TEST(PeersFuzzTest, RepliesDecodeFromAnyText) {
  const std::string Valid =
      R"([{"jsonrpc":"2.0","id":1,"result":{"taken":true}},)"
      R"({"jsonrpc":"2.0","id":2,"error":{"code":-1,"message":"m"}}])";
  EXPECT_EQ(jsonrpc::decodeReplies(Valid, 2)[1].Text, "m");
  jsonrpc::decodeReplies(std::string(200000, '['), 1);
  checkSeeded([&] {
    RC_ASSERT(jsonrpc::decodeReplies(*nearly(Valid), 2).size() == 2U);
  });
}

} // namespace
} // namespace teaselwalk::peers
