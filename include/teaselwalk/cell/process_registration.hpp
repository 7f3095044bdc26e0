#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <memory>
#include <optional>
#include <string>

namespace teaselwalk::cell {

/// The value of a key under `ProcessPrefix`: address and CPU cores of an entry
/// process.
struct ProcessRecord {
  protocol::Address Address; ///< Where other processes reach it.
  double Cores = 0;          ///< CPU cores that it may use.

  std::string encode() const;
  /// Reads what `encode` wrote. Throws `Error` for anything else.
  static ProcessRecord decode(const std::string &Text);
};

/// The record in \p Item. If it is malformed, logs that and returns none.
std::optional<ProcessRecord> readProcessRecord(const StoreItem &Item,
                                               Recorder &Log);

/// Registers this process in the store, under a lease, so that the other
/// processes find it.
class ProcessRegistration {
public:
  ProcessRegistration(Executor &Clock, Store &Storage, Recorder &Log,
                      std::string Key, std::string Value)
      : Clock(Clock), Storage(Storage), Log(Log), Key(std::move(Key)),
        Value(std::move(Value)) {}

  void start() { requestLease(); }

  /// When the store last carried out a lease call of this registration. These
  /// are the most frequent calls of the process, so this shows whether it
  /// reaches the store.
  TimePoint storeReachedAt() const { return StoreReachedAt; }

  /// Ends the registration; the store removes the key together with its lease.
  void stop();

private:
  void requestLease();
  void writeRecord(int64_t NewLease);
  void renew();
  void schedule(Duration Delay, void (ProcessRegistration::*Method)());

  Executor &Clock;
  Store &Storage;
  Recorder &Log;
  const std::string Key;
  const std::string Value;
  int64_t LeaseId = 0;
  bool IsStopped = false;
  TimePoint StoreReachedAt;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
