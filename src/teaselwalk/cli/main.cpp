#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cli/commands.hpp"

#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace teaselwalk;

constexpr const char *Version = "teaselwalk 0.1.0";

void printHelp(std::ostream &Out) {
  Out << Version << "\n\nUsage: teaselwalk COMMAND [options]\n"
      << "       teaselwalk COMMAND --help\n\nCommands:\n";
  for (const cli::Command &Row : cli::commands())
    Out << "  " << Row.Name << '\n';
}

int runCommand(const cli::Command &Row, const std::vector<std::string> &Words) {
  try {
    cli::Arguments Args = docopt::docopt_parse(Row.Usage, Words, true, true);
    return Row.Run(Args);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Row.Usage << '\n';
    return cli::ExitOk;
  } catch (const docopt::DocoptArgumentError &Failure) {
    std::cerr << Failure.what() << '\n' << Row.Usage << '\n';
    return cli::ExitBadUsage;
  } catch (const InvalidInput &Failure) {
    for (const FieldError &Mistake : Failure.errors())
      std::cerr << Mistake.Field << ": " << Mistake.Message << '\n';
    return cli::ExitBadUsage;
  } catch (const std::exception &Failure) {
    std::cerr << "teaselwalk " << Row.Name << ": " << Failure.what() << '\n';
    return cli::ExitFailure;
  }
}

} // namespace

int main(int Count, char **Values) {
  std::vector<std::string> Words(Values + 1, Values + Count);
  if (Words.empty() || Words[0] == "--help" || Words[0] == "-h") {
    printHelp(Words.empty() ? std::cerr : std::cout);
    return Words.empty() ? cli::ExitBadUsage : cli::ExitOk;
  }
  if (Words[0] == "--version") {
    std::cout << Version << '\n';
    return cli::ExitOk;
  }
  for (const cli::Command &Row : cli::commands())
    if (Words[0] == Row.Name)
      return runCommand(Row, Words);
  std::cerr << "teaselwalk: unknown command '" << Words[0] << "'\n";
  printHelp(std::cerr);
  return cli::ExitBadUsage;
}
