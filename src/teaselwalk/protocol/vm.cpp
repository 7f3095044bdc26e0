#include "teaselwalk/base/error.hpp"
#include "teaselwalk/protocol/vm_json.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace teaselwalk::protocol {
namespace {

const nlohmann::json &fieldOf(const nlohmann::json &Json, const char *Name) {
  if (!Json.is_object())
    throw InvalidInput("vm", "must be a JSON object");
  auto Found = Json.find(Name);
  if (Found == Json.end())
    throw InvalidInput(Name, "is missing");
  return *Found;
}

std::string textOf(const nlohmann::json &Json, const char *Name) {
  const nlohmann::json &Value = fieldOf(Json, Name);
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty())
    throw InvalidInput(Name, "must be a string of at least 1 byte");
  return Value.get<std::string>();
}

uint16_t portOf(const nlohmann::json &Json) {
  const nlohmann::json &Value = fieldOf(Json, "port");
  if (!Value.is_number_unsigned() || Value.get<uint64_t>() == 0 ||
      Value.get<uint64_t>() > UINT16_MAX)
    throw InvalidInput("port", "must be an integer from 1 to 65535");
  return Value.get<uint16_t>();
}

template <typename Enum, size_t N>
Enum choiceOf(const nlohmann::json &Json, const char *Name,
              const std::array<EnumName<Enum>, N> &Table) {
  auto Value = valueOf(Table, textOf(Json, Name));
  if (!Value)
    throw InvalidInput(Name, "is not a known value");
  return *Value;
}

} // namespace

void to_json(nlohmann::json &Json, const VmInfo &Value) {
  Json = {{"name", Value.Name},
          {"address", Value.At.Ip},
          {"port", Value.At.Port},
          {"data_centre", Value.DataCentre.str()},
          {"rack", Value.Rack.str()},
          {"role", nameOf(VmRoleNames, Value.Role)},
          {"state", nameOf(VmStateNames, Value.State)}};
}

void from_json(const nlohmann::json &Json, VmInfo &Value) {
  Value.Name = textOf(Json, "name");
  Value.At = {textOf(Json, "address"), portOf(Json)};
  Value.DataCentre = DataCentreId(textOf(Json, "data_centre"));
  Value.Rack = RackId(textOf(Json, "rack"));
  Value.Role = choiceOf(Json, "role", VmRoleNames);
  Value.State = choiceOf(Json, "state", VmStateNames);
}

std::vector<VmInfo> parseVms(const std::string &Text) {
  nlohmann::json Json = nlohmann::json::parse(Text, nullptr, false);
  if (!Json.is_array())
    throw InvalidInput("vms", "must be a JSON array");
  std::vector<VmInfo> Rows;
  Rows.reserve(Json.size());
  std::set<std::string> Names;
  for (const nlohmann::json &Item : Json) {
    Rows.push_back(Item.get<VmInfo>());
    if (!Names.insert(Rows.back().Name).second)
      throw InvalidInput("name", "appears twice: " + Rows.back().Name);
  }
  return Rows;
}

} // namespace teaselwalk::protocol
