#include "node_process-2.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace teaselwalk::review {
namespace {

/// `run` of the deploy file, and the variable that names the settings.
constexpr const char *Program = "target/teaselwalk";
constexpr const char *Command = "node";
constexpr const char *SettingsVariable = "TEASELWALK_BOOT";
constexpr int CannotRun = 127;

} // namespace

NodeProcess::~NodeProcess() {
  if (Pid == 0)
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

void NodeProcess::start() {
  // Prepared before the fork: the child of a process with several threads must
  // not allocate memory.
  std::string Named = std::string(SettingsVariable) + '=' + SettingsFile;
  std::string First = Program;
  std::string Second = Command;
  std::array<char *, 3> Words{First.data(), Second.data(), nullptr};
  std::vector<char *> Environment;
  for (char **Each = environ; *Each != nullptr; ++Each)
    Environment.push_back(*Each);
  Environment.push_back(Named.data());
  Environment.push_back(nullptr);
  pid_t Parent = getpid();
  Pid = fork();
  if (Pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Log = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (getppid() != Parent || Log < 0)
    _exit(CannotRun);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execve(Program, Words.data(), Environment.data());
  _exit(CannotRun);
}

void NodeProcess::signal(int Number) const {
  if (Pid != 0)
    kill(Pid, Number);
}

bool NodeProcess::isRunning() {
  if (Pid != 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = 0;
  return Pid != 0;
}

} // namespace teaselwalk::review
