#include "teaselwalk/cluster/allowance_record.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselwalk::cluster {
namespace {

nlohmann::json amountsJson(const Resources &Value) {
  nlohmann::json Array = nlohmann::json::array();
  for (int64_t Resources::*Field : ResourceFields)
    Array.push_back(Value.*Field);
  return Array;
}

Resources amountsFrom(const nlohmann::json &Array) {
  Resources Value;
  size_t I = 0;
  for (int64_t Resources::*Field : ResourceFields)
    Value.*Field = Array.at(I++).get<int64_t>();
  return Value;
}

nlohmann::json rowJson(const protocol::ShardId &Shard,
                       const AllowanceRow &Row) {
  nlohmann::json Json = {{"dc", Shard.DataCentre.str()},
                         {"shard", Shard.Number},
                         {"amount", amountsJson(Row.Amount)}};
  if (Row.Target != Row.Amount)
    Json["target"] = amountsJson(Row.Target);
  if (Row.Wanted != Resources())
    Json["wanted"] = amountsJson(Row.Wanted);
  if (Row.Holder != Epoch())
    Json["holder"] = {Row.Holder.Counter, Row.Holder.Process.str()};
  return Json;
}

AllowanceRow rowFrom(const nlohmann::json &Json) {
  AllowanceRow Row;
  Row.Amount = amountsFrom(Json.at("amount"));
  Row.Target =
      Json.contains("target") ? amountsFrom(Json.at("target")) : Row.Amount;
  if (Json.contains("wanted"))
    Row.Wanted = amountsFrom(Json.at("wanted"));
  if (Json.contains("holder"))
    Row.Holder = {Json.at("holder").at(0).get<uint64_t>(),
                  ProcessId(Json.at("holder").at(1).get<std::string>())};
  return Row;
}

} // namespace

Resources AllowanceRecord::total() const {
  Resources Sum;
  for (const auto &[Shard, Row] : Rows)
    Sum += Row.Amount;
  return Sum;
}

Resources AllowanceRecord::totalTarget() const {
  Resources Sum;
  for (const auto &[Shard, Row] : Rows)
    Sum += Row.Target;
  return Sum;
}

bool operator==(const AllowanceRow &A, const AllowanceRow &B) {
  return A.Amount == B.Amount && A.Target == B.Target && A.Wanted == B.Wanted &&
         A.Holder == B.Holder;
}

bool operator==(const AllowanceRecord &A, const AllowanceRecord &B) {
  return A.Limit == B.Limit && A.LimitRevision == B.LimitRevision &&
         A.Rows == B.Rows;
}

std::string allowanceKey(const TeamId &Team) {
  return "allowance/" + Team.str();
}

std::string encodeAllowance(const AllowanceRecord &Value) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const auto &[Shard, Row] : Value.Rows)
    Rows.push_back(rowJson(Shard, Row));
  return nlohmann::json{{"limit", amountsJson(Value.Limit)},
                        {"revision", Value.LimitRevision},
                        {"rows", std::move(Rows)}}
      .dump();
}

AllowanceRecord decodeAllowance(const std::string &Text) {
  try {
    nlohmann::json Json = nlohmann::json::parse(Text);
    AllowanceRecord Value;
    Value.Limit = amountsFrom(Json.at("limit"));
    Value.LimitRevision = Json.at("revision").get<uint64_t>();
    for (const nlohmann::json &Row : Json.at("rows"))
      Value.Rows[{DataCentreId(Row.at("dc").get<std::string>()),
                  Row.at("shard").get<uint32_t>()}] = rowFrom(Row);
    return Value;
  } catch (const nlohmann::json::exception &Problem) {
    throw InvalidInput("allowance", Problem.what());
  }
}

Resources componentMin(const Resources &A, const Resources &B) {
  Resources Result;
  for (int64_t Resources::*Field : ResourceFields)
    Result.*Field = std::min(A.*Field, B.*Field);
  return Result;
}

Resources componentMax(const Resources &A, const Resources &B) {
  Resources Result;
  for (int64_t Resources::*Field : ResourceFields)
    Result.*Field = std::max(A.*Field, B.*Field);
  return Result;
}

} // namespace teaselwalk::cluster
