#pragma once

#include <nlohmann/json.hpp>

namespace teaselwalk::config {

/// A JSON patch from one canonical document to another. It follows rows by name
/// and not by position, and is never much larger than the new document.
nlohmann::json patchBetween(const nlohmann::json &Old,
                            const nlohmann::json &New);

} // namespace teaselwalk::config
