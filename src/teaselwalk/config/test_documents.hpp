#pragma once

#include "teaselwalk/config/access.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Documents for tests.
namespace teaselwalk::config {

inline std::vector<uint8_t> bytesFrom(uint8_t First) {
  std::vector<uint8_t> Out(SecretRandomBytes);
  for (size_t I = 0; I < Out.size(); ++I)
    Out[I] = static_cast<uint8_t>(First + I);
  return Out;
}

inline NewKey exampleKey() { return makeKey(KeyId("north-1"), bytesFrom(1)); }
inline NewSecret exampleCredential() {
  return makeSecret("olga", bytesFrom(100));
}

/// Two data centres, two teams, three queues and one operator.
inline nlohmann::json exampleJson() {
  NewKey Key = exampleKey();
  SecretHash Operator = exampleCredential().Stored;
  auto Json = nlohmann::json::parse(R"({
    "data_centres": [
      {"name":"brno-a","region":"cz-south","state":"in","shards":3,
       "cut_off_service_s":0},
      {"name":"brno-b","region":"cz-south","state":"in","shards":2,
       "cut_off_service_s":60}],
    "teams": [
      {"name":"north","share":3,"limit":{"cpu_millis":64000,
       "memory_mb":128000,"accelerators":2,"tasks":100},"keys":[]},
      {"name":"south","share":1,"limit":{"cpu_millis":1000,
       "memory_mb":1000,"accelerators":0,"tasks":10},"keys":[]}],
    "queues": [
      {"name":"calls","access":"keyed","teams":["north"],"class":"call",
       "deadline_ms":1000,"overflow":"batch"},
      {"name":"batch","access":"keyed","teams":["north","south"],
       "class":"batch","deadline_ms":3600000,"overflow":""},
      {"name":"public","access":"open","teams":["south"],"class":"call",
       "deadline_ms":500,"overflow":""}],
    "operators": [{"name":"olga"}]})");
  Json["teams"][0]["keys"].push_back({{"id", Key.Stored.Id.str()},
                                      {"salt", Key.Stored.Secret.Salt},
                                      {"hash", Key.Stored.Secret.Hash}});
  Json["operators"][0]["salt"] = Operator.Salt;
  Json["operators"][0]["hash"] = Operator.Hash;
  return Json;
}

} // namespace teaselwalk::config
