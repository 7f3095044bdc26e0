#pragma once

#include <map>
#include <string>

namespace teaselwalk::operators {

/// The fields of a submitted HTML form.
class Form {
public:
  /// Reads `application/x-www-form-urlencoded`. Of equal names the first
  /// counts.
  static Form parse(const std::string &Body);

  /// The value of \p Name, or an empty text.
  std::string text(const std::string &Name) const;

  const std::map<std::string, std::string> &all() const { return Fields; }

private:
  std::map<std::string, std::string> Fields;
};

/// \p Text with the characters that mean something in HTML replaced.
std::string escapeHtml(const std::string &Text);

} // namespace teaselwalk::operators
