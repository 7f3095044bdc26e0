#include "teaselwalk/fakes/account.hpp"

#include "teaselwalk/base/error.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::fakes {
namespace {

LoggedRun runOf(const std::string &Mark, const std::string &Task, int64_t Start,
                int64_t End, RunEnd Ended = RunEnd::Finished) {
  LoggedRun Run{"e1",          {TaskId(Task), 1}, Mark,
                timeAt(Start), timeAt(End),       Ended};
  if (Ended == RunEnd::Running)
    Run.End.reset();
  return Run;
}

Submission callOf(const std::string &Mark, std::vector<GivenAnswer> Answers,
                  bool Idempotent = true) {
  return {Mark, RequestKind::Call, 1, Idempotent, std::move(Answers)};
}

const GivenAnswer Broken{0, "", ""};
const GivenAnswer Refused{503, "not_run", ""};
GivenAnswer ranWith(const std::string &Result) { return {200, "ran", Result}; }

// Guards against a count that reports a clean run as faulty.
TEST(AccountTest, CountsACleanRun) {
  Submission Batch{"b", RequestKind::Batch, 2, true, {{202, "", ""}}};
  Submission Service{"s", RequestKind::Service, 1, true, {{202, "", ""}}};
  Account Total = countUp(
      {callOf("a", {ranWith("a")}), callOf("n", {Refused}), Batch, Service,
       callOf("m", {Broken}, false)},
      {runOf("a", "call/a", 0, 5), runOf("b", "j/0", 0, 5),
       runOf("b", "j/1", 0, 3, RunEnd::Stopped), runOf("b", "j/1", 3, 9),
       runOf("s", "k/0", 0, 0, RunEnd::Running), runOf("m", "call/m", 0, 5)});
  EXPECT_TRUE(isClean(Total)) << Total.Faults.front();
  EXPECT_EQ(Total.Submitted, 5U);
  EXPECT_EQ(Total.Answered, 3U);
  EXPECT_EQ(Total.NotRun, 1U);
  EXPECT_EQ(Total.MayHaveRun, 1U);
  EXPECT_EQ(Total.Repeated, 1U);
}

// Guards against lost work that goes unnoticed.
TEST(AccountTest, CountsLostRequests) {
  Submission Batch{"b", RequestKind::Batch, 2, true, {{202, "", ""}}};
  Submission Service{"s", RequestKind::Service, 1, true, {{202, "", ""}}};
  Account Total = countUp(
      {callOf("a", {ranWith("a")}), callOf("i", {Broken}), Batch, Service},
      {runOf("b", "j/0", 0, 5), runOf("b", "j/1", 0, 5, RunEnd::LeaseExpired),
       runOf("s", "k/0", 0, 5, RunEnd::Stopped)});
  EXPECT_EQ(Total.Lost, 4U);
  EXPECT_EQ(Total.Answered, 0U);
}

// Guards against doubled work that goes unnoticed.
TEST(AccountTest, CountsTasksThatRanTwice) {
  auto Twice = [](const Submission &Request, const LoggedRun &A,
                  const LoggedRun &B) {
    return countUp({Request}, {A, B}).RunTwice;
  };
  Submission Once = callOf("a", {ranWith("a")});
  Submission Again = callOf("a", {Broken, ranWith("a")});
  Submission Strict = callOf("a", {ranWith("a")}, false);
  LoggedRun First = runOf("a", "call/a", 0, 5);
  LoggedRun Late = runOf("a", "call/a", 5, 9);
  LoggedRun Overlapping = runOf("a", "call/a", 4, 9);
  LoggedRun Ended = runOf("a", "call/a", 0, 5, RunEnd::LeaseExpired);
  EXPECT_EQ(Twice(Once, First, Late), 1U);
  EXPECT_EQ(Twice(Once, Ended, Late), 0U);
  EXPECT_EQ(Twice(Once, Overlapping, Ended), 1U);
  EXPECT_EQ(Twice(Again, First, Late), 0U);
  EXPECT_EQ(Twice(Again, First, Overlapping), 1U);
  EXPECT_EQ(Twice(Strict, Ended, Late), 1U);
}

// Guards against a false "not run" and against mixed-up answers.
TEST(AccountTest, CountsFalseAnswers) {
  Account Total =
      countUp({callOf("n", {Refused}), callOf("a", {ranWith("b")})},
              {runOf("n", "call/n", 0, 5), runOf("a", "call/a", 0, 5),
               runOf("x", "call/x", 0, 5)});
  EXPECT_EQ(Total.Unexpected, 2U);
  EXPECT_EQ(Total.WrongAnswers, 1U);
  EXPECT_FALSE(isClean(Total));
}

// Guards against a damaged log that is counted as an empty one.
TEST(AccountTest, RefusesDamagedInput) {
  EXPECT_THROW(parseSubmissions("{}"), InvalidInput);
  EXPECT_THROW(parseSubmissions(R"([{"mark":"a"}])"), InvalidInput);
  EXPECT_THROW(parseRunLogs("[null]"), InvalidInput);
  EXPECT_THROW(parseRunLogs(R"([{"endpoint":"e"}])"), InvalidInput);
  EXPECT_TRUE(parseRunLogs("[]").empty());
  auto Rows = parseSubmissions(
      R"([{"mark":"a","kind":"gang","tasks":3,"idempotent":false,
           "answers":[{"status":202},{"status":0}]}])");
  ASSERT_EQ(Rows.size(), 1U);
  EXPECT_EQ(Rows[0].Kind, RequestKind::Gang);
  EXPECT_EQ(Rows[0].Answers.size(), 2U);
}

} // namespace
} // namespace teaselwalk::fakes
