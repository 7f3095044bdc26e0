#include "teaselwalk/cell/lease_horizon.hpp"

#include "owner_limits.hpp"

namespace teaselwalk::cell {

void LeaseHorizon::misdirect(TimePoint Now) {
  bool HasExtended = Extended != TimePoint();
  MisdirectedUntil = HasExtended ? std::max(Now, Extended + MaxCallDelay) : Now;
  IsFenced = false;
}

void LeaseHorizon::fence(TimePoint Now) {
  if (!IsFenced)
    MisdirectedUntil = Now;
  IsFenced = true;
}

TimePoint LeaseHorizon::end(const LeaseLengths &Lengths) const {
  if (MisdirectedUntil == TimePoint())
    return usualEnd(Lengths);
  return std::max(usualEnd(Lengths), MisdirectedUntil + Lengths.Longest);
}

bool LeaseHorizon::isUsual(const LeaseLengths &Lengths, TimePoint Now) const {
  return MisdirectedUntil == TimePoint() ||
         (IsFenced && MisdirectedUntil + Lengths.Longest <= Now);
}

TimePoint LeaseHorizon::endElsewhere(const LeaseLengths &Lengths) const {
  return Extended + MaxCallDelay + Lengths.Longest;
}

} // namespace teaselwalk::cell
