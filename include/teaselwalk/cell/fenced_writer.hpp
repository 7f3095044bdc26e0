#pragma once

#include "teaselwalk/cell/call_timer.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <memory>
#include <string>

namespace teaselwalk::cell {

/// Who holds the guard key, and the last write made under it.
struct EpochRecord {
  std::string Process;
  int64_t Epoch = 0;    ///< Rises with each new owner.
  int64_t Sequence = 0; ///< Rises with each write of one owner.

  std::string encode() const;
  /// Throws `Error` for anything that `encode` did not write.
  static EpochRecord decode(const std::string &Text);
};

/// The writes of one owner. Each is conditional on the guard's revision that
/// the one before left, so writes take effect in order or not at all, also
/// those whose answer was lost and that the store carries out later.
class FencedWriter {
public:
  /// Entries that one write can hold beside the guard's condition and value.
  static constexpr size_t Capacity = MaxTransactionEntries - 2;

  FencedWriter(Executor &Clock, Store &Target, Recorder &Log, EpochRecord Held,
               int64_t Revision);

  bool isBusy() const { return Busy; }

  /// Writes \p Change, which has no conditions, and repeats it until the store
  /// has answered. \p Done is called with true once it took effect, with false
  /// if another process holds the guard. One at a time.
  void commit(StoreTransaction Change, std::function<void(bool)> Done);

private:
  void attempt();
  void onResult(const CommitResult &Result);
  void retry(StoreOutcome Outcome);
  void finish(bool Written);

  Executor &Clock;
  Store &Target;
  Recorder &Log;
  EpochRecord Held;
  int64_t Revision;
  bool Busy = false;
  TimePoint StartedAt;
  CallTimer Timer;
  int Attempts = 0; ///< Of the current write.
  TimePoint SentAt; ///< The latest attempt.
  StoreTransaction Current;
  std::function<void(bool)> Done;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
