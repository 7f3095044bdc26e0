#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/node/settings.hpp"

#include <memory>

/// One process of the system on the users' platform: threads, connections and
/// the decisions of module `cell`.
namespace teaselwalk::node {

class Process {
public:
  /// Binds its addresses and starts to work. Throws `Error` if an address
  /// cannot be bound.
  explicit Process(const NodeSettings &Settings);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Graceful shutdown: hands the ownership over, reports that it is not
  /// ready, goes on answering until the platform has noticed, and finishes
  /// what it has read. Returns false if \p Limit ended it.
  bool drain(Duration Limit);

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::node
