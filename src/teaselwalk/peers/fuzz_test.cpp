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

/// Generates \p Valid with one byte replaced, \p Valid cut short, or arbitrary
/// text.
rc::Gen<std::string> corrupted(const std::string &Valid) {
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

template <typename Property> void checkWithFixedSeed(Property Predicate) {
  rc::detail::TestParams Params;
  Params.seed = 815;
  Params.maxSuccess = 2000;
  auto Result = rc::detail::checkTestable(std::move(Predicate),
                                          rc::detail::TestMetadata(), Params);
  EXPECT_TRUE(Result.template is<rc::detail::SuccessResult>()) << Result;
}

// Guards against malformed parameters that end the process, because `decode()`
// throws something other than `InvalidInput`.
TEST(PeersFuzzTest, DecodeThrowsOnlyInvalidInput) {
  const std::string Valid = validCall();
  checkWithFixedSeed([&] {
    std::string Method(*rc::gen::elementOf(
        std::vector<std::string_view>(MethodNames.begin(), MethodNames.end())));
    try {
      decode(Method, *corrupted(Valid));
    } catch (const InvalidInput &) {
      return;
    }
  });
}

// Guards against malformed requests that end the server process, such as deeply
// nested arrays, and against a failed method that suppresses the results of the
// other calls in its batch.
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
  checkWithFixedSeed([&] { Methods.handle(*corrupted(Valid)); });
}

// Guards against malformed responses that end the client process, such as
// deeply nested arrays.
TEST(PeersFuzzTest, RepliesDecodeFromAnyText) {
  const std::string Valid =
      R"([{"jsonrpc":"2.0","id":1,"result":{"taken":true}},)"
      R"({"jsonrpc":"2.0","id":2,"error":{"code":-1,"message":"m"}}])";
  EXPECT_EQ(jsonrpc::decodeReplies(Valid, 2)[1].Text, "m");
  jsonrpc::decodeReplies(std::string(200000, '['), 1);
  checkWithFixedSeed([&] {
    RC_ASSERT(jsonrpc::decodeReplies(*corrupted(Valid), 2).size() == 2U);
  });
}

} // namespace
} // namespace teaselwalk::peers
