#include "teaselwalk/callers/api.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <optional>

namespace teaselwalk::callers {
namespace {

using nlohmann::json;
using protocol::Refusal;

const std::string CallBody =
    R"({"queue":"q","cpu_millis":100,"memory_mb":64,"deadline_ms":1000})";

class CallersTest : public ::testing::Test {
protected:
  Api &api() {
    if (!Subject)
      Subject.emplace(Options, hooks(), Registry, std::mt19937_64(1));
    return *Subject;
  }

  ApiHooks hooks() {
    ApiHooks Hooks;
    Hooks.Submit = [this](CallerEvent Event) {
      if (RingFull)
        return false;
      Events.push_back(std::move(Event));
      return true;
    };
    Hooks.MetricsText = [this] { return Registry.render(); };
    Hooks.IsHealthy = [] { return true; };
    Hooks.IsReady = [] { return true; };
    Hooks.Timeline = [this](uint64_t After, size_t Limit) {
      return Buffer.after(After, Limit);
    };
    Hooks.Now = [this] { return Now; };
    return Hooks;
  }

  /// Sends a request; the slot is empty until it is answered.
  const std::optional<http::Response> &send(const http::Request &Message) {
    auto &Slot = Answers.emplace_back();
    api().handle(Message, [&Slot](http::Response Answer) {
      EXPECT_FALSE(Slot) << "answered twice";
      Slot = std::move(Answer);
    });
    return Slot;
  }

  const std::optional<http::Response> &call(const std::string &Id) {
    return send({"POST", "/v1/calls", CallBody, "key", Id});
  }

  template <typename T> const T &lastEvent() {
    return std::get<T>(Events.back());
  }

  static protocol::CallAnswer ran(const std::string &Id,
                                  const std::string &Result) {
    protocol::CallAnswer Answer;
    Answer.Request = RequestId(Id);
    Answer.Outcome = Verdict::Ran;
    Answer.Result = Result;
    return Answer;
  }

  ApiOptions Options;
  runtime::Metrics Registry;
  runtime::TimelineBuffer Buffer{ProcessId("p"), 10};
  TimePoint Now = timeAt(1000);
  bool RingFull = false;
  std::deque<CallerEvent> Events;
  std::deque<std::optional<http::Response>> Answers;
  std::optional<Api> Subject;
};

// Guards against fields lost between HTTP and the engine.
TEST_F(CallersTest, CallReachesEngineAndAnswerReachesCaller) {
  auto &Got = call("r1");
  const auto &Event = lastEvent<CallReceived>();
  EXPECT_EQ(Event.Call.Request, RequestId("r1"));
  EXPECT_EQ(Event.Call.Key, "key");
  EXPECT_FALSE(Got);
  EXPECT_TRUE(api().answer(Event.Id, ran("r1", "out")));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->Status, 200);
  EXPECT_EQ(
      json::parse(Got->Body),
      json({{"request_id", "r1"}, {"verdict", "ran"}, {"result", "out"}}));
}

// Guards against an answer that reaches another request (I6).
TEST_F(CallersTest, WrongAnswersAreDroppedAndCounted) {
  auto &First = call("r1");
  RequestToken FirstId = lastEvent<CallReceived>().Id;
  auto &Second = call("r2");
  RequestToken SecondId = lastEvent<CallReceived>().Id;
  EXPECT_TRUE(api().answer(SecondId, ran("r2", "two")));
  EXPECT_FALSE(api().answer(SecondId, ran("r2", "again")));
  EXPECT_FALSE(api().answer(SecondId + 1, ran("r1", "unknown")));
  EXPECT_FALSE(api().answer(FirstId, ran("r2", "late")));
  EXPECT_FALSE(api().answerJob(FirstId, {}));
  EXPECT_FALSE(First);
  EXPECT_EQ(json::parse(Second->Body)["result"], "two");
  EXPECT_TRUE(api().answer(FirstId, ran("r1", "one")));
  EXPECT_EQ(json::parse(First->Body)["result"], "one");
  std::string Text = Registry.render();
  EXPECT_NE(Text.find("dropped_total{reason=\"unknown\"} 2"),
            std::string::npos);
  EXPECT_NE(Text.find("dropped_total{reason=\"mismatch\"} 2"),
            std::string::npos);
}

// Guards against a request that waits forever when the engine is overloaded,
// and against a wrong verdict for it (I7).
TEST_F(CallersTest, FullRingAnswersNotRun) {
  RingFull = true;
  auto &Got = call("r1");
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->Status, 503);
  EXPECT_GE(Got->RetryAfterSeconds, 1);
  EXPECT_EQ(json::parse(Got->Body)["verdict"], "not_run");
  EXPECT_EQ(api().open(), 0U);
}

// Guards against unbounded memory for open requests.
TEST_F(CallersTest, OpenRequestsAreBounded) {
  Options.MaxOpen = 2;
  call("r1");
  call("r2");
  auto &Third = call("r3");
  ASSERT_TRUE(Third);
  EXPECT_EQ(Third->Status, 503);
  EXPECT_EQ(Events.size(), 2U);
}

// Guards against malformed input reaching the engine, and against errors that
// do not say what is wrong.
TEST_F(CallersTest, BadRequestsNameFieldAndBound) {
  struct Case {
    http::Request Message;
    int Status;
    std::string Field;
  };
  std::string Long(65, 'x');
  const Case Cases[] = {
      {{"POST", "/v1/calls", "{", "", "r1"}, 400, "body"},
      {{"POST", "/v1/calls", R"({"queue":"q","cpu_millis":0,"memory_mb":1})"},
       400,
       "cpu_millis"},
      {{"POST", "/v1/calls", CallBody, "", "a b"}, 400, "X-Request-Id"},
      {{"POST", "/v1/calls", CallBody, "", Long}, 400, "X-Request-Id"},
      {{"GET", "/v1/jobs/a%2Fb"}, 400, "job"},
      {{"GET", "/v1/jobs/"}, 400, "job"},
      {{"GET", "/v1/timeline?after=-1"}, 400, "after"},
      {{"PUT", "/v1/calls"}, 405, "method"},
      {{"GET", "/v2"}, 404, "path"},
  };
  for (const Case &Row : Cases) {
    auto &Got = send(Row.Message);
    ASSERT_TRUE(Got);
    EXPECT_EQ(Got->Status, Row.Status) << Got->Body;
    json Body = json::parse(Got->Body);
    EXPECT_EQ(Body["verdict"], "not_run");
    if (Row.Field == "body") {
      EXPECT_EQ(Body["request_id"], Row.Message.RequestId);
    }
    EXPECT_EQ(Body["field"], Row.Field);
    EXPECT_FALSE(Body["error"].get<std::string>().empty());
  }
  EXPECT_TRUE(Events.empty());
}

// Guards against two requests without an id sharing one.
TEST_F(CallersTest, MissingRequestIdIsMade) {
  call("");
  RequestId First = lastEvent<CallReceived>().Call.Request;
  call("");
  EXPECT_EQ(First.str().size(), 32U);
  EXPECT_NE(lastEvent<CallReceived>().Call.Request, First);
}

// Guards against wrong statuses of job answers.
TEST_F(CallersTest, JobAnswers) {
  auto &Accepted = send(
      {"POST", "/v1/jobs",
       R"({"name":"n","kind":"batch","queue":"q","cpu_millis":1,"memory_mb":1,"run_ms":5})",
       "key", "r1"});
  JobAnswer Answer;
  Answer.Job = JobId("j1");
  Answer.Outcome = Verdict::MayHaveRun;
  EXPECT_TRUE(api().answerJob(lastEvent<JobReceived>().Id, Answer));
  EXPECT_EQ(Accepted->Status, 202);
  EXPECT_EQ(json::parse(Accepted->Body)["job"], "j1");
  auto &Query = send({"GET", "/v1/jobs/j1", "", "key"});
  EXPECT_EQ(lastEvent<JobQuery>().Job, JobId("j1"));
  EXPECT_EQ(lastEvent<JobQuery>().Key, "key");
  Answer.Status = protocol::JobStatus{JobId("j1"), {}, "", {}};
  EXPECT_TRUE(api().answerJob(lastEvent<JobQuery>().Id, Answer));
  EXPECT_EQ(Query->Status, 200);
  auto &Cancel = send({"DELETE", "/v1/jobs/j2", "", "key"});
  JobAnswer Unknown;
  Unknown.Reason = Refusal::NotFound;
  EXPECT_TRUE(api().answerJob(lastEvent<JobCancel>().Id, Unknown));
  EXPECT_EQ(Cancel->Status, 404);
}

// Guards against a request that the engine forgot and that fills the table.
TEST_F(CallersTest, ForgottenRequestExpires) {
  auto &Got = call("r1");
  RequestToken Id = lastEvent<CallReceived>().Id;
  Now += Duration(1000) + Options.AnswerGrace - Duration(1);
  api().expire();
  EXPECT_FALSE(Got);
  Now += Duration(1);
  api().expire();
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->Status, 504);
  EXPECT_EQ(json::parse(Got->Body)["verdict"], "may_have_run");
  EXPECT_FALSE(api().answer(Id, ran("r1", "late")));
}

// Guards against new work during a planned stop.
TEST_F(CallersTest, ShutdownRefusesNewWorkOnly) {
  auto &Open = call("r1");
  RequestToken Id = lastEvent<CallReceived>().Id;
  api().refuseNewWork();
  EXPECT_EQ(call("r2")->Status, 503);
  EXPECT_EQ(send({"GET", "/readyz"})->Status, 503);
  EXPECT_EQ(send({"GET", "/healthz"})->Status, 200);
  EXPECT_TRUE(api().answer(Id, ran("r1", "")));
  EXPECT_EQ(Open->Status, 200);
}

// Guards against events lost between buffer and HTTP.
TEST_F(CallersTest, TimelineAndMetricsAreServed) {
  Buffer.add(runtime::EventName::TaskStarted, {}, 5);
  Buffer.add(runtime::EventName::TaskFinished, {}, 6);
  json Body = json::parse(send({"GET", "/v1/timeline?after=1"})->Body);
  ASSERT_EQ(Body["events"].size(), 1U);
  EXPECT_EQ(Body["events"][0]["event"], "task_finished");
  EXPECT_NE(
      send({"GET", "/metrics"})->Body.find("teaselwalk_caller_requests_total"),
      std::string::npos);
  auto &Status = send({"GET", "/v1/status"});
  EXPECT_TRUE(api().answerStatus(lastEvent<StatusQuery>().Id, {{"a", 1}}));
  EXPECT_EQ(Status->Body, R"({"a":1})");
}

} // namespace
} // namespace teaselwalk::callers
