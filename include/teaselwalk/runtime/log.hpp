#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/runtime/event_name.hpp"
#include "teaselwalk/runtime/field.hpp"
#include "teaselwalk/runtime/thread_group.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace teaselwalk::runtime {

enum class Level { Debug, Info, Warn, Error };

constexpr std::array<EnumName<Level>, 4> LevelNames = {{
    {Level::Debug, "debug"},
    {Level::Info, "info"},
    {Level::Warn, "warn"},
    {Level::Error, "error"},
}};

struct LogOptions {
  std::string File; ///< Appended to; empty: standard error or output.
  Level Lowest = Level::Info;
  size_t RingCapacity = 8192; ///< Lines waiting for the writer.
  bool ToOutput = false;      ///< Without a file: standard output.
};

/// The log of the process. While it exists, `logEvent()` writes to it; there
/// is at most one at a time.
class Log {
public:
  /// Starts the thread "log" in \p Threads, which must outlive the log. Throws
  /// `Error` if the file cannot be opened.
  Log(ThreadGroup &Threads, const LogOptions &Options);

  /// Writes the lines that wait and stops the thread.
  ~Log();
  Log(const Log &) = delete;
  Log &operator=(const Log &) = delete;

  /// Lines lost because the ring was full.
  uint64_t dropped() const;

private:
  class Impl;
  ThreadGroup &Threads;
  std::shared_ptr<Impl> State;
};

/// Queues one line `time LEVEL event name=value ...`. Never blocks; a line that
/// finds the ring full is dropped and counted. Without a log it does nothing.
///
/// ```cpp
/// logEvent(Level::Info, EventName::TaskStarted,
///          {{"request", Id.str()}, {"team", Team.str()}});
/// ```
void logEvent(Level Severity, EventName Name, Fields Values);

} // namespace teaselwalk::runtime
