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
  Suspected, ///< The latest probe had no answer.
  Dead,      ///< Another process answers at the owner's address.
};

constexpr std::array<EnumName<OwnerHealth>, 4> OwnerHealthNames = {{
    {OwnerHealth::Unknown, "unknown"},
    {OwnerHealth::Alive, "alive"},
    {OwnerHealth::Suspected, "suspected"},
    {OwnerHealth::Dead, "dead"},
}};

/// Probes of the owner and queries about it to other processes.
class OwnerCalls {
public:
  virtual ~OwnerCalls() = default;
  /// Asks the process at \p To for its id. It answers after \p Wait; the result
  /// is empty if it does not answer or the connection is closed.
  virtual void identify(const protocol::Address &To, Duration Wait,
                        std::function<void(std::optional<std::string>)>) = 0;
  /// Asks the process at \p To for the health of the owner \p Process as it
  /// observes it.
  virtual void health(const protocol::Address &To, const std::string &Process,
                      std::function<void(OwnerHealth)> Done) = 0;
};

/// Failure detector for the owner. Keeps one probe in flight to it: when the
/// owner is killed its connections close, which is noticed long before its
/// lease expires.
class OwnerWatch {
public:
  OwnerWatch(Executor &Clock, OwnerCalls &Peers, Recorder &Log,
             std::function<void()> Suspected)
      : Clock(Clock), Peers(Peers), Log(Log), Suspected(std::move(Suspected)) {}

  /// Watches \p Process, which is reached at \p At, in place of any other.
  void follow(const std::string &Process, const protocol::Address &At);
  void stop();

  /// `Unknown` if \p Process is not the one that is watched.
  OwnerHealth health(const std::string &Process) const;

private:
  void ask();
  void onAnswer(const std::optional<std::string> &Answering);

  Executor &Clock;
  OwnerCalls &Peers;
  Recorder &Log;
  const std::function<void()> Suspected;
  std::string Watched; ///< Id of the watched process; empty: none.
  protocol::Address Address;
  OwnerHealth State = OwnerHealth::Unknown;
  /// Increases with each change of the watched process, so that answers to
  /// earlier probes are discarded.
  uint64_t Round = 0;
  Lifetime Alive;
};

} // namespace teaselwalk::cell
