#pragma once

#include "teaselwalk/protocol/vm.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace teaselwalk::protocol {

void to_json(nlohmann::json &Json, const VmInfo &Value);

/// Throws `InvalidInput` if a field is absent, empty or of the wrong type.
void from_json(const nlohmann::json &Json, VmInfo &Value);

/// Parses a VM list: a JSON array of rows with unique names. Throws
/// `InvalidInput` if any row is invalid and returns no part of the list,
/// because a row that is left out would mean that the VM no longer exists.
std::vector<VmInfo> parseVms(const std::string &Text);

} // namespace teaselwalk::protocol
