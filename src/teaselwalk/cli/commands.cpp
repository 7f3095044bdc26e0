#include "teaselwalk/cli/commands.hpp"

namespace teaselwalk::cli {

extern const Command BenchCommand;

const std::vector<Command> &commands() {
  // Each row is declared in the file of its command: X_command.cpp.
  static const std::vector<Command> Table = {BenchCommand};
  return Table;
}

} // namespace teaselwalk::cli
