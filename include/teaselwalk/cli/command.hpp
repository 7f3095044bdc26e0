#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

/// The command line. One file a command; `main` finds it in a table.
namespace teaselwalk::cli {

using Arguments = std::map<std::string, docopt::value>;

/// Exit codes of all commands.
enum ExitCode {
  ExitOk = 0,
  ExitFailure = 1,  ///< The command was understood and did not succeed.
  ExitBadUsage = 2, ///< Wrong arguments or a bad file; nothing was started.
};

/// A command: its name, its docopt usage text and its function.
struct Command {
  const char *Name;
  const char *Usage;
  int (*Run)(const Arguments &Args);
};

} // namespace teaselwalk::cli
