#pragma once

#include <array>
#include <optional>
#include <string_view>

/// Tables of names for `enum class` types.
namespace teaselwalk {

/// One row of a name table.
template <typename Enum> struct EnumName {
  Enum Value;
  std::string_view Name;
};

/// The name of \p Value, or "unknown" if the table has no such row.
template <typename Enum, size_t N>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, N> &Table,
                                  Enum Value) {
  for (const EnumName<Enum> &Row : Table)
    if (Row.Value == Value)
      return Row.Name;
  return "unknown";
}

/// The value called \p Name, or nothing if the table has no such row.
template <typename Enum, size_t N>
constexpr std::optional<Enum>
valueOf(const std::array<EnumName<Enum>, N> &Table, std::string_view Name) {
  for (const EnumName<Enum> &Row : Table)
    if (Row.Name == Name)
      return Row.Value;
  return std::nullopt;
}

} // namespace teaselwalk
