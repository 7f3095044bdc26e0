#include "teaselwalk/base/error.hpp"
#include "teaselwalk/config/access.hpp"
#include "teaselwalk/protocol/caller.hpp"
#include "teaselwalk/settings/settings.hpp"
#include "teaselwalk/settings/timing_table.hpp"

#include "remote.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <regex>
#include <sstream>

namespace teaselwalk::cli {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

const fs::path Root = TEASELWALK_SOURCE_DIR;

std::string textAt(const fs::path &Path) { return readFile(Path.string()); }

std::vector<fs::path> filesIn(const fs::path &Folder, const char *Extension) {
  std::vector<fs::path> Out;
  for (const auto &Entry : fs::directory_iterator(Folder))
    if (Entry.path().extension() == Extension)
      Out.push_back(Entry.path());
  return Out;
}

class ExampleTest : public testing::TestWithParam<const char *> {
protected:
  ExampleTest()
      : Document(config::parseDocument(textAt(Folder / "document.json"))) {}

  /// The smallest size of an endpoint of the deployment (design 1.2).
  bool fitsEndpoint(const Resources &Size) const {
    int64_t MemoryMb = Folder.filename() == "kadrownia" ? 262144 : 131072;
    return Size.MilliCpu <= 64000 && Size.MemoryMb <= MemoryMb;
  }

  const fs::path Folder = Root / "examples" / GetParam();
  config::Document Document;
};

INSTANTIATE_TEST_SUITE_P(Deployments, ExampleTest,
                         testing::Values("taboriste", "kadrownia"));

// Guards against examples that the program refuses.
TEST_P(ExampleTest, SettingsMatchTheDocument) {
  auto Files = filesIn(Folder, ".toml");
  EXPECT_EQ(Files.size(), 3U);
  for (const fs::path &File : Files) {
    std::istringstream In(textAt(File));
    auto Process = settings::loadSettings(In, File.string());
    EXPECT_TRUE(config::findDataCentre(Document, Process.DataCentre));
  }
}

// Guards against requests that are refused for another reason than their size,
// and against one that is called too large and is not.
TEST_P(ExampleTest, RequestsAreWellFormed) {
  protocol::CallerBounds Bounds;
  auto Files = filesIn(Folder / "requests", ".json");
  EXPECT_EQ(Files.size(), 5U);
  for (const fs::path &File : Files) {
    Json Content = Json::parse(textAt(File));
    for (const Json &Call : Content.is_array() ? Content : Json::array()) {
      auto Read = protocol::parseCall(Call.dump(), Bounds);
      EXPECT_TRUE(config::findQueue(Document, Read.Queue)) << File;
      EXPECT_TRUE(fitsEndpoint(Read.Size)) << File;
    }
    if (Content.is_array())
      continue;
    auto Job = protocol::parseJob(Content.dump(), Bounds);
    EXPECT_TRUE(config::findQueue(Document, Job.Queue)) << File;
    EXPECT_EQ(fitsEndpoint(Job.Size), File.stem() != "too-large") << File;
  }
}

// Guards against demo keys that do not open the example documents.
TEST_P(ExampleTest, EveryKeyIsPublished) {
  std::string Page = textAt(Root / "examples" / "keys.md");
  std::regex KeyText("[A-Za-z0-9-]+\\.[0-9a-f]{64}");
  size_t Opened = 0;
  for (std::sregex_iterator Found(Page.begin(), Page.end(), KeyText), End;
       Found != End; ++Found)
    if (config::authenticate(Document, Found->str()) ||
        config::authenticateOperator(Document, Found->str()))
      ++Opened;
  EXPECT_EQ(Opened, Document.Teams.size() + Document.Operators.size());
}

// Guards against a setting that the operators' page does not describe.
TEST(OperatorsPageTest, NamesEveryTimingWithItsRangeAndDefault) {
  std::string Page = textAt(Root / "docs" / "operators.md");
  settings::Timing Defaults;
  for (const settings::TimingField &Row : settings::TimingTable) {
    std::string Line = "| `" + std::string(Row.Key) + "` | " +
                       std::to_string((Defaults.*Row.Value).count()) + " | " +
                       std::to_string(Row.Min.count()) + " to " +
                       std::to_string(Row.Max.count()) + " | " + Row.Meaning;
    EXPECT_NE(Page.find(Line), std::string::npos) << Line;
  }
}

} // namespace
} // namespace teaselwalk::cli
