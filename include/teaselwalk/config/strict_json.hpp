#pragma once

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace teaselwalk::config {

/// Parses JSON from outside. Throws `InvalidInput` if it is no JSON or is
/// nested deeper than any document, because copies of deep values recurse.
/// Adds a mistake to \p Mistakes for every field that appears twice in one
/// object, of which the JSON library would silently keep the last. \p Whole is
/// the name of the text in messages.
nlohmann::json parseStrictJson(const std::string &Text, const char *Whole,
                               std::vector<FieldError> &Mistakes);

} // namespace teaselwalk::config
