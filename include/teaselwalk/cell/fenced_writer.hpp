#pragma once

#include "teaselwalk/cell/adaptive_timeout.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <memory>
#include <string>

namespace teaselwalk::cell {

/// Fencing tokens are computed from epochs up to this one without overflow.
constexpr int64_t MaxEpoch = 1000000000;
/// Epoch of the first owner.
constexpr int64_t FirstEpoch = 1;

/// Value of the epoch key: the owner and the number of its latest write.
struct EpochRecord {
  std::string Process;  ///< Id of the owning process.
  int64_t Epoch = 0;    ///< Rises with each new owner.
  int64_t Sequence = 0; ///< Rises with each write of one owner.

  std::string encode() const;
  /// Throws `Error` for anything that `encode` did not write.
  static EpochRecord decode(const std::string &Text);
};

/// How a write of an owner has ended.
enum class WriteOutcome {
  Written,
  OwnershipLost, ///< The epoch key names another owner; nothing was written.
  /// The store takes this write for invalid, so it never will succeed. Nothing
  /// was written, and other writes may follow.
  Rejected,
};

/// Sends the writes of one owner to the store. Each write also sets the epoch
/// key, on condition that its revision is still that of the write before. So
/// writes take effect in order or not at all, even if an answer is lost or the
/// store carries a write out late.
class FencedWriter {
public:
  /// Limit of the entries of a change, which leaves room for the condition on
  /// the epoch key and for its new value.
  static constexpr size_t Capacity = MaxTransactionEntries - 2;

  FencedWriter(Executor &Clock, Store &Target, Recorder &Log, EpochRecord Held,
               int64_t Revision);

  bool isBusy() const { return IsBusy; }
  /// When the latest write began.
  TimePoint startedAt() const { return StartedAt; }
  /// What identifies the latest write in the log, and how large it is.
  EventFields describe() const;

  /// Writes \p Change, which must have no conditions, and repeats it until its
  /// outcome is known. Must not be called while `isBusy`.
  void commit(StoreTransaction Change, std::function<void(WriteOutcome)> Done);

  /// When the latest write that took effect was sent; the ownership had not
  /// changed by then.
  TimePoint confirmedAt() const { return ConfirmedAt; }

private:
  void attempt();
  void onResult(const CommitResult &Result);
  void retry(StoreOutcome Outcome);
  void finish(WriteOutcome Outcome);

  Executor &Clock;
  Store &Target;
  Recorder &Log;
  EpochRecord Held;
  int64_t Revision;
  bool IsBusy = false;
  TimePoint StartedAt;
  AdaptiveTimeout Timer;
  int Attempts = 0; ///< Number of attempts at the current write.
  TimePoint SentAt; ///< When the latest attempt was sent.
  TimePoint ConfirmedAt;
  StoreTransaction Current;
  std::function<void(WriteOutcome)> Done;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
