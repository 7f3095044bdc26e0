#pragma once

#include "core_loop.hpp"

#include "teaselwalk/cell/owner_failure_detector.hpp"

#include <functional>
#include <string>
#include <utility>

namespace teaselwalk::node {

/// Answers the probes of other processes on a thread of its own, the one that
/// calls `run()`, so that no answer waits for the scheduler's thread.
class ProbeResponder {
public:
  using Answer = std::function<void(const cell::ProbeAnswer &)>;

  /// \p Scheduler must outlive this object.
  ProbeResponder(std::string ProcessId, const CoreLoop &Scheduler)
      : ProcessId(std::move(ProcessId)), Scheduler(Scheduler) {}

  /// Calls \p Done after \p Wait, which is limited, with the progress of the
  /// scheduler at that time. Releases \p Done without a call if too many probes
  /// are open. Thread-safe.
  void answer(Duration Wait, Answer Done);

  void run() { Timers.run(); }
  void stop() { Timers.stop(); }

private:
  const std::string ProcessId;
  const CoreLoop &Scheduler;
  CoreLoop Timers;
};

} // namespace teaselwalk::node
