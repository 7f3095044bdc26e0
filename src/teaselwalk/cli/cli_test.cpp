#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cli/commands.hpp"
#include "teaselwalk/config/access.hpp"
#include "teaselwalk/config/head.hpp"
#include "teaselwalk/http/server.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace teaselwalk::cli {
namespace {

using Json = nlohmann::json;

/// What a command printed and returned.
struct Outcome {
  int Code = ExitOk;
  std::string Text;
};

Outcome runWords(const std::vector<std::string> &Words) {
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  Outcome Out;
  for (const Command &Row : commands()) {
    if (Row.Name != Words[0])
      continue;
    try {
      Out.Code = Row.Run(docopt::docopt_parse(Row.Usage, Words, true, true));
    } catch (const InvalidInput &Failure) {
      std::cerr << Failure.what();
      Out.Code = ExitBadUsage;
    } catch (const Error &Failure) {
      std::cerr << Failure.what();
      Out.Code = ExitFailure;
    }
  }
  Out.Text = testing::internal::GetCapturedStdout() +
             testing::internal::GetCapturedStderr();
  return Out;
}

std::string exampleDocument() {
  auto Secret = config::makeSecret("olga", std::vector<uint8_t>(48, 7)).Stored;
  return R"({"data_centres":[{"name":"a","region":"r","state":"in","shards":1}],
    "teams":[{"name":"t","share":1,"keys":[],"limit":{"cpu_millis":1,
    "memory_mb":1,"accelerators":0,"tasks":1}}],"queues":[],
    "operators":[{"name":"olga","salt":")" +
         Secret.Salt + R"(","hash":")" + Secret.Hash + "\"}]}";
}

/// A server whose answers are functions of the request, and a folder of files.
class CliTest : public testing::Test {
protected:
  CliTest()
      : Server({},
               [this](const http::Request &Seen, const http::Responder &Out) {
                 std::lock_guard<std::mutex> Lock(Guard);
                 Requests.push_back(Seen);
                 if (Silent)
                   Kept.push_back(Out);
                 else
                   Out.send(Answer(Seen));
               }),
        Thread([this] { Server.run(); }) {
    std::filesystem::create_directories(Folder);
    write("secret", "team-1.0123456789abcdef\n");
  }

  ~CliTest() override {
    Server.stop();
    Thread.join();
    std::filesystem::remove_all(Folder);
  }

  std::string write(const std::string &Name, const std::string &Text) const {
    std::string Path = (Folder / Name).string();
    std::ofstream(Path) << Text;
    return Path;
  }

  std::string file(const char *Name) const { return (Folder / Name).string(); }
  std::string at() const {
    return "127.0.0.1:" + std::to_string(Server.port());
  }

  const std::filesystem::path Folder =
      std::filesystem::path(testing::TempDir()) /
      ("teaselwalk_cli_" +
       std::string(
           testing::UnitTest::GetInstance()->current_test_info()->name()));
  std::mutex Guard;
  std::vector<http::Request> Requests;
  std::vector<http::Responder> Kept;
  bool Silent = false;
  std::function<http::Response(const http::Request &)> Answer =
      [](const http::Request &) {
        return http::Response{200, "{}"};
      };
  http::Server Server;
  std::thread Thread;
};

// Guards against a bad file that is accepted, or a mistake without its place.
TEST_F(CliTest, CheckNamesEveryMistake) {
  std::string Good = write("good.json", exampleDocument());
  std::string Bad = write("bad.json", R"({"teams":[{"share":0}]})");
  EXPECT_EQ(runWords({"check", "--document", Good}).Code, ExitOk);
  Outcome Out = runWords({"check", "--document", Bad, "--document", Good});
  EXPECT_EQ(Out.Code, ExitBadUsage);
  EXPECT_NE(Out.Text.find("bad.json: teams[0].share: is 0; must be"),
            std::string::npos);
  EXPECT_NE(Out.Text.find("bad.json: operators: is missing"),
            std::string::npos);
  EXPECT_EQ(runWords({"check", "--document", "/nowhere"}).Code, ExitBadUsage);
  EXPECT_EQ(runWords({"check"}).Code, ExitBadUsage);
}

// Guards against a process started for a data centre that does not exist.
TEST_F(CliTest, CheckComparesSettingsAndDocument) {
  std::string Document = write("good.json", exampleDocument());
  std::string Text = "[process]\ndata_centre=\"b\"\nip=\"127.0.0.1\"\n"
                     "caller_port=8080\noperator_port=8081\n[platform]\n"
                     "store=\"127.0.0.1:1\"\nvm_list=\"127.0.0.1:2\"\n";
  std::string Settings = write("entry.toml", Text);
  EXPECT_EQ(runWords({"check", "--settings", Settings}).Code, ExitOk);
  Outcome Out =
      runWords({"check", "--settings", Settings, "--document", Document});
  EXPECT_EQ(Out.Code, ExitBadUsage);
  EXPECT_NE(Out.Text.find("does not contain"), std::string::npos);
}

// Guards against requests mixed up between files, keys and ids.
TEST_F(CliTest, SubmitTellsWhatBecameOfEach) {
  Answer = [](const http::Request &Seen) -> http::Response {
    if (Seen.Target == "/v1/jobs")
      return {202, R"({"job":"j1"})"};
    if (Seen.Body.find("big") != std::string::npos)
      return {422, R"({"verdict":"not_run","error":"too large"})"};
    if (Seen.Body.find("odd") != std::string::npos)
      return {503, R"({"verdict":"may_have_run","error":"lost"})"};
    return {200, R"({"verdict":"ran","endpoint":"e1","result":"42"})"};
  };
  std::string Calls =
      write("calls.json", R"([{"queue":"q"},{"queue":"big"},{"queue":"odd"}])");
  std::string Job = write("job.json", R"({"kind":"batch"})");
  Outcome Out = runWords({"submit", "--server", at(), "--key-file",
                          file("secret"), "--request-id", "r", Calls, Job});
  EXPECT_EQ(Out.Code, ExitFailure);
  EXPECT_NE(Out.Text.find("calls.json[0]: ran on e1: 42"), std::string::npos);
  EXPECT_NE(Out.Text.find("[1]: not run: HTTP 422: too large"),
            std::string::npos);
  EXPECT_NE(Out.Text.find("[2]: may have run: HTTP 503: lost"),
            std::string::npos);
  EXPECT_NE(Out.Text.find("job.json: accepted as job j1"), std::string::npos);
  ASSERT_EQ(Requests.size(), 4U);
  EXPECT_EQ(Requests[3].RequestId, "r-4");
  EXPECT_EQ(Requests[3].Bearer, "team-1.0123456789abcdef");
  EXPECT_EQ(Out.Text.find("0123456789abcdef"), std::string::npos);
}

// Guards against calling a request "not run" that the server received (I7).
TEST_F(CliTest, SubmitIsHonestAboutABrokenConnection) {
  std::string Job = write("job.json", R"({"kind":"batch"})");
  Silent = true;
  Outcome Out = runWords({"submit", "--server", at(), "--timeout", "50",
                          "--request-id", "r", Job});
  EXPECT_EQ(Out.Code, ExitFailure);
  EXPECT_NE(Out.Text.find("may have run: no whole answer"), std::string::npos);
  EXPECT_NE(Out.Text.find("--request-id r"), std::string::npos);
}

// Guards against half of the requests sent when a file is bad.
TEST_F(CliTest, SubmitSendsNothingWithABadFile) {
  std::string Good = write("good.json", "{}");
  std::string Bad = write("bad.json", "{");
  EXPECT_EQ(runWords({"submit", "--server", at(), Good, Bad}).Code,
            ExitBadUsage);
  EXPECT_EQ(runWords({"submit", "--server", "here", Good}).Code, ExitBadUsage);
  EXPECT_EQ(runWords({"submit", "--server", at(), "--timeout", "0", Good}).Code,
            ExitBadUsage);
  EXPECT_TRUE(Requests.empty());
}

// Guards against ids that leave their place in the path.
TEST_F(CliTest, StatusAndCancelNameTheJob) {
  Answer = [](const http::Request &) -> http::Response {
    return {200, R"({"job":"j 1","state":"running","tasks":[{"index":0,
      "state":"running","verdict":"may_have_run","endpoint":"e1",
      "attempt":1}]})"};
  };
  Outcome Out = runWords({"status", "--server", at(), "j 1?x"});
  EXPECT_NE(Out.Text.find("task 0: running, may_have_run, on e1, attempt 1"),
            std::string::npos);
  EXPECT_EQ(runWords({"cancel", "--server", at(), "a", "b"}).Text,
            "a: cancelled\nb: cancelled\n");
  EXPECT_EQ(Requests[0].Target, "/v1/jobs/j%201%3Fx");
  EXPECT_EQ(Requests[2].Method, "DELETE");
}

// Guards against a dangerous change without the operator's confirmation, and
// against a change that replaces somebody else's.
TEST_F(CliTest, ApplyAsksForConfirmation) {
  Answer = [](const http::Request &Seen) -> http::Response {
    if (Seen.Target == "/v1/config/draft")
      return {200, R"({"revision":7,"confirmation":"brno-a","changes":[
        {"text":"brno-a goes out","dangerous":true}]})"};
    return {200, R"({"revision":8})"};
  };
  std::string Document = write("d.json", exampleDocument());
  std::vector<std::string> Words = {
      "apply",        "--server", at(),   "--credential-file",
      file("secret"), "--who",    "olga", "--why",
      "test",         Document};
  Outcome Out = runWords(Words);
  EXPECT_EQ(Out.Code, ExitFailure);
  EXPECT_NE(Out.Text.find("! brno-a goes out"), std::string::npos);
  EXPECT_EQ(Requests.size(), 1U);
  Words.insert(Words.end(), {"--confirm", "brno-a"});
  EXPECT_EQ(runWords(Words).Code, ExitOk);
  ASSERT_EQ(Requests.size(), 3U);
  EXPECT_EQ(Json::parse(Requests[2].Body)["base_revision"], 7);
  Words.emplace_back("--dry-run");
  EXPECT_EQ(runWords(Words).Code, ExitOk);
  EXPECT_EQ(Requests.size(), 4U);
}

// Guards against an edited document that loses the revision it started from.
TEST_F(CliTest, ApplyKeepsTheBaseOfTheEdit) {
  Answer = [](const http::Request &) -> http::Response {
    return {409, R"({"revision":9,"changes":[{"text":"share changed"}]})"};
  };
  std::string Document =
      write("d.json", R"({"revision":5,"document":)" + exampleDocument() + "}");
  Outcome Out =
      runWords({"apply", "--server", at(), "--credential-file", file("secret"),
                "--who", "olga", "--why", "test", Document});
  EXPECT_EQ(Out.Code, ExitFailure);
  EXPECT_EQ(Json::parse(Requests.at(0).Body)["base_revision"], 5);
  EXPECT_NE(Out.Text.find("share changed"), std::string::npos);
}

// Guards against a key whose text does not match its hash, or two equal keys.
TEST_F(CliTest, KeyPrintsTextAndHash) {
  Outcome First = runWords({"key", "north-1"});
  size_t Break = First.Text.find('\n');
  std::string Text = First.Text.substr(0, Break);
  Json Row = Json::parse(First.Text.substr(Break + 1));
  EXPECT_EQ(Text.substr(0, 8), "north-1.");
  EXPECT_TRUE(config::matches({Row["salt"], Row["hash"]}, Text.substr(8)));
  EXPECT_NE(runWords({"key", "north-1"}).Text, First.Text);
  EXPECT_EQ(runWords({"key", "north.1"}).Code, ExitBadUsage);
}

// Guards against a first document that replaces one in force.
TEST_F(CliTest, BootstrapNeedsAnEmptyStore) {
  std::string Document = write("d.json", exampleDocument());
  std::vector<std::string> Words = {"apply", "--bootstrap", at(),  "--who",
                                    "olga",  "--why",       "new", Document};
  Answer = [](const http::Request &) -> http::Response {
    return {200, R"({"version":1})"};
  };
  EXPECT_EQ(runWords(Words).Code, ExitOk);
  EXPECT_EQ(Requests.at(0).Method, "PUT");
  EXPECT_EQ(Requests.at(0).Target, "/kv/config/head?version=0");
  config::Snapshot Reader;
  // The store's protocol wraps the value in an object; the raw head as body is
  // refused by the store.
  Json Body = Json::parse(Requests.at(0).Body);
  auto Head = config::parseHead(Body.at("value").get<std::string>());
  EXPECT_TRUE(Head.Writers.empty());
  EXPECT_EQ(advance(Reader, Head), config::AdvanceState::Advanced);
  Answer = [](const http::Request &) -> http::Response {
    return {409, R"({"version":3})"};
  };
  EXPECT_EQ(runWords(Words).Code, ExitFailure);
}

} // namespace
} // namespace teaselwalk::cli
