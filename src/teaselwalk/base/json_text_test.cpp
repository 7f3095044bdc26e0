#include "teaselwalk/base/json_text.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace teaselwalk {
namespace {

using Json = nlohmann::json;

// Guards against text that other readers of JSON take for something else.
TEST(JsonTextTest, AnotherReaderFindsTheSameValues) {
  const std::string Odd = std::string("a\"\\\n\t\x01 \xc3\xa9", 9);
  const std::string WithNul("a\0b", 3);
  JsonText Out;
  Out.beginObject().key(Odd).beginArray();
  Out.integer(std::numeric_limits<int64_t>::min());
  Out.integer(std::numeric_limits<int64_t>::max());
  Out.text(Odd).text(WithNul).text("").boolean(true);
  Out.endArray().key("empty").beginObject().endObject().endObject();
  Json Found = Json::parse(Out.take());
  Json Expected = {
      {Odd,
       {std::numeric_limits<int64_t>::min(),
        std::numeric_limits<int64_t>::max(), Odd, WithNul, "", true}},
      {"empty", Json::object()}};
  EXPECT_EQ(Found, Expected);
}

// Guards against a second text that contains the first one.
TEST(JsonTextTest, IsEmptyAfterItWasTaken) {
  JsonText Out;
  Out.beginArray().integer(1).endArray();
  EXPECT_EQ(Out.take(), "[1]");
  Out.beginArray().endArray();
  EXPECT_EQ(Out.take(), "[]");
}

} // namespace
} // namespace teaselwalk
