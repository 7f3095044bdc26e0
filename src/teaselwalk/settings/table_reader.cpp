#include "table_reader.hpp"

#include "teaselwalk/settings/settings.hpp"

namespace teaselwalk::settings {
namespace {

constexpr size_t MaxReportedErrors = 100;
constexpr size_t MaxQuotedBytes = 40;

std::string quoted(const toml::value &Value) {
  if (Value.is_string())
    return '"' + Value.as_string().str.substr(0, MaxQuotedBytes) + '"';
  if (Value.is_integer())
    return std::to_string(Value.as_integer());
  if (Value.is_boolean())
    return Value.as_boolean() ? "true" : "false";
  return "of another type";
}

} // namespace

TableReader::TableReader(const toml::value &Table, std::string File,
                         std::string Path, std::vector<FieldError> &Mistakes)
    : Table(&Table), File(std::move(File)), Path(std::move(Path)),
      Mistakes(&Mistakes) {}

TableReader TableReader::table(const char *Key) {
  const toml::value *Value = find(Key);
  if (Value && !Value->is_table())
    addError(Key, Value, "must be a table");
  static const toml::value Empty = toml::table();
  bool Usable = Value && Value->is_table();
  return {Usable ? *Value : Empty, File, Key, *Mistakes};
}

std::string TableReader::text(const char *Key, size_t MinBytes, size_t MaxBytes,
                              std::optional<std::string> Default) {
  const toml::value *Value = find(Key);
  if (!Value && Default)
    return *Default;
  if (Value && Value->is_string()) {
    const std::string &Text = Value->as_string().str;
    if (Text.size() >= MinBytes && Text.size() <= MaxBytes)
      return Text;
  }
  addError(Key, Value,
           "must be a string of " + std::to_string(MinBytes) + " to " +
               std::to_string(MaxBytes) + " bytes");
  return {};
}

int64_t TableReader::integer(const char *Key, int64_t Min, int64_t Max,
                             const char *Unit, std::optional<int64_t> Default) {
  const toml::value *Value = find(Key);
  if (!Value && Default)
    return *Default;
  if (Value && Value->is_integer()) {
    int64_t Number = Value->as_integer();
    if (Number >= Min && Number <= Max)
      return Number;
  }
  addError(Key, Value,
           "must be an integer from " + std::to_string(Min) + " to " +
               std::to_string(Max) + " " + Unit);
  return Default.value_or(Min);
}

protocol::Address TableReader::address(const char *Key) {
  const toml::value *Value = find(Key);
  if (Value && Value->is_string())
    if (auto Found = parseAddress(Value->as_string().str))
      return *Found;
  addError(Key, Value, "must be IP:PORT with port 1 to 65535");
  return {};
}

std::vector<protocol::Address> TableReader::addresses(const char *Key,
                                                      size_t Max) {
  const toml::value *Value = find(Key);
  if (!Value)
    return {};
  std::string Rule = "must be an array of at most " + std::to_string(Max) +
                     " strings IP:PORT with port 1 to 65535";
  if (!Value->is_array() || Value->as_array().size() > Max) {
    addError(Key, Value, Rule);
    return {};
  }
  std::vector<protocol::Address> Out;
  for (const toml::value &Row : Value->as_array()) {
    auto Found =
        Row.is_string() ? parseAddress(Row.as_string().str) : std::nullopt;
    if (Found)
      Out.push_back(*Found);
    else
      addError(Key, &Row, Rule);
  }
  return Out;
}

void TableReader::addError(const std::string &Key, const toml::value *Value,
                           const std::string &Rule) {
  if (Mistakes->size() < MaxReportedErrors)
    Mistakes->push_back(
        {placeOf(Key, Value),
         (Value ? "is " + quoted(*Value) : "is missing") + "; " + Rule});
}

const toml::value *TableReader::find(const char *Key) {
  Known.insert(Key);
  const toml::table &Rows = Table->as_table();
  auto Found = Rows.find(Key);
  return Found == Rows.end() ? nullptr : &Found->second;
}

void TableReader::finish() {
  // The library keeps keys in no order; messages follow the file.
  std::vector<std::pair<uint32_t, std::string>> Unknown;
  for (const auto &[Key, Value] : Table->as_table())
    if (Known.count(Key) == 0)
      Unknown.emplace_back(Value.location().line(), Key);
  std::sort(Unknown.begin(), Unknown.end());
  for (const auto &[Line, Key] : Unknown)
    if (Mistakes->size() < MaxReportedErrors)
      Mistakes->push_back(
          {placeOf(Key.substr(0, MaxQuotedBytes), &Table->as_table().at(Key)),
           "is not a known key"});
}

std::string TableReader::placeOf(const std::string &Key,
                                 const toml::value *Value) const {
  // A missing key has no line of its own; that of its table is named.
  uint32_t Line = Value ? Value->location().line() : Table->location().line();
  return File + ":" + std::to_string(Line) + ": " +
         (Path.empty() ? Key : Path + "." + Key);
}

} // namespace teaselwalk::settings
