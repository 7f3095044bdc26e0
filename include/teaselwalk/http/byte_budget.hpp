#pragma once

#include <atomic>
#include <cstddef>

namespace teaselwalk::http {

/// Bytes that the connections of one or more servers may hold together.
/// Thread-safe.
class ByteBudget {
public:
  explicit ByteBudget(size_t Limit) : Limit(Limit) {}

  /// Takes \p Bytes; false, and nothing is taken, if too few are left.
  bool take(size_t Bytes) {
    size_t Before = Taken.load();
    while (Bytes <= Limit && Before <= Limit - Bytes)
      if (Taken.compare_exchange_weak(Before, Before + Bytes))
        return true;
    return false;
  }
  void giveBack(size_t Bytes) { Taken -= Bytes; }

  size_t taken() const { return Taken; }
  size_t limit() const { return Limit; }

private:
  const size_t Limit;
  std::atomic<size_t> Taken{0};
};

} // namespace teaselwalk::http
