#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace teaselwalk::runtime {

/// Bounded queue from many producers to one consumer. Producers never wait for
/// the consumer: the mutex is held only to move one element.
///
/// ```cpp
/// BoundedRing<Event> Ring(1024);
/// if (!Ring.tryPush(std::move(E)))
///   refuse();                             // full or closed; E is unchanged
/// while (auto E = Ring.popUntil(Deadline))
///   handle(*E);
/// ```
template <typename T> class BoundedRing {
public:
  using Clock = std::chrono::steady_clock;

  /// Holds at most \p Capacity elements, at least 1.
  explicit BoundedRing(size_t Capacity) : Slots(Capacity == 0 ? 1 : Capacity) {}
  BoundedRing(const BoundedRing &) = delete;
  BoundedRing &operator=(const BoundedRing &) = delete;

  /// Returns false if the ring is full or closed. \p Value is then unchanged.
  bool tryPush(T &&Value) {
    bool Wake = false;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Closed || Count == Slots.size()) {
        ++Refused;
        return false;
      }
      Slots[(First + Count) % Slots.size()].emplace(std::move(Value));
      ++Count;
      Wake = ConsumerWaits;
    }
    if (Wake)
      NotEmpty.notify_one();
    return true;
  }

  bool tryPush(const T &Value) { return tryPush(T(Value)); }

  /// Waits until \p Deadline for an element. Returns nothing at the deadline,
  /// after `wake()`, or when the ring is closed and empty.
  std::optional<T> popUntil(Clock::time_point Deadline) {
    std::unique_lock<std::mutex> Lock(Mutex);
    ConsumerWaits = true;
    NotEmpty.wait_until(Lock, Deadline,
                        [&] { return Count > 0 || Closed || Woken; });
    ConsumerWaits = false;
    Woken = false;
    return take();
  }

  /// Ends the wait of `popUntil` without an element, or the next wait if the
  /// consumer does not wait now.
  void wake() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Woken = true;
    }
    NotEmpty.notify_one();
  }

  /// Waits for an element without a time limit. Returns nothing when the ring
  /// is closed and empty.
  std::optional<T> pop() {
    std::unique_lock<std::mutex> Lock(Mutex);
    ConsumerWaits = true;
    NotEmpty.wait(Lock, [&] { return Count > 0 || Closed; });
    ConsumerWaits = false;
    return take();
  }

  /// Returns nothing when the ring is empty. Does not wait.
  std::optional<T> tryPop() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return take();
  }

  /// Refuses further elements and wakes the consumer. Elements already in the
  /// ring can still be popped.
  void close() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Closed = true;
    }
    NotEmpty.notify_all();
  }

  bool closed() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Closed;
  }

  size_t size() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Count;
  }

  size_t capacity() const { return Slots.size(); }

  /// Number of pushes that found the ring full or closed.
  uint64_t refused() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Refused;
  }

private:
  std::optional<T> take() {
    if (Count == 0)
      return std::nullopt;
    std::optional<T> Value(std::move(Slots[First]));
    Slots[First].reset();
    First = (First + 1) % Slots.size();
    --Count;
    return Value;
  }

  mutable std::mutex Mutex;
  std::condition_variable NotEmpty;
  std::vector<std::optional<T>> Slots;
  size_t First = 0;
  size_t Count = 0;
  uint64_t Refused = 0;
  bool Closed = false;
  bool ConsumerWaits = false;
  bool Woken = false;
};

} // namespace teaselwalk::runtime
