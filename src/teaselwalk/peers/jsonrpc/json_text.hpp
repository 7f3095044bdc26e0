#pragma once

#include <json/value.h>

#include <string>

namespace teaselwalk {
namespace jsonrpc {

/// Parses strict JSON. Throws `std::runtime_error` if \p Text is malformed or
/// nested too deeply.
Json::Value parseText(const std::string &Text);

/// Writes \p Value as compact JSON in UTF-8, without escaping non-ASCII
/// characters.
std::string writeText(const Json::Value &Value);

} // namespace jsonrpc
} // namespace teaselwalk
