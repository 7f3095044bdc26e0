#include "teaselwalk/cli/commands.hpp"
#include "teaselwalk/http/server.hpp"
#include "teaselwalk/operators/system.hpp"

#include "fake_backend.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <thread>

namespace teaselwalk::cli {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

/// The command `apply` against the operators' API on loopback.
class ApplyTest : public testing::Test {
protected:
  ApplyTest()
      : Api(Backend, operators::systemOptions()), Server({}, Api.handler()),
        Thread([this] { Server.run(); }) {
    fs::create_directories(Folder);
    std::ofstream(Folder / "credential") << operators::testCredential().Text;
  }

  ~ApplyTest() override {
    Server.stop();
    Thread.join();
    fs::remove_all(Folder);
  }

  /// Runs the command and returns its exit code; `Text` is what it printed.
  int apply(const Json &File, const std::vector<std::string> &More = {}) {
    std::ofstream(Folder / "document.json") << File.dump();
    std::vector<std::string> Words = {"apply",
                                      "--server",
                                      "127.0.0.1:" +
                                          std::to_string(Server.port()),
                                      "--who",
                                      "olga",
                                      "--why",
                                      "test",
                                      "--credential-file",
                                      (Folder / "credential").string()};
    Words.insert(Words.end(), More.begin(), More.end());
    Words.push_back((Folder / "document.json").string());
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    int Code = ExitFailure;
    for (const Command &Row : commands())
      if (Row.Name == Words[0])
        Code = Row.Run(docopt::docopt_parse(Row.Usage, Words, true, true));
    Text = testing::internal::GetCapturedStdout() +
           testing::internal::GetCapturedStderr();
    return Code;
  }

  const fs::path Folder = fs::path(testing::TempDir()) / "teaselwalk_apply";
  std::string Text;
  operators::FakeBackend Backend;
  operators::OperatorApi Api;
  http::Server Server;
  std::thread Thread;
};

// Guards against a command and an API that understand a change differently.
TEST_F(ApplyTest, ChangeReachesTheStore) {
  Json Wanted = operators::testDocument();
  Wanted["teams"][0]["share"] = 4;
  EXPECT_EQ(apply(Wanted, {"--dry-run"}), ExitOk);
  EXPECT_NE(Text.find("- team north: share goes from 1"), std::string::npos);
  EXPECT_EQ(Backend.Proposals, 0);
  EXPECT_EQ(apply(Wanted), ExitOk);
  EXPECT_NE(Text.find("in force as revision 2"), std::string::npos);
  EXPECT_EQ(Backend.Store.Snapshot.Content.Teams[0].Share, 4);
}

// Guards against a dangerous change without its confirmation.
TEST_F(ApplyTest, DangerousChangeIsConfirmed) {
  Json Wanted = operators::testDocument();
  Wanted["data_centres"][1]["state"] = "out";
  EXPECT_EQ(apply(Wanted), ExitFailure);
  EXPECT_NE(Text.find("--confirm 'b'"), std::string::npos);
  EXPECT_EQ(Backend.Proposals, 0);
  EXPECT_EQ(apply(Wanted, {"--confirm", "b"}), ExitOk);
}

// Guards against a change that silently takes back another operator's.
TEST_F(ApplyTest, EditOfAnOldRevisionIsRefused) {
  Json First = operators::testDocument();
  First["teams"][0]["share"] = 4;
  EXPECT_EQ(apply(First), ExitOk);
  Json Late = {{"revision", 1}, {"document", operators::testDocument()}};
  Late["document"]["teams"][1]["share"] = 9;
  EXPECT_EQ(apply(Late), ExitFailure);
  EXPECT_NE(Text.find("revision 2 by olga: test (/teams/0/share)"),
            std::string::npos);
  EXPECT_EQ(Backend.Store.Snapshot.Content.Teams[1].Share, 1);
}

} // namespace
} // namespace teaselwalk::cli
