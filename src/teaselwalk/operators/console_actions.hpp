#pragma once

#include "teaselwalk/config/document.hpp"

#include "form.hpp"

#include <functional>
#include <string>
#include <vector>

/// The changes that a form of the console can make.
namespace teaselwalk::operators {

/// An edited document, and the text of a key that was made for it.
struct Edit {
  config::Document Wanted;
  std::string NewKey;
};

/// Applies the form's `action` to a copy of \p Current. Throws `InvalidInput`
/// for an unknown action or a document with mistakes.
Edit editedBy(const config::Document &Current, const Form &Fields,
              const std::function<std::vector<uint8_t>(size_t)> &RandomBytes);

} // namespace teaselwalk::operators
