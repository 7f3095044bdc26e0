#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/error.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <toml.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselwalk::settings {

/// Reads the keys of one TOML table and notes every mistake with its file and
/// line. A bad key yields its default.
class TableReader {
public:
  /// \p Path is empty for the file itself. \p Line is named for missing keys.
  TableReader(const toml::value &Table, std::string File, std::string Path,
              std::vector<FieldError> &Mistakes);

  /// The table \p Key, or an empty one if it is absent.
  TableReader table(const char *Key);

  std::string text(const char *Key, size_t MinBytes, size_t MaxBytes,
                   std::optional<std::string> Default = std::nullopt);
  int64_t integer(const char *Key, int64_t Min, int64_t Max, const char *Unit,
                  std::optional<int64_t> Default = std::nullopt);
  protocol::Address address(const char *Key);
  std::vector<protocol::Address> addresses(const char *Key, size_t Max);

  template <typename Enum, size_t N>
  Enum choice(const char *Key, const std::array<EnumName<Enum>, N> &Names,
              Enum Default) {
    const toml::value *Value = find(Key);
    if (!Value)
      return Default;
    if (Value->is_string())
      if (auto Found = valueOf(Names, Value->as_string().str))
        return *Found;
    std::string Allowed;
    for (const EnumName<Enum> &Row : Names)
      Allowed += (Allowed.empty() ? "" : ", ") + std::string(Row.Name);
    addError(Key, Value, "must be one of " + Allowed);
    return Default;
  }

  /// Notes a mistake of \p Key, which may be absent.
  void addError(const std::string &Key, const toml::value *Value,
                const std::string &Rule);

  /// The value of \p Key, or null. The key counts as known.
  const toml::value *find(const char *Key);

  /// Notes every key that was never read as unknown.
  void finish();

private:
  std::string placeOf(const std::string &Key, const toml::value *Value) const;

  const toml::value *Table; ///< Null if the table is absent or no table.
  std::string File;
  std::string Path;
  std::vector<FieldError> *Mistakes;
  std::set<std::string> Known;
};

} // namespace teaselwalk::settings
