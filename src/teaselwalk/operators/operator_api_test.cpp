#include "fake_backend.hpp"
#include "form.hpp"

#include "teaselwalk/http/client.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace teaselwalk::operators {
namespace {

using Json = nlohmann::json;

class OperatorApiTest : public testing::Test {
protected:
  OperatorApiTest()
      : Api(Backend, {[this] { return NowMs; },
                      [this](size_t Count) {
                        return std::vector<uint8_t>(Count, ++RandomByte);
                      }}) {}

  http::Response send(const char *Method, const std::string &Target,
                      const std::string &Body = {}) {
    http::Response Got;
    int Answers = 0;
    Api.handle({Method, Target, Body, Credential}, [&](http::Response Ready) {
      Got = std::move(Ready);
      ++Answers;
    });
    EXPECT_EQ(Answers, 1);
    return Got;
  }

  http::Response apply(const Json &Document, uint64_t Base,
                       const std::string &Confirm = {}) {
    return send("POST", "/v1/config/apply",
                Json{{"base_revision", Base},
                     {"document", Document},
                     {"who", "olga"},
                     {"why", "test"},
                     {"confirm", Confirm}}
                    .dump());
  }

  int64_t NowMs = 1000;
  uint8_t RandomByte = 0;
  std::string Credential = testCredential().Text;
  FakeBackend Backend;
  OperatorApi Api;
};

Json withShare(int Share) {
  Json Out = testDocument();
  Out["teams"][0]["share"] = Share;
  return Out;
}

// Guards against a route that a team's key or no key opens.
TEST_F(OperatorApiTest, EveryRouteNeedsACredential) {
  for (const char *Wrong : {"", "olga", "olga.", "north-1.secret"}) {
    Credential = Wrong;
    for (const char *Route : {"/v1/config", "/v1/config/history",
                              "/v1/config/in-force", "/v1/other"})
      EXPECT_EQ(send("GET", Route).Status, 401) << Wrong << Route;
    for (const char *Route : {"/v1/config/draft", "/v1/config/apply"})
      EXPECT_EQ(send("POST", Route, "{}").Status, 401) << Wrong << Route;
    for (const char *Route :
         {"/console/home", "/console/draft", "/console/confirm", "/console/x"})
      EXPECT_EQ(send("POST", Route, "").Status, 401) << Wrong << Route;
  }
  EXPECT_EQ(Backend.Proposals, 0);
}

// Guards against a document that cannot be edited and sent back.
TEST_F(OperatorApiTest, ShownDocumentCanBeApplied) {
  Json Shown = Json::parse(send("GET", "/v1/config").Body);
  EXPECT_EQ(Shown["revision"], 1);
  Shown["document"]["teams"][0]["share"] = 5;
  http::Response Got = apply(Shown["document"], 1);
  EXPECT_EQ(Got.Status, 200);
  EXPECT_EQ(Json::parse(Got.Body)["revision"], 2);
  EXPECT_EQ(Backend.Store.Snapshot.Content.Teams[0].Share, 5);
  Json History = Json::parse(send("GET", "/v1/config/history").Body);
  EXPECT_EQ(History["changes"][0]["who"], "olga");
  EXPECT_EQ(History["changes"][0]["when_ms"], 1000);
}

// Guards against an operator who is not told where a change is in force.
TEST_F(OperatorApiTest, InForceStatesTheLatestEffect) {
  Json Rows = Json::parse(send("GET", "/v1/config/in-force").Body);
  EXPECT_EQ(Rows["data_centres"][0]["latest_effect_ms"], 3000);
  EXPECT_EQ(Rows["data_centres"][1]["latest_effect_ms"], 63000);
  EXPECT_EQ(Rows["data_centres"][1]["age_ms"], 90000);
}

// Guards against a draft that changes something or hides a mistake.
TEST_F(OperatorApiTest, DraftOnlyDescribes) {
  Json Wanted = withShare(3);
  http::Response Got =
      send("POST", "/v1/config/draft", Json{{"document", Wanted}}.dump());
  ASSERT_EQ(Got.Status, 200);
  EXPECT_EQ(Json::parse(Got.Body)["changes"][0]["text"],
            "team north: share goes from 1 (50.0%) to 3 (75.0%)");
  EXPECT_EQ(Backend.Proposals, 0);
  Wanted["teams"][0]["share"] = 0;
  Wanted["queues"][0]["class"] = "x";
  Got = send("POST", "/v1/config/draft",
             Json{{"document", Wanted}, {"extra", 1}}.dump());
  EXPECT_EQ(Got.Status, 422);
  EXPECT_EQ(Json::parse(Got.Body)["errors"].size(), 3U);
}

// Guards against a dangerous change by one careless command.
TEST_F(OperatorApiTest, DangerousChangeNeedsItsName) {
  Json Wanted = testDocument();
  Wanted["data_centres"][0]["state"] = "out";
  EXPECT_EQ(apply(Wanted, 1).Status, 422);
  EXPECT_EQ(apply(Wanted, 1, "b").Status, 422);
  EXPECT_EQ(Backend.Proposals, 0);
  EXPECT_EQ(apply(Wanted, 1, "a").Status, 200);
}

// Guards against one of two racing operators overwriting the other's change.
TEST_F(OperatorApiTest, RacingOperatorGetsTheOtherChange) {
  Backend.RefreshAtOnce = false;
  EXPECT_EQ(apply(withShare(2), 1).Status, 200);
  // This process does not know of revision 2 yet; the store does.
  http::Response Late = apply(withShare(7), 1);
  EXPECT_EQ(Late.Status, 409);
  EXPECT_EQ(Json::parse(Late.Body)["revision"], 2);
  EXPECT_EQ(Json::parse(Late.Body)["changes"][0]["text"],
            "revision 2 by olga: test (/teams/0/share)");
  Backend.refresh();
  int Before = Backend.Proposals;
  EXPECT_EQ(apply(withShare(7), 1).Status, 409);
  EXPECT_EQ(Backend.Proposals, Before);
  EXPECT_EQ(Backend.Store.Snapshot.Content.Teams[0].Share, 2);
}

// Guards against calling a change "not made" that may be in force.
TEST_F(OperatorApiTest, LostOutcomeIsNotARefusal) {
  Backend.Forced = ProposalState::Unknown;
  http::Response Got = apply(withShare(2), 1);
  EXPECT_EQ(Got.Status, 503);
  EXPECT_EQ(Json::parse(Got.Body)["verdict"], "may_have_run");
  Backend.Forced = ProposalState::Unavailable;
  EXPECT_EQ(Json::parse(apply(withShare(2), 1).Body)["verdict"], "not_run");
}

// Guards against a revision for every repeated request.
TEST_F(OperatorApiTest, EqualDocumentIsNoChange) {
  EXPECT_EQ(apply(testDocument(), 1).Status, 200);
  EXPECT_EQ(Backend.Proposals, 0);
}

// Guards against bodies that are no envelope.
TEST_F(OperatorApiTest, RefusesOddBodies) {
  for (const char *Body : {"", "[]", "{}", "{\"document\":1}", "\xff"})
    for (const char *Route : {"/v1/config/draft", "/v1/config/apply"})
      EXPECT_EQ(send("POST", Route, Body).Status, 422) << Body;
  EXPECT_EQ(send("GET", "/v1/config/other").Status, 404);
  Backend.Known = nullptr;
  EXPECT_EQ(send("GET", "/v1/config").Status, 503);
}

/// A browser that follows the console's forms.
class ConsoleTest : public OperatorApiTest {
protected:
  ConsoleTest() { Credential.clear(); }

  http::Response post(const std::string &Page, const std::string &Fields) {
    return send("POST", "/console/" + Page, Fields);
  }

  void logIn() {
    std::string Body =
        post("login", "credential=" + testCredential().Text).Body;
    size_t At = Body.find("name=\"session\" value=\"");
    ASSERT_NE(At, std::string::npos);
    Session = Body.substr(At + 22, 64);
    EXPECT_EQ(Body.find(testCredential().Text), std::string::npos);
  }

  std::string form(const std::string &Action, uint64_t Base) const {
    return "session=" + Session + "&base_revision=" + std::to_string(Base) +
           "&action=" + Action;
  }

  std::string Session;
};

// Guards against a console that cannot make a change from login to result.
TEST_F(ConsoleTest, DraftThenConfirm) {
  logIn();
  std::string Fields =
      form("data_centre_set", 1) + "&name=a&state=draining&cut_off_service_s=0";
  http::Response Draft = post("draft", Fields);
  EXPECT_EQ(Draft.Status, 200);
  EXPECT_NE(Draft.Body.find("data centre a goes from in to draining"),
            std::string::npos);
  EXPECT_EQ(Backend.Proposals, 0);
  EXPECT_EQ(post("confirm", Fields + "&why=test").Status, 422);
  EXPECT_EQ(post("confirm", Fields + "&why=test&confirm=a").Status, 200);
  EXPECT_EQ(Backend.Store.Snapshot.Content.DataCentres[0].State,
            config::DataCentreState::Draining);
  EXPECT_EQ(post("confirm", Fields + "&why=again&confirm=a").Status, 409);
}

// Guards against a key that is lost or shown twice.
TEST_F(ConsoleTest, KeyIsShownOnce) {
  logIn();
  std::string Fields = form("key_add", 1) + "&name=north&key=north-1";
  EXPECT_EQ(post("draft", Fields).Body.find("north-1."), std::string::npos);
  std::string Body = post("confirm", Fields + "&why=test").Body;
  size_t At = Body.find("north-1.");
  ASSERT_NE(At, std::string::npos);
  std::string Key = Body.substr(At, 8 + 64);
  EXPECT_EQ(config::authenticate(Backend.Store.Snapshot.Content, Key),
            TeamId("north"));
  EXPECT_EQ(post("home", "session=" + Session).Body.find(Key),
            std::string::npos);
  EXPECT_EQ(serialise(Backend.Store.Head).find(Key.substr(8)),
            std::string::npos);
  std::string Withdraw = form("key_withdraw", 2) + "&name=north&key=north-1";
  EXPECT_EQ(post("confirm", Withdraw + "&why=test&confirm=north").Status, 200);
  EXPECT_EQ(config::authenticate(Backend.Store.Snapshot.Content, Key),
            std::nullopt);
}

// Guards against an action that changes something else than it names.
TEST_F(ConsoleTest, EveryActionWorks) {
  logIn();
  const std::vector<std::string> Steps = {
      "team_set&name=west&share=2&cpu_millis=5&memory_mb=6&accelerators=0&"
      "tasks=7",
      "queue_set&name=w&access=keyed&class=batch&teams=west+north&"
      "deadline_ms=500&overflow=",
      "queue_remove&name=w&confirm=w", "team_remove&name=west&confirm=west"};
  uint64_t Base = 1;
  for (const std::string &Step : Steps)
    EXPECT_EQ(post("confirm", form(Step, Base++) + "&why=test").Status, 200)
        << Step;
  EXPECT_EQ(toJson(Backend.Store.Snapshot.Content), testDocument());
  EXPECT_EQ(post("draft", form("other", Base)).Status, 422);
  EXPECT_EQ(post("draft", form("team_remove&name=none", Base)).Status, 422);
  EXPECT_EQ(post("draft", form("team_set&name=north&share=x", Base)).Status,
            422);
}

// Guards against a session that outlives its operator or its length.
TEST_F(ConsoleTest, SessionEnds) {
  logIn();
  NowMs += 1800000;
  EXPECT_EQ(post("home", "session=" + Session).Status, 200);
  NowMs += 1800001;
  EXPECT_EQ(post("home", "session=" + Session).Status, 401);
  logIn();
  Backend.Store.Snapshot.Content.Operators[0].Secret.Hash[0] ^= 1;
  Backend.refresh();
  EXPECT_EQ(post("home", "session=" + Session).Status, 401);
  EXPECT_EQ(post("login", "credential=olga.x").Status, 401);
}

// Guards against markup or scripts in pages from names and reasons.
TEST_F(ConsoleTest, TextIsEscaped) {
  logIn();
  std::string Fields = form("team_set", 1) +
                       "&name=north&share=2&cpu_millis=1000&memory_mb=1000&"
                       "accelerators=0&tasks=10&%3Cscript%3E=%22%3E%3Cscript";
  for (const std::string &Body :
       {post("draft", Fields).Body,
        post("confirm", Fields + "&why=%3Cscript%3E").Body,
        post("home", "session=" + Session).Body,
        post("draft", form("team_remove&name=%3Cscript%3E", 2)).Body})
    EXPECT_EQ(Body.find("<script"), std::string::npos);
  EXPECT_EQ(escapeHtml("<a b='c'>&\""), "&lt;a b=&#39;c&#39;&gt;&amp;&quot;");
}

// Guards against answers that do not leave the server.
TEST_F(OperatorApiTest, AnswersOverHttp) {
  http::ServerOptions Options;
  Options.MaxBodyBytes = MaxRequestBytes;
  http::Server Server(Options, Api.handler());
  std::thread Thread([&] { Server.run(); });
  http::Request Message;
  Message.Target = "/v1/config";
  Message.Bearer = Credential;
  http::Result Got =
      http::sendAndWait({"127.0.0.1", Server.port()}, Message, Duration(5000));
  Server.stop();
  Thread.join();
  ASSERT_EQ(Got.State, protocol::Delivery::Answered);
  EXPECT_EQ(Json::parse(Got.Message.Body)["revision"], 1);
}

} // namespace
} // namespace teaselwalk::operators
