#pragma once

#include "teaselwalk/protocol/vm.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace teaselwalk::protocol {

void to_json(nlohmann::json &Json, const VmInfo &Value);

/// Throws `InvalidInput` if a field is absent, empty or of another kind.
void from_json(const nlohmann::json &Json, VmInfo &Value);

/// Reads a VM list: a JSON array of rows with different names. Throws
/// `InvalidInput`; a list with one bad row is refused as a whole, because a
/// missing row means that the VM no longer exists.
std::vector<VmInfo> parseVms(const std::string &Text);

} // namespace teaselwalk::protocol
