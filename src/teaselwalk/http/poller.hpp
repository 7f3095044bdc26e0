#pragma once

#include <array>
#include <cstdint>
#include <utility>

#include <sys/epoll.h>

namespace teaselwalk::http {

/// Owns one file descriptor.
class Descriptor {
public:
  Descriptor() = default;
  explicit Descriptor(int Number) : Number(Number) {}
  Descriptor(Descriptor &&Other) noexcept
      : Number(std::exchange(Other.Number, -1)) {}
  Descriptor &operator=(Descriptor &&Other) noexcept {
    std::swap(Number, Other.Number);
    return *this;
  }
  ~Descriptor() { reset(); }

  void reset();
  int number() const { return Number; }
  bool isOpen() const { return Number >= 0; }

private:
  int Number = -1;
};

/// Waits for events of many sockets, edge-triggered: each change is reported
/// once.
class Poller {
public:
  struct Event {
    uint64_t Tag = 0;
    bool Writable = false;
    bool Readable = false; ///< Also if the peer has closed.
    bool Closed = false;   ///< The peer will send nothing further.
  };

  /// Throws `Error` if the system refuses a descriptor.
  Poller();

  /// Reports events of \p Socket under \p Tag, until it is closed. Returns
  /// false if the system refuses.
  bool add(const Descriptor &Socket, uint64_t Tag);

  /// Waits up to \p TimeoutMs (-1: without limit) and returns the number of
  /// events.
  size_t wait(int TimeoutMs);
  Event event(size_t Index) const;

  /// Thread-safe. Ends the present or the next wait.
  void wake() const;

private:
  static constexpr size_t MaxEvents = 128;
  /// Tag of the descriptor behind `wake()`.
  static constexpr uint64_t WakeTag = UINT64_MAX;

  Descriptor Epoll;
  Descriptor WakeUp;
  std::array<epoll_event, MaxEvents> Events{};
};

} // namespace teaselwalk::http
