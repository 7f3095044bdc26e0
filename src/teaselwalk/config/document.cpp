#include "teaselwalk/config/document.hpp"

#include "teaselwalk/config/access.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

Json toJson(const DataCentre &Value) {
  return {{"name", Value.Name.str()},
          {"region", Value.Region},
          {"state", nameOf(DataCentreStateNames, Value.State)},
          {"shards", Value.Shards},
          {"cut_off_service_s", Value.CutOffService.count() / 1000}};
}

Json toJson(const Team &Value) {
  Json Keys = Json::array();
  for (const TeamKey &Key : Value.Keys)
    Keys.push_back({{"id", Key.Id.str()},
                    {"salt", Key.Secret.Salt},
                    {"hash", Key.Secret.Hash}});
  return {{"name", Value.Name.str()},
          {"share", Value.Share},
          {"limit",
           {{"cpu_millis", Value.Limit.MilliCpu},
            {"memory_mb", Value.Limit.MemoryMb},
            {"accelerators", Value.Limit.Accelerators},
            {"tasks", Value.Limit.Slots}}},
          {"keys", Keys}};
}

Json toJson(const Queue &Value) {
  Json Teams = Json::array();
  for (const TeamId &Team : Value.Teams)
    Teams.push_back(Team.str());
  return {{"name", Value.Name.str()},
          {"access", nameOf(QueueAccessNames, Value.Access)},
          {"teams", Teams},
          {"class", nameOf(QueueClassNames, Value.Class)},
          {"deadline_ms", Value.Deadline.count()},
          {"overflow", Value.Overflow.str()}};
}

Json toJson(const Operator &Value) {
  return {{"name", Value.Name},
          {"salt", Value.Secret.Salt},
          {"hash", Value.Secret.Hash}};
}

template <typename Row> Json arrayOf(const std::vector<Row> &Rows) {
  Json Out = Json::array();
  for (const Row &Value : Rows)
    Out.push_back(toJson(Value));
  return Out;
}

template <typename Row, typename Name>
const Row *findByName(const std::vector<Row> &Rows, const Name &Wanted) {
  auto Found = std::find_if(Rows.begin(), Rows.end(), [&](const Row &Value) {
    return Value.Name == Wanted;
  });
  return Found == Rows.end() ? nullptr : &*Found;
}

} // namespace

Json toJson(const Document &Value) {
  return {{"data_centres", arrayOf(Value.DataCentres)},
          {"teams", arrayOf(Value.Teams)},
          {"queues", arrayOf(Value.Queues)},
          {"operators", arrayOf(Value.Operators)}};
}

std::string serialise(const Document &Value) { return toJson(Value).dump(); }

std::string digestOf(const Document &Value) {
  return sha256Hex(serialise(Value));
}

void indexKeys(Document &Value) {
  Value.KeyIndex.clear();
  for (size_t Team = 0; Team < Value.Teams.size(); ++Team)
    for (size_t Key = 0; Key < Value.Teams[Team].Keys.size(); ++Key)
      Value.KeyIndex[Value.Teams[Team].Keys[Key].Id] = {Team, Key};
}

const DataCentre *findDataCentre(const Document &In, const DataCentreId &Name) {
  return findByName(In.DataCentres, Name);
}

const Team *findTeam(const Document &In, const TeamId &Name) {
  return findByName(In.Teams, Name);
}

const Queue *findQueue(const Document &In, const QueueId &Name) {
  return findByName(In.Queues, Name);
}

} // namespace teaselwalk::config
