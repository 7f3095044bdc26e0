#pragma once

#include "teaselwalk/base/time.hpp"

#include <algorithm>

namespace teaselwalk::cell {

/// Lengths of leases, with the drift of the clocks.
struct LeaseLengths {
  Duration Usual{0};   ///< What the owner asks for.
  Duration Longest{0}; ///< What endpoints grant at most.
};

/// The latest time at which leases at one endpoint end, on the owner's clock.
///
/// A call names the end of the leases on the clock of one incarnation of the
/// endpoint. Another incarnation, whose clock has nothing to do with that one,
/// may carry it out and grant the longest lease. It refuses such calls once it
/// has seen a fencing token that is higher than theirs.
class LeaseHorizon {
public:
  /// A call that extends leases is sent at \p Sent. May lie ahead, for calls
  /// that a former owner may send.
  void extend(TimePoint Sent) { Extended = std::max(Extended, Sent); }
  /// When the latest of these calls was sent.
  TimePoint extendedAt() const { return Extended; }

  /// Calls so far may be carried out by another incarnation than they were
  /// meant for, from \p Now on by one that has answered.
  void misdirect(TimePoint Now);
  /// The present incarnation refuses these calls from \p Now on.
  void fence(TimePoint Now);

  /// End of the leases of runs that the present incarnation is known to hold.
  TimePoint end(const LeaseLengths &Lengths) const;
  /// The same if no call was misdirected.
  TimePoint usualEnd(const LeaseLengths &Lengths) const {
    return Extended + Lengths.Usual;
  }
  /// False if the present incarnation may hold a longer lease at \p Now than
  /// the owner has asked for.
  bool isUsual(const LeaseLengths &Lengths, TimePoint Now) const;
  /// End of the leases of runs that an incarnation may hold that has never
  /// answered.
  TimePoint endElsewhere(const LeaseLengths &Lengths) const;

private:
  TimePoint Extended;
  /// Until then the present incarnation may carry out calls that were meant
  /// for another one; the default value: there are none.
  TimePoint MisdirectedUntil;
  bool IsFenced = true;
};

} // namespace teaselwalk::cell
