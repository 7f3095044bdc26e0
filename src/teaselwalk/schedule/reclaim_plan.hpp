#pragma once

#include "teaselwalk/schedule/scheduler_state.hpp"

#include <vector>

/// Planning of preemptions: which running tasks have to end so that a queued
/// unit can start.
namespace teaselwalk::schedule {

/// A unit that needs room, and from whom it may take it.
struct ReclaimRequest {
  const Unit *Waiting = nullptr;
  ReclaimReason Reason = ReclaimReason::Share;
  double MinDonorShare = 0; ///< Share that a donor team keeps at least.
  bool OwnTeamOnly = false; ///< Victims only from the unit's own team.
};

/// Where the unit will run, and the tasks that are preempted for it.
struct ReclaimPlan {
  std::vector<HeldPlace> Places;
  std::vector<RunningSet::Index> Victims;
  /// By team: the sizes of tasks that are being preempted, victims included.
  std::vector<Resources> Outgoing;
};

/// Finds places for all tasks of the unit. Returns false if there are not
/// enough; \p Out is then unspecified. The caller fills `Out.Outgoing` with the
/// tasks that are already being preempted.
bool planReclaim(const SchedulerState &State, const ReclaimRequest &Request,
                 ReclaimPlan &Out);

} // namespace teaselwalk::schedule
