#pragma once

#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <optional>
#include <string>

namespace teaselwalk::cell {

/// What a process thinks of the owner.
enum class OwnerHealth {
  Unknown, ///< It does not watch this owner.
  Alive,
  Suspected, ///< It gave no answer.
  Dead,      ///< Another process answers at its address.
};

constexpr std::array<EnumName<OwnerHealth>, 4> OwnerHealthNames = {{
    {OwnerHealth::Unknown, "unknown"},
    {OwnerHealth::Alive, "alive"},
    {OwnerHealth::Suspected, "suspected"},
    {OwnerHealth::Dead, "dead"},
}};

/// Calls to another process about the owner.
class OwnerCalls {
public:
  virtual ~OwnerCalls() = default;
  /// The id of the process at \p To, which answers after \p Wait; nothing if
  /// there is no answer.
  virtual void identify(const protocol::Address &To, Duration Wait,
                        std::function<void(std::optional<std::string>)>) = 0;
  /// What the process at \p To thinks of the owner \p Process.
  virtual void health(const protocol::Address &To, const std::string &Process,
                      std::function<void(OwnerHealth)> Done) = 0;
};

/// Failure detector for the owner: keeps one question open at it. A killed
/// process closes its connections, which shows long before its lease ends.
class OwnerWatch {
public:
  OwnerWatch(Executor &Clock, OwnerCalls &Peers, Recorder &Log,
             std::function<void()> Suspected)
      : Clock(Clock), Peers(Peers), Log(Log), Suspected(std::move(Suspected)) {}

  /// Watches \p Process at \p At from now on.
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
  std::string Watched; ///< Empty: none.
  protocol::Address Address;
  OwnerHealth State = OwnerHealth::Unknown;
  uint64_t Round = 0; ///< Of `follow`; answers of earlier ones are dropped.
  Lifetime Alive;
};

} // namespace teaselwalk::cell
