#include "teaselwalk/runtime/hybrid_clock.hpp"

#include <algorithm>

namespace teaselwalk::runtime {

HybridTime HybridClock::tick(int64_t WallMs) {
  if (WallMs > Last.WallMs)
    Last = {WallMs, 0};
  else if (Last.Logical == UINT32_MAX)
    Last = {Last.WallMs + 1, 0};
  else
    ++Last.Logical;
  return Last;
}

bool HybridClock::observe(HybridTime Remote, int64_t WallMs) {
  if (Remote.WallMs > WallMs && Remote.WallMs - WallMs > MaxAheadMs)
    return false;
  Last = std::max(Last, Remote);
  return true;
}

} // namespace teaselwalk::runtime
