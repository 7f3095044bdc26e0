#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/node/settings.hpp"

#include <memory>

/// One entry process on the users' platform: runs the scheduler of module
/// `cell` with its threads, servers and connections.
namespace teaselwalk::node {

class Process {
public:
  /// Binds the addresses of the callers, the readiness probes and the other
  /// processes, and starts all threads. Throws `Error` if an address cannot be
  /// bound.
  explicit Process(const NodeSettings &Settings);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Graceful shutdown: gives up the ownership, reports the process as not
  /// ready, serves callers until the platform has noticed, then closes the
  /// listening socket and answers the requests that were already read. Blocks.
  /// Returns false if \p Limit passed with requests unanswered.
  bool drain(Duration Limit);

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::node
