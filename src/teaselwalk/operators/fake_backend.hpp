#pragma once

#include "teaselwalk/config/access.hpp"
#include "teaselwalk/operators/operator_api.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::operators {

inline config::NewSecret testCredential() {
  return config::makeSecret("olga", std::vector<uint8_t>(48, 9));
}

/// Two data centres, two teams, a queue and operator "olga".
inline nlohmann::json testDocument() {
  config::SecretHash Secret = testCredential().Stored;
  nlohmann::json Json = nlohmann::json::parse(R"({
    "data_centres":[
      {"name":"a","region":"r","state":"in","shards":1,"cut_off_service_s":0},
      {"name":"b","region":"r","state":"in","shards":1,
       "cut_off_service_s":60}],
    "teams":[
      {"name":"north","share":1,"keys":[],"limit":{"cpu_millis":1000,
       "memory_mb":1000,"accelerators":0,"tasks":10}},
      {"name":"south","share":1,"keys":[],"limit":{"cpu_millis":1000,
       "memory_mb":1000,"accelerators":0,"tasks":10}}],
    "queues":[{"name":"q","access":"keyed","teams":["north"],"class":"call",
      "deadline_ms":1000,"overflow":""}],
    "operators":[{"name":"olga"}]})");
  Json["operators"][0]["salt"] = Secret.Salt;
  Json["operators"][0]["hash"] = Secret.Hash;
  return Json;
}

/// A store in memory that accepts a proposal if its base is the newest
/// revision, as compare-and-swap does.
class FakeBackend : public ConfigBackend {
public:
  FakeBackend() {
    accept(config::nextHead({}, {}, config::documentFromJson(testDocument()),
                            {"setup", 0, "first"}));
    refresh();
  }

  std::shared_ptr<const CurrentConfig> current() override { return Known; }

  void propose(uint64_t BaseRevision, const config::NextHead &Next,
               Callback Done) override {
    ++Proposals;
    if (Forced)
      return Done({*Forced, {}});
    if (BaseRevision != Store.Head.Revision)
      return Done({ProposalState::Conflict, Store.Head});
    accept(Next);
    if (RefreshAtOnce)
      refresh();
    Done({ProposalState::Accepted, {}});
  }

  std::vector<InForce> inForce() override {
    return {{DataCentreId("a"), Store.Head.Revision, Duration(250)},
            {DataCentreId("b"), 1, Duration(90000)}};
  }

  config::RunningUsage running() override { return Usage; }

  /// This process learns what is in the store.
  void refresh() { Known = std::make_shared<CurrentConfig>(Store); }

  std::optional<ProposalState> Forced;
  bool RefreshAtOnce = true;
  int Proposals = 0;
  config::RunningUsage Usage;
  CurrentConfig Store;
  std::shared_ptr<const CurrentConfig> Known;

private:
  void accept(const config::NextHead &Next) {
    Store.Head = Next.Head;
    advance(Store.Snapshot, Next.Head);
  }
};

} // namespace teaselwalk::operators
