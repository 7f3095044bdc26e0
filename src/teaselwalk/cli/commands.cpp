#include "teaselwalk/cli/commands.hpp"

#include "command_rows.hpp"

namespace teaselwalk::cli {

const std::vector<Command> &commands() {
  // Each row is declared in the file of its command: X_command.cpp.
  static const std::vector<Command> Table = {
      CheckCommand,  ApplyCommand, SubmitCommand, StatusCommand,
      CancelCommand, BenchCommand, FakeCommand,
  };
  return Table;
}

} // namespace teaselwalk::cli
