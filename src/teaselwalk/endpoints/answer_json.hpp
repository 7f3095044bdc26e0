#pragma once

#include "teaselwalk/protocol/endpoint.hpp"

#include <optional>
#include <string>

/// Strict parsing of the JSON bodies that endpoints answer with. Each function
/// returns nullopt if a field is absent, of another type or out of range.
namespace teaselwalk::endpoints {

std::optional<protocol::EndpointState> parseState(const std::string &Body);
std::optional<protocol::RunResult> parseResult(const std::string &Body);
std::optional<protocol::StopResult> parseStop(const std::string &Body);
std::optional<protocol::StaleEpoch> parseStaleEpoch(const std::string &Body);

} // namespace teaselwalk::endpoints
