#pragma once

#include <cstdint>

namespace teaselwalk::runtime {

/// Value of a hybrid logical clock: wall time in ms, and a counter for events
/// that the wall time does not order.
struct HybridTime {
  int64_t WallMs = 0;
  uint32_t Logical = 0;

  friend bool operator==(const HybridTime &A, const HybridTime &B) {
    return A.WallMs == B.WallMs && A.Logical == B.Logical;
  }
  friend bool operator<(const HybridTime &A, const HybridTime &B) {
    return A.WallMs != B.WallMs ? A.WallMs < B.WallMs : A.Logical < B.Logical;
  }
};

/// Hybrid logical clock: every event has a higher value than all events that
/// it can depend on, in this process and in those whose values it observed.
/// Not thread-safe. The wall time is a parameter.
class HybridClock {
public:
  /// The value of the next event of this process.
  HybridTime tick(int64_t WallMs);

  /// Takes note of a value received with a message. Returns false and ignores
  /// values more than `MaxAheadMs` ahead of the wall clock, so that one wrong
  /// clock does not move the time of the fleet.
  bool observe(HybridTime Remote, int64_t WallMs);

  static constexpr int64_t MaxAheadMs = 3600000;

private:
  HybridTime Last;
};

} // namespace teaselwalk::runtime
