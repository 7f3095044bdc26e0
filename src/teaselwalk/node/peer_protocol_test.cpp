#include "peer_protocol.hpp"

#include "teaselwalk/base/error.hpp"

#include <gtest/gtest.h>

#include <string>

namespace teaselwalk::node {
namespace {

/// Deep enough to exhaust the stack of a thread if each level takes a call.
std::string nested() {
  constexpr size_t Nesting = 500000;
  return std::string(Nesting, '[') + std::string(Nesting, ']');
}

std::vector<std::string> oddNumbers() {
  return {
      "-1",    "9223372036854775807", "18446744073709551615", "1e30", R"("7")",
      nested()};
}

// Guards against a message of another process whose number becomes another one,
// or a value that the enum does not have.
TEST(PeerProtocolTest, NumbersOutOfRangeAreRefused) {
  cell::JobQueryResult Known =
      decodeJobAnswer(encode(cell::JobQueryResult{true, true}));
  EXPECT_TRUE(Known.IsKnown);
  std::vector<std::string> Numbers = oddNumbers();
  Numbers.emplace_back("5");
  for (const std::string &Number : Numbers) {
    EXPECT_THROW(decodeJobAnswer(R"({"answered":true,"known":true,"status":)" +
                                 Number + R"(,"queue":"q","team":"t"})"),
                 Error);
    EXPECT_THROW(decodeAdvice(R"({"outcome":)" + Number +
                              R"(,"tickets":[],"valid_for_ms":1})"),
                 Error);
  }
  for (const std::string &Number : oddNumbers()) {
    EXPECT_THROW(
        decodePendingAnswer(R"({"answered":true,"count":)" + Number + "}"),
        Error);
    EXPECT_THROW(
        decodeProbeAnswer(R"({"process":"p","stalled_ms":)" + Number + "}"),
        Error);
    EXPECT_THROW(decodeForwardedAdviceRequest(
                     R"({"job":"j","occurrence":0,"step":)" + Number +
                     R"(,"candidates":[],"timeout_ms":1})"),
                 Error);
  }
}

} // namespace
} // namespace teaselwalk::node
