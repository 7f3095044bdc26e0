#include "command_rows.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/entry/process.hpp"
#include "teaselwalk/settings/settings.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace teaselwalk::cli {
namespace {

constexpr const char *Usage =
    R"(Run an entry process until SIGTERM or SIGINT, which end it gracefully.

Usage:
  teaselwalk serve --settings FILE [--port-file FILE]
  teaselwalk serve --help

Options:
  --settings FILE   TOML file with the settings of this process.
  --port-file FILE  Write the ports in use as JSON, once all are bound.
)";

/// Written under another name first, so that a reader never sees a part.
void writePorts(const std::string &File, const entry::Ports &Bound) {
  nlohmann::json Json = {{"caller", Bound.Caller},
                         {"operator", Bound.Operator},
                         {"peer", Bound.Peer}};
  std::string Part = File + ".part";
  std::ofstream(Part) << Json.dump() << '\n';
  if (std::rename(Part.c_str(), File.c_str()) != 0)
    throw Error("cannot write " + File);
}

int run(const Arguments &Args) {
  std::string File = Args.at("--settings").asString();
  std::ifstream In(File);
  if (!In)
    throw InvalidInput(File, "cannot be read");
  settings::Settings Settings = settings::loadSettings(In, File);
  sigset_t Signals = blockStopSignals();
  entry::Process Running(Settings);
  if (Args.at("--port-file"))
    writePorts(Args.at("--port-file").asString(), Running.ports());
  int Received = 0;
  sigwait(&Signals, &Received);
  bool IsComplete = Running.drain(Settings.Times.DrainLimit);
  if (!IsComplete)
    std::cerr << "teaselwalk serve: the drain limit of "
              << Settings.Times.DrainLimit.count()
              << " ms ended the graceful shutdown\n";
  return IsComplete ? ExitOk : ExitFailure;
}

} // namespace

sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

const Command ServeCommand = {"serve", Usage, run};

} // namespace teaselwalk::cli
