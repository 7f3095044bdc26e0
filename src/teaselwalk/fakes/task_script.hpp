#pragma once

#include "teaselwalk/protocol/endpoint.hpp"

#include <optional>
#include <string>

namespace teaselwalk::fakes {

/// What a simulated task does.
struct TaskScript {
  std::optional<Duration> RunTime; ///< Nothing: runs until it is stopped.
  bool Fail = false;
  std::string Result;
};

/// Reads the script of a task from its command. Never throws: a payload that
/// is not a script is the task's result.
TaskScript scriptOf(const protocol::RunCommand &Command);

} // namespace teaselwalk::fakes
