#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace teaselwalk::config {

/// Every mistake found so far, up to a bound.
class MistakeList {
public:
  void add(std::string Field, std::string Message);
  const std::vector<FieldError> &all() const { return Errors; }

private:
  std::vector<FieldError> Errors;
};

/// \p Value as it is quoted in messages: JSON text of at most 40 bytes.
std::string quoted(const nlohmann::json &Value);

/// True if \p Text is a name: letters, digits, `-` and `_`, and `.` after the
/// first character if \p Dots.
bool isName(const std::string &Text, size_t MaxBytes, bool Dots);

/// Reads the fields of one JSON object and notes every mistake with its path.
/// A bad field yields its lower bound or an empty value.
class ObjectReader {
public:
  /// \p Path is empty for the document itself.
  ObjectReader(const nlohmann::json &Object, std::string Path,
               MistakeList &Mistakes);

  /// Messages about secret fields never quote the value.
  enum class Quote { Value, Nothing };

  std::string name(const char *Field, size_t MaxBytes, bool Dots = true,
                   Quote Quoting = Quote::Value);
  /// As `name`, and empty if the field is absent, null or empty.
  std::string optionalName(const char *Field, size_t MaxBytes);
  /// Lower-case hexadecimal digits; the value is never quoted.
  std::string hex(const char *Field, size_t MinDigits, size_t MaxDigits);
  int64_t integer(const char *Field, int64_t Min, int64_t Max,
                  const char *Unit);
  int64_t integerOr(const char *Field, int64_t Default, int64_t Min,
                    int64_t Max, const char *Unit);
  /// The elements of an array of at most \p Max elements; empty if there is a
  /// mistake.
  std::vector<nlohmann::json> array(const char *Field, size_t Min, size_t Max);
  /// The object, or null if there is a mistake.
  const nlohmann::json *object(const char *Field);

  template <typename Enum, size_t N>
  Enum choice(const char *Field, const std::array<EnumName<Enum>, N> &Table) {
    const nlohmann::json *Value = find(Field);
    if (Value && Value->is_string())
      if (auto Found = valueOf(Table, Value->get_ref<const std::string &>()))
        return *Found;
    std::string Allowed;
    for (const EnumName<Enum> &Row : Table)
      Allowed += (Allowed.empty() ? "" : ", ") + std::string(Row.Name);
    addError(Field, Value, "must be one of " + Allowed);
    return Table.front().Value;
  }

  /// Notes every field that was never read as unknown.
  void finish();

  /// The path of \p Field, such as `teams[2].share`.
  std::string pathOf(const std::string &Field) const;

private:
  const nlohmann::json *find(const char *Field);
  void addError(const char *Field, const nlohmann::json *Value,
                const std::string &Rule);

  const nlohmann::json &Object;
  std::string Path;
  MistakeList &Mistakes;
  std::set<std::string> Known;
};

} // namespace teaselwalk::config
