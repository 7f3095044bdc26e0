#pragma once

#include "teaselwalk/cli/command.hpp"

#include <csignal>

/// The rows of the command table, each defined in the file of its command.
namespace teaselwalk::cli {

extern const Command ServeCommand;
extern const Command BenchCommand;
extern const Command CheckCommand;
extern const Command FakeCommand;
extern const Command LocalCommand;
extern const Command ApplyCommand;
extern const Command SubmitCommand;
extern const Command StatusCommand;
extern const Command CancelCommand;
extern const Command KeyCommand;
extern const Command TimelineCommand;
extern const Command NodeCommand;

/// Blocks the signals that end the process in all threads started after this.
sigset_t blockStopSignals();

} // namespace teaselwalk::cli
