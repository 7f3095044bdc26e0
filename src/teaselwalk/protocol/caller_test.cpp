#include "teaselwalk/protocol/caller.hpp"

#include "teaselwalk/base/error.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace teaselwalk::protocol {
namespace {

const CallerBounds Bounds;

std::vector<std::string> badFields(const std::string &Body) {
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

// Guards against a mistake hiding the ones after it.
TEST(CallerParseTest, ReportsEveryMistake) {
  auto Names = badFields(
      R"({"queue":"","cpu_millis":-1,"memory_mb":"x","deadline_ms":0,"extra":1})");
  EXPECT_EQ(Names, (std::vector<std::string>{"queue", "cpu_millis", "memory_mb",
                                             "deadline_ms", "extra"}));
}

// Guards against sizes that wrap around to a small or negative number.
TEST(CallerParseTest, RefusesAbsurdNumbers) {
  for (const char *Number : {"18446744073709551615", "9223372036854775808",
                             "1e300", "1.5", "null", "true", "[]"}) {
    std::string Body = R"({"queue":"q","memory_mb":1,"cpu_millis":)" +
                       std::string(Number) + "}";
    EXPECT_EQ(badFields(Body), std::vector<std::string>{"cpu_millis"})
        << Number;
  }
}

// Guards against truncated or non-object bodies being read as defaults.
TEST(CallerParseTest, RefusesWhatIsNotAnObject) {
  for (const char *Body :
       {"", "{", "[]", "1", "\"x\"", "{\"queue\":\"q\"", "nul"})
    EXPECT_EQ(badFields(Body), std::vector<std::string>{"body"}) << Body;
}

// Guards against fields lost between acceptance and the store.
TEST(CallerParseTest, JobSpecSurvivesTheStore) {
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
