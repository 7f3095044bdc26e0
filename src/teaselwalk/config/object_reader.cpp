#include "object_reader.hpp"

#include <algorithm>

namespace teaselwalk::config {
namespace {

// Bounds the answer to a hostile document; the first mistakes are enough.
constexpr size_t MaxReportedErrors = 100;
constexpr size_t MaxQuotedBytes = 40;

bool isNameByte(char Byte, bool Dots) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9') || Byte == '-' || Byte == '_' ||
         (Dots && Byte == '.');
}

bool isHexDigit(char Byte) {
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'f');
}

} // namespace

void MistakeList::add(std::string Field, std::string Message) {
  if (Errors.size() < MaxReportedErrors)
    Errors.push_back({std::move(Field), std::move(Message)});
}

std::string quoted(const nlohmann::json &Value) {
  if (Value.is_object())
    return "an object";
  if (Value.is_array())
    return "an array";
  std::string Text = Value.dump(-1, ' ', true);
  if (Text.size() > MaxQuotedBytes)
    Text = Text.substr(0, MaxQuotedBytes) + "...";
  return Text;
}

bool isName(const std::string &Text, size_t MaxBytes, bool Dots) {
  return !Text.empty() && Text.size() <= MaxBytes && Text.front() != '.' &&
         std::all_of(Text.begin(), Text.end(),
                     [&](char Byte) { return isNameByte(Byte, Dots); });
}

ObjectReader::ObjectReader(const nlohmann::json &Object, std::string Path,
                           MistakeList &Mistakes)
    : Object(Object), Path(std::move(Path)), Mistakes(Mistakes) {
  if (!Object.is_object())
    Mistakes.add(this->Path.empty() ? "document" : this->Path,
                 "is " + quoted(Object) + "; must be a JSON object");
}

std::string ObjectReader::name(const char *Field, size_t MaxBytes, bool Dots,
                               Quote Quoting) {
  const nlohmann::json *Value = find(Field);
  if (Value && Value->is_string()) {
    auto Text = Value->get<std::string>();
    if (isName(Text, MaxBytes, Dots))
      return Text;
  }
  std::string Rule = "must be a name of 1 to " + std::to_string(MaxBytes) +
                     " letters, digits, '-' and '_'";
  if (Dots)
    Rule += ", and '.' after the first";
  if (Value && Quoting == Quote::Nothing)
    Mistakes.add(pathOf(Field), Rule);
  else
    addError(Field, Value, Rule);
  return {};
}

std::string ObjectReader::optionalName(const char *Field, size_t MaxBytes) {
  const nlohmann::json *Value = find(Field);
  if (!Value || Value->is_null())
    return {};
  if (Value->is_string() && Value->get_ref<const std::string &>().empty())
    return {};
  return name(Field, MaxBytes);
}

std::string ObjectReader::hex(const char *Field, size_t MinDigits,
                              size_t MaxDigits) {
  const nlohmann::json *Value = find(Field);
  if (Value && Value->is_string()) {
    auto Text = Value->get<std::string>();
    if (Text.size() >= MinDigits && Text.size() <= MaxDigits &&
        std::all_of(Text.begin(), Text.end(), isHexDigit))
      return Text;
  }
  if (!Object.is_object())
    return {};
  std::string Count = std::to_string(MinDigits);
  if (MaxDigits != MinDigits)
    Count += " to " + std::to_string(MaxDigits);
  Mistakes.add(pathOf(Field), std::string(Value ? "" : "is missing; ") +
                                  "must be " + Count +
                                  " lower-case hexadecimal digits");
  return {};
}

int64_t ObjectReader::integer(const char *Field, int64_t Min, int64_t Max,
                              const char *Unit) {
  const nlohmann::json *Value = find(Field);
  // An unsigned value above the signed range would wrap when read as signed.
  bool Readable = Value && Value->is_number_integer() &&
                  (!Value->is_number_unsigned() ||
                   Value->get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX));
  if (Readable) {
    auto Number = Value->get<int64_t>();
    if (Number >= Min && Number <= Max)
      return Number;
  }
  addError(Field, Value,
           "must be an integer from " + std::to_string(Min) + " to " +
               std::to_string(Max) + " " + Unit);
  return Min;
}

int64_t ObjectReader::integerOr(const char *Field, int64_t Default, int64_t Min,
                                int64_t Max, const char *Unit) {
  return find(Field) ? integer(Field, Min, Max, Unit) : Default;
}

std::vector<nlohmann::json> ObjectReader::array(const char *Field, size_t Min,
                                                size_t Max) {
  const nlohmann::json *Value = find(Field);
  std::string Rule = "must be an array of " + std::to_string(Min) + " to " +
                     std::to_string(Max) + " elements";
  if (!Value || !Value->is_array()) {
    addError(Field, Value, Rule);
    return {};
  }
  if (Value->size() < Min || Value->size() > Max) {
    Mistakes.add(pathOf(Field),
                 "has " + std::to_string(Value->size()) + " elements; " + Rule);
    return {};
  }
  return {Value->begin(), Value->end()};
}

const nlohmann::json *ObjectReader::object(const char *Field) {
  const nlohmann::json *Value = find(Field);
  if (Value && Value->is_object())
    return Value;
  addError(Field, Value, "must be a JSON object");
  return nullptr;
}

void ObjectReader::finish() {
  if (!Object.is_object())
    return;
  for (const auto &Item : Object.items())
    if (Known.count(Item.key()) == 0)
      Mistakes.add(pathOf(Item.key().substr(0, MaxQuotedBytes)),
                   "is not a known field");
}

std::string ObjectReader::pathOf(const std::string &Field) const {
  return Path.empty() ? Field : Path + "." + Field;
}

const nlohmann::json *ObjectReader::find(const char *Field) {
  Known.insert(Field);
  if (!Object.is_object())
    return nullptr;
  auto Found = Object.find(Field);
  return Found == Object.end() ? nullptr : &*Found;
}

void ObjectReader::addError(const char *Field, const nlohmann::json *Value,
                            const std::string &Rule) {
  // The object itself was reported already.
  if (!Object.is_object())
    return;
  Mistakes.add(pathOf(Field),
               (Value ? "is " + quoted(*Value) : "is missing") + "; " + Rule);
}

} // namespace teaselwalk::config
