#include "answer_json.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::endpoints {
namespace {

using nlohmann::json;

bool isCount(const json &Value, uint64_t Max) {
  return Value.is_number_unsigned() && Value.get<uint64_t>() <= Max;
}

bool hasCount(const json &Object, const char *Name, uint64_t Max) {
  auto Found = Object.find(Name);
  return Found != Object.end() && isCount(*Found, Max);
}

bool hasEpoch(const json &Object) {
  auto Found = Object.is_object() ? Object.find("epoch") : Object.end();
  return Object.is_object() && Found != Object.end() && Found->is_object() &&
         hasCount(*Found, "counter", UINT64_MAX);
}

/// The JSON library silently accepts fractions, booleans and negative numbers
/// for amounts, so resources are checked before they are decoded.
bool isResources(const json &Value) {
  if (!Value.is_object())
    return false;
  for (const json &Part : Value)
    if (!isCount(Part, INT64_MAX))
      return false;
  return true;
}

bool hasAttempt(const json &Row) {
  return Row.is_object() && hasCount(Row, "attempt", UINT32_MAX) &&
         Row["attempt"].get<uint32_t>() > 0;
}

bool isRunningRow(const json &Row) {
  return hasAttempt(Row) && Row.contains("resources") &&
         isResources(Row["resources"]) &&
         (!Row.contains("usage") || isResources(Row["usage"]));
}

bool hasRowArray(const json &Object, const char *Name,
                 bool (*IsRow)(const json &)) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_array())
    return false;
  for (const json &Row : *Found)
    if (!IsRow(Row))
      return false;
  return true;
}

bool isUnchanged(const json &Json) {
  auto Found = Json.find("unchanged");
  return Found != Json.end() && Found->is_boolean() && Found->get<bool>();
}

bool isState(const json &Json) {
  if (!hasEpoch(Json) || !hasRowArray(Json, "finished", hasAttempt))
    return false;
  return isUnchanged(Json) ||
         (Json.contains("capacity") && isResources(Json["capacity"]) &&
          hasRowArray(Json, "tasks", isRunningRow));
}

bool isObject(const json &Json) { return Json.is_object(); }

template <typename Message>
std::optional<Message> parse(const std::string &Body,
                             bool (*IsValid)(const json &)) {
  json Json = json::parse(Body, nullptr, false);
  if (Json.is_discarded() || !IsValid(Json))
    return std::nullopt;
  try {
    return Json.get<Message>();
  } catch (const json::exception &) {
    return std::nullopt;
  } catch (const InvalidInput &) {
    return std::nullopt;
  }
}

} // namespace

std::optional<protocol::EndpointState> parseState(const std::string &Body) {
  return parse<protocol::EndpointState>(Body, isState);
}

std::optional<protocol::RunResult> parseResult(const std::string &Body) {
  return parse<protocol::RunResult>(Body, isObject);
}

std::optional<protocol::StopResult> parseStop(const std::string &Body) {
  return parse<protocol::StopResult>(Body, isObject);
}

std::optional<protocol::StaleEpoch> parseStaleEpoch(const std::string &Body) {
  return parse<protocol::StaleEpoch>(Body, hasEpoch);
}

} // namespace teaselwalk::endpoints
