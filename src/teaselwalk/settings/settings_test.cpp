#include "teaselwalk/settings/settings.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/settings/timing_table.hpp"

#include <gtest/gtest.h>

#include <random>
#include <sstream>

namespace teaselwalk::settings {
namespace {

const std::string Example = R"([process]
data_centre = "brno-a"
ip = "127.0.0.1"
caller_port = 8080
operator_port = 8081

[platform]
store = "127.0.0.1:2379"
vm_list = "127.0.0.1:9000"
peers = ["127.0.0.1:7001", "[::1]:7002"]
endpoint_mode = "plain"

[log]
level = "debug"
file = "entry.log"

[timing]
authority_ms = 4000
)";

Settings load(const std::string &Text) {
  std::istringstream In(Text);
  return loadSettings(In, "entry.toml");
}

std::vector<FieldError> errorsOf(const std::string &Text) {
  try {
    load(Text);
  } catch (const InvalidInput &Failure) {
    return Failure.errors();
  }
  return {};
}

std::vector<std::string> fieldsOf(const std::string &Text) {
  std::vector<std::string> Names;
  for (const FieldError &Row : errorsOf(Text))
    Names.push_back(Row.Field);
  return Names;
}

std::string replaced(const std::string &From, const std::string &To) {
  std::string Text = Example;
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

// Guards against keys that are read into the wrong field or not at all.
TEST(SettingsTest, ReadsEveryKey) {
  Settings Read = load(Example);
  EXPECT_EQ(Read.Name, ProcessId("entry-127.0.0.1-8080"));
  EXPECT_EQ(Read.DataCentre, DataCentreId("brno-a"));
  EXPECT_EQ(Read.CallerPort, 8080);
  EXPECT_EQ(Read.OperatorPort, 8081);
  EXPECT_EQ(Read.PeerPort, 0);
  EXPECT_EQ(Read.Store, (protocol::Address{"127.0.0.1", 2379}));
  EXPECT_EQ(Read.VmList, (protocol::Address{"127.0.0.1", 9000}));
  ASSERT_EQ(Read.Peers.size(), 2U);
  EXPECT_EQ(Read.Peers[1], (protocol::Address{"::1", 7002}));
  EXPECT_EQ(Read.Mode, EndpointMode::Plain);
  EXPECT_EQ(Read.Level, LogLevel::Debug);
  EXPECT_EQ(Read.LogFile, "entry.log");
  EXPECT_EQ(Read.Times.Authority, Duration(4000));
  EXPECT_EQ(Read.Times.TaskLease, Duration(30000));
}

struct BadSetting {
  const char *From;
  const char *To;
  const char *Field;
};

class BadSettingTest : public testing::TestWithParam<BadSetting> {};

// Guards against a key whose range is not checked, and a wrong line.
TEST_P(BadSettingTest, IsRefusedWithItsLine) {
  EXPECT_EQ(fieldsOf(replaced(GetParam().From, GetParam().To)),
            std::vector<std::string>{GetParam().Field});
}

INSTANTIATE_TEST_SUITE_P(
    SettingsTest, BadSettingTest,
    testing::Values(
        BadSetting{"\"brno-a\"", "\"a/b\"",
                   "entry.toml:2: process.data_centre"},
        BadSetting{"\"brno-a\"", "7", "entry.toml:2: process.data_centre"},
        BadSetting{"\"127.0.0.1\"", "\"localhost\"",
                   "entry.toml:3: process.ip"},
        BadSetting{"8080", "65536", "entry.toml:4: process.caller_port"},
        BadSetting{"8080", "-1", "entry.toml:4: process.caller_port"},
        BadSetting{"8081", "8080", "entry.toml:5: process.operator_port"},
        BadSetting{"8081", "8081\npeer_port=8080",
                   "entry.toml:6: process.peer_port"},
        BadSetting{"8080", "0", "entry.toml:1: process.name"},
        BadSetting{":2379", "", "entry.toml:8: platform.store"},
        BadSetting{":9000", ":0", "entry.toml:9: platform.vm_list"},
        BadSetting{":7001", ":99999", "entry.toml:10: platform.peers"},
        BadSetting{"\"plain\"", "\"other\"",
                   "entry.toml:11: platform.endpoint_mode"},
        BadSetting{"\"debug\"", "\"loud\"", "entry.toml:14: log.level"},
        BadSetting{"\"entry.log\"", "1", "entry.toml:15: log.file"},
        BadSetting{"authority_ms", "authority",
                   "entry.toml:18: "
                   "timing.authority"},
        BadSetting{"[log]", "[logs]\n[log]", "entry.toml:13: logs"}));

// Guards against a timing constant without a range.
TEST(SettingsTest, EveryTimingHasARange) {
  for (const TimingField &Row : TimingTable)
    for (int64_t Value : {Row.Min.count() - 1, Row.Max.count() + 1}) {
      std::string Line = std::string(Row.Key) + " = " + std::to_string(Value);
      auto Errors = errorsOf(replaced("authority_ms = 4000", Line));
      ASSERT_EQ(Errors.size(), 1U) << Line;
      EXPECT_EQ(Errors[0].Field,
                "entry.toml:18: timing." + std::string(Row.Key));
      EXPECT_EQ(Errors[0].Message,
                "is " + std::to_string(Value) + "; must be an integer from " +
                    std::to_string(Row.Min.count()) + " to " +
                    std::to_string(Row.Max.count()) + " ms");
    }
}

// Guards against an owner that keeps its authority without renewals.
TEST(SettingsTest, TimingsMustFitTogether) {
  auto Errors = errorsOf(replaced("authority_ms = 4000", "renew_ms = 2000"));
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(Errors[0].Field, "entry.toml:18: timing.renew_ms");
  EXPECT_EQ(Errors[0].Message, "is 2000; 3 x renew_ms (2000 ms) must be at "
                               "most authority_ms (5000 ms)");
}

// Guards against defaults that break the program's own rules.
TEST(SettingsTest, DefaultsAreAllowed) {
  EXPECT_EQ(errorsOf(replaced("authority_ms = 4000", "")).size(), 0U);
}

// Guards against a mistake hiding the ones after it.
TEST(SettingsTest, ReportsEveryMistakeAtOnce) {
  EXPECT_EQ(
      fieldsOf("[process]\nip=1\n[log]\nlevel=2\n[timing]\ndead_ms=0\n"),
      (std::vector<std::string>{
          "entry.toml:1: process.data_centre", "entry.toml:2: process.ip",
          "entry.toml:1: process.caller_port",
          "entry.toml:1: process.operator_port", "entry.toml:1: platform.store",
          "entry.toml:1: platform.vm_list", "entry.toml:4: log.level",
          "entry.toml:6: timing.dead_ms"}));
}

// Guards against a crash of the TOML library on hostile input.
TEST(SettingsTest, RefusesHostileFiles) {
  EXPECT_EQ(errorsOf("a = " + std::string(60000, '[')).size(), 1U);
  EXPECT_EQ(errorsOf(std::string(65537, '#')).size(), 1U);
  EXPECT_EQ(errorsOf("[process").size(), 1U);
  EXPECT_NE(errorsOf("").size(), 0U);
}

// Guards against a crash on damaged files. Each result is either a whole set of
// settings or a refusal with at least one mistake.
TEST(SettingsTest, RandomMutationsNeverCrash) {
  std::mt19937_64 Random(20261204);
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Text = Example;
    for (uint64_t I = Random() % 4 + 1; I > 0; --I) {
      size_t At = Random() % Text.size();
      if (Random() % 3 == 0)
        Text.erase(At, Random() % 8);
      else if (Random() % 2 == 0)
        Text.insert(At, Text.substr(Random() % Text.size(), Random() % 16));
      else
        Text[At] = static_cast<char>(Random());
    }
    try {
      EXPECT_FALSE(load(Text).DataCentre.empty());
    } catch (const InvalidInput &Failure) {
      EXPECT_FALSE(Failure.errors().empty());
    }
  }
}

} // namespace
} // namespace teaselwalk::settings
