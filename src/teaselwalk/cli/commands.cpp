#include "teaselwalk/cli/commands.hpp"

namespace teaselwalk::cli {

// Each row is defined in the file of its command: X_command.cpp.
extern const Command FakeCommand;

const std::vector<Command> &commands() {
  static const std::vector<Command> Table = {FakeCommand};
  return Table;
}

} // namespace teaselwalk::cli
