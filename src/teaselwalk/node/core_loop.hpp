#pragma once

#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/runtime/bounded_ring.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace teaselwalk::node {

/// How far a `CoreLoop` was behind in an interval.
struct CoreLoad {
  int64_t Items = 0; ///< Posted items and timers that ran.
  /// Longest time from the posting of an item to its run.
  Duration MaxQueueTime{0};
  Duration MaxTimerDelay{0}; ///< Longest time that a timer ran late.
};

/// Event loop of the thread that `cell::SchedulerCore` runs on. Runs its timers
/// and the work that other threads post, one item at a time.
class CoreLoop : public cell::Executor {
public:
  TimePoint now() const override;
  int64_t wallMillis() const override;

  /// Not thread-safe: call it on the loop's own thread only.
  void after(Duration Delay, std::function<void()> Work) override;

  /// Queues work that must not be lost, such as the answer to a call. Blocks
  /// while the ring is full. Returns false once the loop is stopped.
  /// Thread-safe.
  bool post(std::function<void()> Work);

  /// Queues new work, such as a request. Does not block: returns false if only
  /// the slots reserved for answers are free, or if the loop is stopped.
  /// Thread-safe.
  bool tryPost(std::function<void()> Work);

  /// The load since the last call. Not thread-safe, like `after()`.
  CoreLoad takeLoad() { return std::exchange(Load, {}); }

  /// Items that are queued now. Thread-safe.
  size_t queueLength() const { return Ring.size(); }

  /// How long the loop has worked on its current item or timer; 0 while it
  /// waits for the next one. Thread-safe.
  Duration stalledFor() const;

  /// Runs until `stop()`. Work that is still queued then is dropped.
  void run();
  void stop() { Ring.close(); }

private:
  struct Timer {
    TimePoint At;
    uint64_t Sequence; ///< Orders timers that are due at the same time.
    std::function<void()> Work;
    /// The timer that is due first is the largest, hence on top of the queue.
    bool operator<(const Timer &Other) const {
      return At != Other.At ? At > Other.At : Sequence > Other.Sequence;
    }
  };

  struct Item {
    std::function<void()> Work;
    TimePoint PostedAt;
  };

  static constexpr size_t RingCapacity = 16384;
  /// Slots of the ring that `tryPost` leaves free for `post`.
  static constexpr size_t ReservedForAnswers = 8192;

  /// Runs \p Work and logs an exception that leaves it.
  void invoke(const std::function<void()> &Work);
  void runItem(const Item &Next);
  void runTimers();

  runtime::BoundedRing<Item> Ring{RingCapacity};
  std::priority_queue<Timer> Timers;
  uint64_t NextSequence = 0;
  CoreLoad Load;
  /// When the current item or timer began, in ms on the clock of `now()`; 0:
  /// none runs.
  std::atomic<int64_t> ItemStartedMs{0};
};

} // namespace teaselwalk::node
