#pragma once

#include "teaselwalk/cli/command.hpp"

#include <vector>

namespace teaselwalk::cli {

/// All commands, in the order of `--help`.
const std::vector<Command> &commands();

} // namespace teaselwalk::cli
