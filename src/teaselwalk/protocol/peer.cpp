#include "teaselwalk/protocol/peer.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/protocol/endpoint.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::protocol {
namespace {

template <typename Tag>
void readId(const nlohmann::json &Json, const char *Name, Id<Tag> &Value) {
  Value = Id<Tag>(Json.at(Name).get<std::string>());
}

Duration durationAt(const nlohmann::json &Json, const char *Name) {
  return Duration(Json.at(Name).get<int64_t>());
}

} // namespace

void to_json(nlohmann::json &Json, const Heartbeat &Value) {
  nlohmann::json Attestations = nlohmann::json::array();
  for (const Attestation &Row : Value.Attestations)
    Attestations.push_back({{"writer", Row.Writer.str()},
                            {"revision", Row.Revision},
                            {"age_ms", Row.Age.count()}});
  Json = {{"from", Value.From.str()},
          {"data_centre", Value.DataCentre.str()},
          {"ip", Value.At.Ip},
          {"port", Value.At.Port},
          {"leaving", Value.Leaving},
          {"revision", Value.Revision},
          {"document_age_ms", Value.DocumentAge.count()},
          {"shards", Value.Shards},
          {"free", Value.Free},
          {"attestations", std::move(Attestations)},
          {"wants_echo", Value.WantsEcho},
          {"stamp", Value.Stamp},
          {"echo_of", Value.EchoOf.str()},
          {"echo_stamp", Value.EchoStamp}};
}

void from_json(const nlohmann::json &Json, Heartbeat &Value) {
  readId(Json, "from", Value.From);
  readId(Json, "data_centre", Value.DataCentre);
  Json.at("ip").get_to(Value.At.Ip);
  Json.at("port").get_to(Value.At.Port);
  Json.at("leaving").get_to(Value.Leaving);
  Json.at("revision").get_to(Value.Revision);
  Value.DocumentAge = durationAt(Json, "document_age_ms");
  Json.at("shards").get_to(Value.Shards);
  Json.at("free").get_to(Value.Free);
  Value.WantsEcho = Json.value("wants_echo", true);
  Json.at("stamp").get_to(Value.Stamp);
  readId(Json, "echo_of", Value.EchoOf);
  Json.at("echo_stamp").get_to(Value.EchoStamp);
  Value.Attestations.clear();
  for (const nlohmann::json &Row : Json.at("attestations")) {
    Attestation Item;
    readId(Row, "writer", Item.Writer);
    Row.at("revision").get_to(Item.Revision);
    Item.Age = durationAt(Row, "age_ms");
    Value.Attestations.push_back(std::move(Item));
  }
}

void to_json(nlohmann::json &Json, const ForwardedCall &Value) {
  const CallRequest &Call = Value.Call;
  Json = {{"request_id", Call.Request.str()},
          {"key", Call.Key},
          {"queue", Call.Queue.str()},
          {"size", Call.Size},
          {"idempotent", Call.Idempotent},
          {"deadline_ms", Call.Deadline.count()},
          {"payload", Call.Payload},
          {"hops", Value.Hops}};
}

void from_json(const nlohmann::json &Json, ForwardedCall &Value) {
  CallRequest &Call = Value.Call;
  readId(Json, "request_id", Call.Request);
  Json.at("key").get_to(Call.Key);
  readId(Json, "queue", Call.Queue);
  Json.at("size").get_to(Call.Size);
  Json.at("idempotent").get_to(Call.Idempotent);
  Call.Deadline = durationAt(Json, "deadline_ms");
  Json.at("payload").get_to(Call.Payload);
  Json.at("hops").get_to(Value.Hops);
}

} // namespace teaselwalk::protocol
