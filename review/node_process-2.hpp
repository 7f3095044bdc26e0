#pragma once

#include <string>
#include <sys/types.h>

namespace teaselwalk::review {

/// A process of the program under test, started as the deploy file says. It
/// ends with this object, and with the thread that has started it.
class NodeProcess {
public:
  /// The output is appended to \p LogFile.
  NodeProcess(std::string SettingsFile, std::string LogFile)
      : SettingsFile(std::move(SettingsFile)), LogFile(std::move(LogFile)) {}
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  void start();
  /// No effect if the process has ended.
  void signal(int Number) const;
  /// False once the process has ended.
  bool isRunning();
  pid_t pid() const { return Pid; }

private:
  const std::string SettingsFile;
  const std::string LogFile;
  pid_t Pid = 0; ///< 0: not running.
};

} // namespace teaselwalk::review
