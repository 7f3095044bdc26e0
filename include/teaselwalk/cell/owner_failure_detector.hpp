#pragma once

#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <optional>
#include <string>

namespace teaselwalk::cell {

/// The health of the owner as observed by one process.
enum class OwnerHealth {
  Unknown, ///< The process does not watch this owner, or has no answer yet.
  Alive,
  /// The latest probe had no answer, or its answer shows that the scheduler's
  /// thread makes no progress.
  Suspected,
  Dead, ///< Another process answers at the owner's address.
};

constexpr std::array<EnumName<OwnerHealth>, 4> OwnerHealthNames = {{
    {OwnerHealth::Unknown, "unknown"},
    {OwnerHealth::Alive, "alive"},
    {OwnerHealth::Suspected, "suspected"},
    {OwnerHealth::Dead, "dead"},
}};

/// The answer of a process to a probe. It does not wait for the scheduler's
/// thread, so a process that is alive answers however long its queue is.
struct ProbeAnswer {
  std::string ProcessId;
  /// How long the scheduler's thread has worked on one item; 0 if it waits for
  /// the next one.
  Duration StalledFor{0};
};

/// Probes of the owner and queries about it to other processes.
class OwnerCalls {
public:
  virtual ~OwnerCalls() = default;
  /// Asks the process at \p To for its id and its progress. It answers after
  /// \p Wait; the result is empty if it does not answer within \p Slack after
  /// that or the connection is closed.
  virtual void
  identify(const protocol::Address &To, Duration Wait, Duration Slack,
           std::function<void(std::optional<ProbeAnswer>)> Done) = 0;
  /// Asks the process at \p To for the health of the owner \p ProcessId as it
  /// observes it.
  virtual void health(const protocol::Address &To, const std::string &ProcessId,
                      std::function<void(OwnerHealth)> Done) = 0;
};

/// Failure detector for the owner. Keeps one probe in flight to it: when the
/// owner is killed its connections close, which is noticed long before its
/// lease expires. An owner that answers is alive, also if it is overloaded,
/// unless its scheduler's thread has been stuck for seconds.
class OwnerFailureDetector {
public:
  OwnerFailureDetector(Executor &Clock, OwnerCalls &Peers, Recorder &Log,
                       std::function<void()> OnSuspected)
      : Clock(Clock), Peers(Peers), Log(Log),
        OnSuspected(std::move(OnSuspected)) {}

  /// Watches \p ProcessId, which is reached at \p At, in place of any other.
  void watch(const std::string &ProcessId, const protocol::Address &At);
  void stop();
  /// Sets how much later than asked an answer may come, as a multiple of the
  /// usual time.
  void setPatience(int Factor) { Patience = Factor; }

  /// `Unknown` if \p ProcessId is not the one that is watched.
  OwnerHealth health(const std::string &ProcessId) const;

private:
  void probe();
  void onAnswer(const std::optional<ProbeAnswer> &Answer);
  /// The health that \p Answer to the latest probe shows.
  OwnerHealth judge(const std::optional<ProbeAnswer> &Answer) const;

  Executor &Clock;
  OwnerCalls &Peers;
  Recorder &Log;
  const std::function<void()> OnSuspected;
  std::string WatchedId; ///< Id of the watched process; empty: none.
  protocol::Address Address;
  OwnerHealth State = OwnerHealth::Unknown;
  int Patience = 1;
  /// Increases with each change of the watched process, so that answers to
  /// earlier probes are discarded.
  uint64_t Generation = 0;
  Lifetime Alive;
};

} // namespace teaselwalk::cell
