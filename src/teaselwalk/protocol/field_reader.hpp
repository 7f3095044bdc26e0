#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace teaselwalk::protocol {

/// Reads the fields of one JSON object from outside and collects every
/// mistake. `finish()` throws `InvalidInput` if there was one; until then a bad
/// field yields its lower bound or an empty value.
class FieldReader {
public:
  /// Throws `InvalidInput` if \p Body is not a JSON object.
  explicit FieldReader(const std::string &Body);

  std::string text(const char *Name, size_t MinBytes, size_t MaxBytes);
  std::string textOr(const char *Name, std::string Default, size_t MaxBytes);
  int64_t integer(const char *Name, int64_t Min, int64_t Max, const char *Unit);
  int64_t integerOr(const char *Name, int64_t Default, int64_t Min, int64_t Max,
                    const char *Unit);
  bool flagOr(const char *Name, bool Default);

  template <typename Enum, size_t N>
  Enum choice(const char *Name, const std::array<EnumName<Enum>, N> &Table) {
    auto Value = valueOf(Table, text(Name, 1, 64));
    if (Value)
      return *Value;
    std::string Allowed;
    for (const EnumName<Enum> &Row : Table)
      Allowed += (Allowed.empty() ? "" : ", ") + std::string(Row.Name);
    addError(Name, "must be one of " + Allowed);
    return Table.front().Value;
  }

  /// Reports fields that were never read as unknown.
  void finish();

private:
  const nlohmann::json *find(const char *Name);
  void addError(const std::string &Field, std::string Message);

  nlohmann::json Object;
  std::set<std::string> Known;
  std::vector<FieldError> Errors;
};

} // namespace teaselwalk::protocol
