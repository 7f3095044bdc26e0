#pragma once

#include "teaselwalk/schedule/scheduler_state.hpp"

#include <vector>

/// Which running tasks have to end so that a waiting unit can start.
namespace teaselwalk::schedule {

/// What a unit may take from others.
struct Claim {
  const Unit *For = nullptr;
  ReclaimReason Reason = ReclaimReason::Share;
  double ShareAfter = 0; ///< Donors keep at least this share.
  bool OwnTeamOnly = false;
};

/// Where the unit will run, and the tasks that end for it.
struct Plan {
  std::vector<HeldPlace> Places;
  std::vector<RunningSet::Slot> Victims;
  std::vector<Resources> Leaving; ///< Per team, with the victims.
};

/// Find places for all tasks of the unit. False if there are none; \p Out is
/// then unspecified. `Out.Leaving` is set by the caller.
bool planRoom(const SchedulerState &State, const Claim &Wish, Plan &Out);

} // namespace teaselwalk::schedule
