#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace teaselwalk::protocol {

/// Reads the fields of a JSON object that a caller sent and collects the errors
/// of all fields. `finish()` throws them as one `InvalidInput`. Until then an
/// invalid field reads as a placeholder: an empty string, the lower bound, the
/// default of a flag or the first choice.
///
/// The functions whose names end in `Or` read optional fields and return
/// \p Default if the field is absent; to the others that is an error.
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

  /// Adds an error for each field of the object that was never read. Throws
  /// `InvalidInput` if there is any error.
  void finish();

private:
  /// Adds \p Name to the known fields. Returns null if the object lacks it.
  const nlohmann::json *find(const char *Name);
  void addError(const std::string &Field, std::string Message);

  nlohmann::json Object;
  std::set<std::string> KnownFields;
  std::vector<FieldError> Errors;
};

} // namespace teaselwalk::protocol
