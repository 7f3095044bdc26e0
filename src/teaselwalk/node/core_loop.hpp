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

/// What is queued for the loop is served lane by lane, so that neither lane
/// waits for the other's backlog.
enum class Lane {
  /// Work that keeps the process in the cluster and the ownership alive:
  /// answers of the store, probes, their timers.
  Control,
  /// Everything else, such as requests and answers of endpoints.
  Bulk,
};

/// Event loop of the thread that `cell::SchedulerCore` runs on. Runs its timers
/// and the work that other threads post, one item at a time. Each round serves
/// a limited number of timers and items of each lane, the control lane first.
class CoreLoop : public cell::Executor {
public:
  TimePoint now() const override;
  int64_t wallMillis() const override;

  /// Adds a timer of the bulk lane. Not thread-safe: call it on the loop's own
  /// thread only.
  void after(Duration Delay, std::function<void()> Work) override;

  /// The same clock for timers of the control lane. Not thread-safe either.
  cell::Executor &control() { return ControlTimers; }

  /// Queues work that must not be lost, such as the answer to a call. Blocks
  /// while the ring of its lane is full. Returns false once the loop is
  /// stopped. Thread-safe.
  bool post(std::function<void()> Work, Lane To = Lane::Bulk);

  /// Queues new work, such as a request. Does not block: returns false if only
  /// the slots of the lane that are reserved for answers are free, or if the
  /// loop is stopped. Thread-safe.
  bool tryPost(std::function<void()> Work, Lane To = Lane::Bulk);

  /// The load since the last call. Not thread-safe, like `after()`.
  CoreLoad takeLoad() { return std::exchange(Load, {}); }

  /// Items that are queued now. Thread-safe.
  size_t queueLength() const { return Control.Ring.size() + Bulk.Ring.size(); }

  /// How long the loop has worked on its current item or timer; 0 while it
  /// waits for the next one. Thread-safe.
  Duration stalledFor() const;

  /// Runs until `stop()`. Work that is still queued then is dropped.
  void run();
  void stop();

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

  /// Work of one lane.
  struct Queue {
    Queue(size_t Capacity, size_t PerRound)
        : Ring(Capacity), ReservedForAnswers(Capacity / 2), PerRound(PerRound) {
    }

    runtime::BoundedRing<Item> Ring;
    std::priority_queue<Timer> Timers;
    /// Slots of the ring that `tryPost` leaves free for `post`.
    const size_t ReservedForAnswers;
    /// Timers, and likewise items, that run in one round at most.
    const size_t PerRound;
  };

  class ControlExecutor : public cell::Executor {
  public:
    explicit ControlExecutor(CoreLoop &Loop) : Loop(Loop) {}
    TimePoint now() const override { return Loop.now(); }
    int64_t wallMillis() const override { return Loop.wallMillis(); }
    void after(Duration Delay, std::function<void()> Work) override {
      Loop.addTimer(Loop.Control, Delay, std::move(Work));
    }

  private:
    CoreLoop &Loop;
  };

  static constexpr size_t ControlCapacity = 4096;
  static constexpr size_t BulkCapacity = 16384;
  static constexpr size_t ControlPerRound = 64;
  static constexpr size_t BulkPerRound = 16;

  Queue &queueOf(Lane Each) { return Each == Lane::Control ? Control : Bulk; }
  void addTimer(Queue &To, Duration Delay, std::function<void()> Work);
  /// Runs the share of one round. Returns false if there was nothing to run.
  bool serve(Queue &From);
  /// Waits for an item, or until the next timer is due.
  void wait();
  /// Runs \p Work and logs an exception that leaves it.
  void invoke(const std::function<void()> &Work);
  void runItem(const Item &Next);

  Queue Control{ControlCapacity, ControlPerRound};
  Queue Bulk{BulkCapacity, BulkPerRound};
  ControlExecutor ControlTimers{*this};
  uint64_t NextSequence = 0;
  CoreLoad Load;
  /// When the current item or timer began, in ms on the clock of `now()`; 0:
  /// none runs.
  std::atomic<int64_t> ItemStartedMs{0};
};

} // namespace teaselwalk::node
