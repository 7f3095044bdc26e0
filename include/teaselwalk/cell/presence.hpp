#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <memory>
#include <optional>
#include <string>

namespace teaselwalk::cell {

/// A process of the system as the others see it.
struct PresenceRecord {
  protocol::Address Address; ///< Of its interface for other processes.
  double Strength = 0;       ///< Processor cores that it may use.

  std::string encode() const;
  /// Throws `Error` for anything that `encode` did not write.
  static PresenceRecord decode(const std::string &Text);
};

/// The record in \p Item; nothing, with a log line, if it cannot be read.
std::optional<PresenceRecord> readPresence(const StoreItem &Item,
                                           Recorder &Log);

/// Keeps a key of this process in the store, under a lease, so that the others
/// find it.
class Presence {
public:
  Presence(Executor &Clock, Store &Target, Recorder &Log, std::string Key,
           std::string Value)
      : Clock(Clock), Target(Target), Log(Log), Key(std::move(Key)),
        Value(std::move(Value)) {}

  void start() { grant(); }

  /// When the store last took a call of this process. Its renewals are the
  /// most frequent ones.
  TimePoint takenAt() const { return TakenAt; }

  /// Removes the key.
  void stop();

private:
  void grant();
  void write(int64_t NewLease);
  void renew();
  void later(Duration Delay, void (Presence::*Step)());

  Executor &Clock;
  Store &Target;
  Recorder &Log;
  const std::string Key;
  const std::string Value;
  int64_t Lease = 0;
  bool Stopped = false;
  TimePoint TakenAt;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
