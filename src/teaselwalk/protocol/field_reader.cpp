#include "field_reader.hpp"

namespace teaselwalk::protocol {
namespace {

/// Errors beyond this number are dropped.
constexpr size_t MaxReportedErrors = 32;

std::string rangeText(int64_t Min, int64_t Max, const char *Unit) {
  return "must be an integer from " + std::to_string(Min) + " to " +
         std::to_string(Max) + " " + Unit;
}

} // namespace

FieldReader::FieldReader(const std::string &Body)
    : Object(nlohmann::json::parse(Body, nullptr, false)) {
  if (Object.is_discarded())
    throw InvalidInput("body", "is not valid JSON");
  if (!Object.is_object())
    throw InvalidInput("body", "must be a JSON object");
}

std::string FieldReader::text(const char *Name, size_t MinBytes,
                              size_t MaxBytes) {
  const nlohmann::json *Value = find(Name);
  if (Value && Value->is_string()) {
    auto Text = Value->get<std::string>();
    if (Text.size() >= MinBytes && Text.size() <= MaxBytes)
      return Text;
  }
  addError(Name, "must be a string of " + std::to_string(MinBytes) + " to " +
                     std::to_string(MaxBytes) + " bytes");
  return {};
}

std::string FieldReader::textOr(const char *Name, std::string Default,
                                size_t MaxBytes) {
  return find(Name) ? text(Name, 0, MaxBytes) : std::move(Default);
}

int64_t FieldReader::integer(const char *Name, int64_t Min, int64_t Max,
                             const char *Unit) {
  const nlohmann::json *Value = find(Name);
  // An unsigned value above INT64_MAX would wrap when read as int64_t.
  bool FitsInt64 = Value && Value->is_number_integer() &&
                   (!Value->is_number_unsigned() ||
                    Value->get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX));
  if (FitsInt64) {
    auto Number = Value->get<int64_t>();
    if (Number >= Min && Number <= Max)
      return Number;
  }
  addError(Name, rangeText(Min, Max, Unit));
  return Min;
}

int64_t FieldReader::integerOr(const char *Name, int64_t Default, int64_t Min,
                               int64_t Max, const char *Unit) {
  return find(Name) ? integer(Name, Min, Max, Unit) : Default;
}

bool FieldReader::flagOr(const char *Name, bool Default) {
  const nlohmann::json *Value = find(Name);
  if (!Value)
    return Default;
  if (Value->is_boolean())
    return Value->get<bool>();
  addError(Name, "must be true or false");
  return Default;
}

void FieldReader::finish() {
  for (const auto &Item : Object.items())
    if (KnownFields.count(Item.key()) == 0)
      addError(Item.key().substr(0, 64), "is not a known field");
  if (!Errors.empty())
    throw InvalidInput(std::move(Errors));
}

const nlohmann::json *FieldReader::find(const char *Name) {
  KnownFields.insert(Name);
  auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

void FieldReader::addError(const std::string &Field, std::string Message) {
  if (Errors.size() < MaxReportedErrors)
    Errors.push_back({Field, std::move(Message)});
}

} // namespace teaselwalk::protocol
