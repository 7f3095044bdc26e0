#pragma once

#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace teaselwalk::runtime {

/// A named value of a log line or timeline event. Never a key or credential.
struct Field {
  std::string Name;
  std::string Value;

  Field(std::string Name, std::string Value)
      : Name(std::move(Name)), Value(std::move(Value)) {}
  template <typename Number,
            typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
  Field(std::string Name, Number Value)
      : Field(std::move(Name), std::to_string(Value)) {}

  friend bool operator==(const Field &A, const Field &B) {
    return A.Name == B.Name && A.Value == B.Value;
  }
};

using Fields = std::vector<Field>;

/// `name=value` pairs separated by spaces. Values with spaces, quotes, `=` or
/// control characters are quoted and escaped, so that one event is one line.
/// A value is cut after 512 bytes.
std::string toText(const Fields &Values);

} // namespace teaselwalk::runtime
