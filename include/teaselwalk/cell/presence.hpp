#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <memory>
#include <optional>
#include <string>

namespace teaselwalk::cell {

/// What the store shows of an entry process.
struct PresenceRecord {
  protocol::Address Address; ///< Where other processes reach it.
  double Strength = 0;       ///< CPU cores that it may use.

  std::string encode() const;
  /// Reads what `encode` wrote. Throws `Error` for anything else.
  static PresenceRecord decode(const std::string &Text);
};

/// The record in \p Item. If it is malformed, logs that and returns none.
std::optional<PresenceRecord> readPresence(const StoreItem &Item,
                                           Recorder &Log);

/// Registers this process in the store, under a lease, so that the other
/// processes find it.
class Presence {
public:
  Presence(Executor &Clock, Store &Target, Recorder &Log, std::string Key,
           std::string Value)
      : Clock(Clock), Target(Target), Log(Log), Key(std::move(Key)),
        Value(std::move(Value)) {}

  void start() { grant(); }

  /// When the store last carried out a lease call of this registration. These
  /// are the most frequent calls of the process, so this shows whether it
  /// reaches the store.
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
