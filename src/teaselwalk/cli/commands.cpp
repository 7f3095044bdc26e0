#include "teaselwalk/cli/commands.hpp"

#include "command_rows.hpp"

namespace teaselwalk::cli {

const std::vector<Command> &commands() {
  static const std::vector<Command> Table = {
      ServeCommand,    NodeCommand,   CheckCommand,  ApplyCommand,
      KeyCommand,      SubmitCommand, StatusCommand, CancelCommand,
      TimelineCommand, FakeCommand,   LocalCommand,  BenchCommand,
  };
  return Table;
}

} // namespace teaselwalk::cli
