#include "teaselwalk/endpoints/endpoint_client.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace teaselwalk::endpoints {
namespace {

using protocol::Delivery;
using protocol::EndpointState;
using protocol::RunCommand;
using protocol::RunResult;
using protocol::StaleEpoch;

http::Result answered(int Status, const std::string &Body) {
  return {Delivery::Answered, {Status, Body}};
}

RunCommand runWith(bool Wait) {
  RunCommand Command;
  Command.Id.Task = TaskId("call/1");
  Command.Wait = Wait;
  return Command;
}

bool mayHaveRun(const Answer &Value) {
  const auto *Failure = std::get_if<Failed>(&Value);
  return Failure && Failure->Outcome == Verdict::MayHaveRun;
}

// Guards against taking an answer that lacks its list of tasks for that of an
// endpoint that runs none.
TEST(EndpointClientTest, OnlyAnUnchangedStateMayLeaveOutTheTasks) {
  auto AnswerWith = [](const std::string &Flag) {
    return toAnswer(
        protocol::RenewCommand(),
        answered(200, R"({"epoch":{"counter":1,"process":"p"},"leaving":false,)"
                      R"("finished":[])" +
                          Flag + "}"));
  };
  Answer Good = AnswerWith(R"(,"unchanged":true)");
  ASSERT_TRUE(std::holds_alternative<EndpointState>(Good));
  EXPECT_TRUE(std::get<EndpointState>(Good).Unchanged);
  for (const char *Flag : {"", R"(,"unchanged":false)", R"(,"unchanged":1)"})
    EXPECT_TRUE(mayHaveRun(AnswerWith(Flag))) << Flag;
}

// Guards against running a task again because its answer was damaged in
// transit: such a task may have run.
TEST(EndpointClientTest, MalformedAnswerToRunMayHaveRun) {
  for (const char *Body : {"", "{", "[]", "{}", R"({"ok":1,"result":"x"})",
                           R"({"ok":true})", R"({"ok":true,"result":"tru)"})
    EXPECT_TRUE(mayHaveRun(toAnswer(runWith(true), answered(200, Body))))
        << Body;
  // 202 does not answer a call that waits for the result.
  EXPECT_TRUE(mayHaveRun(toAnswer(runWith(true), answered(202, "{}"))));
  for (int Status : {201, 204, 302, 400, 404, 409, 500, 502, 503, 504})
    EXPECT_TRUE(mayHaveRun(toAnswer(runWith(false), answered(Status, "{}"))))
        << Status;
}

// Guards against reporting a command that certainly did not run as one that may
// have run, and the reverse.
TEST(EndpointClientTest, DistinguishesTheAnswersToRun) {
  RunCommand Quick = runWith(true);
  auto Result = toAnswer(Quick, answered(200, R"({"ok":true,"result":"r"})"));
  ASSERT_TRUE(std::holds_alternative<RunResult>(Result));
  EXPECT_EQ(std::get<RunResult>(Result).Result, "r");
  EXPECT_TRUE(std::holds_alternative<Started>(
      toAnswer(runWith(false), answered(202, "{}"))));
  EXPECT_TRUE(
      std::holds_alternative<NoRoom>(toAnswer(Quick, answered(507, "{}"))));
  auto Stale = toAnswer(
      Quick, answered(409, R"({"epoch":{"counter":7,"process":"p2"}})"));
  ASSERT_TRUE(std::holds_alternative<StaleEpoch>(Stale));
  EXPECT_EQ(std::get<StaleEpoch>(Stale).Owner.Counter, 7U);
  auto Refused = toAnswer(Quick, answered(503, R"({"verdict":"not_run"})"));
  EXPECT_EQ(std::get<Failed>(Refused).Outcome, Verdict::NotRun);
  EXPECT_EQ(std::get<Failed>(toAnswer(Quick, {Delivery::NotSent, {}})).Outcome,
            Verdict::NotRun);
  EXPECT_EQ(std::get<Failed>(toAnswer(Quick, {Delivery::Lost, {}})).Outcome,
            Verdict::MayHaveRun);
}

// Guards against accepting a state with a damaged field, from which the owner
// would conclude that a task is gone or that the capacity is larger than it is.
TEST(EndpointClientTest, StateWithOneBadFieldIsRefused) {
  EndpointState State;
  State.Owner = {3, ProcessId("p1")};
  State.Capacity = {64000, 131072, 0, 8, 60};
  State.Tasks.push_back({{TaskId("j/0"), 1}, TeamId("t"), {1, 1, 0, 1, 0}, {}});
  State.Finished.push_back({{TaskId("j/1"), 1}, true, "r"});
  const nlohmann::json Good = State;
  auto IsState = [](const nlohmann::json &Json) {
    return std::holds_alternative<EndpointState>(
        toAnswer(protocol::AttachCommand(), answered(200, Json.dump())));
  };
  ASSERT_TRUE(IsState(Good));
  for (const char *Path :
       {"/epoch", "/epoch/counter", "/capacity", "/capacity/slots", "/leaving",
        "/tasks", "/tasks/0", "/tasks/0/attempt", "/tasks/0/task",
        "/tasks/0/resources/memory_mb", "/finished", "/finished/0/ok",
        "/finished/0/attempt", "/finished/0/result"})
    for (const auto &Wrong :
         {nlohmann::json(nullptr), nlohmann::json(-1), nlohmann::json(1.5),
          nlohmann::json(4294967296.5)}) {
      nlohmann::json Bad = Good;
      Bad[nlohmann::json::json_pointer(Path)] = Wrong;
      EXPECT_FALSE(IsState(Bad)) << Path << ' ' << Wrong;
    }
}

} // namespace
} // namespace teaselwalk::endpoints
