#pragma once

#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/runtime/bounded_ring.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace teaselwalk::node {

/// The thread of the decisions: runs work from the other threads and timers.
class CoreLoop : public cell::Executor {
public:
  TimePoint now() const override;
  int64_t wallMillis() const override;

  /// Only on the loop's own thread.
  void after(Duration Delay, std::function<void()> Work) override;

  /// Queues the answer to a call. Waits while the ring is full: an answer must
  /// not be lost. False once the loop is stopped.
  bool deliver(std::function<void()> Work);

  /// Queues new work. False if there is no room.
  bool offer(std::function<void()> Work);

  void run();
  void stop() { Ring.close(); }

private:
  struct Timer {
    TimePoint At;
    uint64_t Number;
    std::function<void()> Work;
    bool operator<(const Timer &Other) const {
      return At != Other.At ? At > Other.At : Number > Other.Number;
    }
  };

  static constexpr size_t RingCapacity = 16384;
  /// Slots that only answers may use.
  static constexpr size_t ReservedForAnswers = 8192;

  void perform(const std::function<void()> &Work);
  void runTimers();

  runtime::BoundedRing<std::function<void()>> Ring{RingCapacity};
  std::priority_queue<Timer> Timers;
  uint64_t NextNumber = 0;
};

} // namespace teaselwalk::node
