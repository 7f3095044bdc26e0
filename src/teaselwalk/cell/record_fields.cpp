#include "teaselwalk/cell/record_fields.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace teaselwalk::cell {
namespace {

const nlohmann::json &fieldOf(const nlohmann::json &Record, const char *Name) {
  auto Found = Record.find(Name);
  if (Found == Record.end())
    throw Error(std::string("field ") + Name + " is missing");
  return *Found;
}

} // namespace

int64_t integerIn(const nlohmann::json &Value, const char *Name, int64_t Least,
                  int64_t Most) {
  bool IsTooLarge =
      Value.is_number_unsigned() &&
      Value.get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  if (!Value.is_number_integer() || IsTooLarge ||
      Value.get<int64_t>() < Least || Value.get<int64_t>() > Most)
    throw Error(std::string("field ") + Name + " must be an integer from " +
                std::to_string(Least) + " to " + std::to_string(Most));
  return Value.get<int64_t>();
}

int64_t integerField(const nlohmann::json &Record, const char *Name,
                     int64_t Least, int64_t Most) {
  return integerIn(fieldOf(Record, Name), Name, Least, Most);
}

double positiveField(const nlohmann::json &Record, const char *Name,
                     double Most) {
  const nlohmann::json &Value = fieldOf(Record, Name);
  double Number = Value.is_number() ? Value.get<double>() : 0;
  if (!(Number > 0) || Number > Most)
    throw Error(std::string("field ") + Name +
                " must be a number above 0 and at most " +
                std::to_string(Most));
  return Number;
}

} // namespace teaselwalk::cell
