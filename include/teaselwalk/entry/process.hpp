#pragma once

#include "teaselwalk/runtime/log.hpp"
#include "teaselwalk/settings/settings.hpp"

#include <cstdint>
#include <memory>
#include <string>

/// One entry process: its servers, clients and engine, each on its own thread.
namespace teaselwalk::entry {

/// Ports that the servers are bound to.
struct Ports {
  uint16_t Caller = 0;
  uint16_t Operator = 0;
  uint16_t Peer = 0;
};

/// Runs from construction until destruction.
///
/// ```cpp
/// entry::Process Running(Settings);
/// waitForSignal();
/// Running.drain(Settings.Times.DrainLimit);
/// ```
class Process {
public:
  /// Binds all servers and starts all threads. Throws `Error` if an address
  /// cannot be bound.
  explicit Process(const settings::Settings &Settings);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  Ports ports() const;

  /// Graceful shutdown: refuses new work, waits until every open request is
  /// answered and the shards are handed over, at most \p Limit. Returns false
  /// if the limit ended it.
  bool drain(Duration Limit);

  /// Name and error of the first thread that ended by an exception, or "".
  std::string failure() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::entry
