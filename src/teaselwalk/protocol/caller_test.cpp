#include "teaselwalk/protocol/caller.hpp"

#include "teaselwalk/base/error.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace teaselwalk::protocol {
namespace {

const CallerBounds Bounds;

std::vector<std::string> invalidFields(const std::string &Body) {
  try {
    parseCall(Body, Bounds);
  } catch (const InvalidInput &Failure) {
    std::vector<std::string> Names;
    for (const FieldError &Row : Failure.errors())
      Names.push_back(Row.Field);
    return Names;
  }
  return {};
}

// Guards against a parser that stops at the first invalid field, so that the
// caller finds the errors one request at a time.
TEST(CallerParseTest, ReportsEveryMistake) {
  auto Names = invalidFields(
      R"({"queue":"","cpu_millis":-1,"memory_mb":"x","deadline_ms":0,"extra":1})");
  EXPECT_EQ(Names, (std::vector<std::string>{"queue", "cpu_millis", "memory_mb",
                                             "deadline_ms", "extra"}));
}

// Guards against values that become another number when they are converted to
// int64_t: integers above its range wrap, fractions are cut off.
TEST(CallerParseTest, RefusesNonIntegersAndIntegersOutOfRange) {
  for (const char *Number : {"18446744073709551615", "9223372036854775808",
                             "1e300", "1.5", "null", "true", "[]"}) {
    std::string Body = R"({"queue":"q","memory_mb":1,"cpu_millis":)" +
                       std::string(Number) + "}";
    EXPECT_EQ(invalidFields(Body), std::vector<std::string>{"cpu_millis"})
        << Number;
  }
}

// Guards against a body that is truncated or not an object being accepted as a
// request whose fields are all absent.
TEST(CallerParseTest, RefusesBodyThatIsNotAnObject) {
  for (const char *Body :
       {"", "{", "[]", "1", "\"x\"", "{\"queue\":\"q\"", "nul"})
    EXPECT_EQ(invalidFields(Body), std::vector<std::string>{"body"}) << Body;
}

// Guards against a field that `to_json` or `from_json` leaves out: the job
// would lose it when another process reads it from the store.
TEST(CallerParseTest, JobSpecSurvivesStoreRoundTrip) {
  JobSpec Spec = parseJob(
      R"({"name":"replan","kind":"gang","queue":"plans","tasks":12,
          "cpu_millis":500,"memory_mb":256,"accelerators":1,"run_ms":3000,
          "urgent":true,"idempotent":false,"payload":"sector 4"})",
      Bounds);
  nlohmann::json Json = Spec;
  JobSpec Copy = Json.get<JobSpec>();
  EXPECT_EQ(nlohmann::json(Copy), Json);
  EXPECT_EQ(Copy.Kind, JobKind::Gang);
  EXPECT_EQ(Copy.Tasks, 12U);
  EXPECT_FALSE(Copy.Idempotent);
}

} // namespace
} // namespace teaselwalk::protocol
