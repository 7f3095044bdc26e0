#include "command_rows.hpp"

#include "platform/boot_file.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/node/process.hpp"
#include "teaselwalk/runtime/log.hpp"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

namespace teaselwalk::cli {
namespace {

constexpr const char *Usage =
    R"(Run an entry process on the users' platform until SIGTERM or SIGINT.

Usage:
  teaselwalk node [--settings FILE] [--features LIST]
  teaselwalk node --help

Options:
  --settings FILE   The platform's settings file. Default: the file that the
                    platform names in the environment.
  --features LIST   Features of the scheduler that are on, separated by commas:
                    failure_domains, endpoint_records, urgent_room; or all, or
                    none. Default: all if the settings list the terms of the
                    deployment and its operators take no data centres out of
                    service, else none.
)";

/// Of the time between SIGTERM and SIGKILL, kept for the exit itself.
constexpr Duration ExitTime{800};

std::string settingsFile(const Arguments &Args) {
  if (Args.at("--settings"))
    return Args.at("--settings").asString();
  const char *Named = std::getenv(adapter::SettingsVariable);
  if (Named == nullptr)
    throw InvalidInput("--settings", "no settings file is named");
  return Named;
}

node::NodeSettings load(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    throw InvalidInput(File, "cannot be read");
  return adapter::decodeSettings(
      std::string(std::istreambuf_iterator<char>(In), {}));
}

/// Checks the changed file. The addresses and bounds in use stay as they were
/// at the start.
void reload(const std::string &File) {
  std::string Problem;
  try {
    load(File);
  } catch (const std::exception &Failure) {
    Problem = Failure.what();
  }
  runtime::logEvent(
      Problem.empty() ? runtime::Level::Info : runtime::Level::Warn,
      EventName::SettingsReloaded, {{"file", File}, {"problem", Problem}});
}

int run(const Arguments &Args) {
  std::string File = settingsFile(Args);
  node::NodeSettings Settings = load(File);
  if (Args.at("--features"))
    Settings.Features =
        cell::FeatureSet::parse(Args.at("--features").asString());
  sigset_t Signals = blockStopSignals();
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  auto Running = std::make_unique<node::Process>(Settings);
  int Received = 0;
  sigwait(&Signals, &Received);
  while (Received == SIGHUP) {
    reload(File);
    sigwait(&Signals, &Received);
  }
  bool IsComplete = Running->drain(Settings.Limits.GracePeriod - ExitTime);
  Running.reset();
  std::cout.flush();
  // Without static destructors: those of the log library wait for its idle
  // threads, on the platform's machines past the end of the grace period.
  std::quick_exit(IsComplete ? ExitOk : ExitFailure);
}

} // namespace

const Command NodeCommand = {"node", Usage, run};

} // namespace teaselwalk::cli
