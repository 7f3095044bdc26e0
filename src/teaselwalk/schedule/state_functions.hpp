#pragma once

#include "teaselwalk/schedule/scheduler_state.hpp"

#include <vector>

/// Functions on the scheduler's state that several files of this module use.
namespace teaselwalk::schedule {

/// Remove a unit from the queue, with its hold.
Unit dropUnit(SchedulerState &State, UnitId Id);

/// Count a task as running and reserve its room.
void enterRunning(SchedulerState &State, RunningRecord Record);
/// Release the room of a running task.
RunningRecord leaveRunning(SchedulerState &State, RunningSet::Slot At);

/// Start \p Id with one endpoint per task. The unit leaves the queue.
/// \p Backfill marks work inside the room of the reservation.
void startUnit(SchedulerState &State, UnitId Id,
               const std::vector<EndpointTable::Index> &Where, bool Backfill,
               TimePoint Now, std::vector<Placement> &Out);

/// Bring shares up to date with the endpoints' capacity.
void refreshShares(SchedulerState &State);

/// Forget sizes that may fit again because room has appeared.
void refreshFailedSizes(SchedulerState &State);
bool isKnownNotToFit(const SchedulerState &State, const Resources &Need);
void noteNotFitting(SchedulerState &State, const Resources &Need);

bool decideFair(SchedulerState &State, TimePoint Now,
                std::vector<Placement> &Out);
bool decideFirstFitFcfs(SchedulerState &State, TimePoint Now,
                        std::vector<Placement> &Out);

// Holds.
void addHold(SchedulerState &State, Hold Value);
void removeHold(SchedulerState &State, UnitId Unit);
/// Give the one reservation to the oldest gang or aged unit that could have
/// room, if it is free.
void updateReservation(SchedulerState &State, TimePoint Now);
/// The oldest single task of a team, other than urgent, that has no place kept
/// and is within the allowance; null if there is none.
const Unit *oldestSingle(const SchedulerState &State, TeamTable::Index Team);
/// Keep a place for one task of each team that is below its share, since
/// smaller tasks of other teams would fill every hole first.
void updateShareHolds(SchedulerState &State, TimePoint Now);
/// The endpoints of the unit's hold if all places have room now, else empty.
std::vector<EndpointTable::Index> satisfiedPlaces(SchedulerState &State,
                                                  UnitId Unit);
/// The largest room in each component that backfill finds on a place of the
/// reservation; zero without a reservation.
Resources backfillRoom(const SchedulerState &State);
/// Whether work that runs for \p RunTime ends before the reservation starts.
bool isInTimeForBackfill(const SchedulerState &State, Duration RunTime,
                         TimePoint Now);
/// An endpoint where \p Value may run inside room held for others, since it
/// ends before the room is needed.
std::optional<EndpointTable::Index>
chooseBackfill(const SchedulerState &State, const Unit &Value, TimePoint Now);
/// Drop all holds on an endpoint that closes.
void dropHoldsOn(SchedulerState &State, EndpointTable::Index Endpoint);

std::vector<ReclaimStep> reclaimSteps(SchedulerState &State, TimePoint Now);

} // namespace teaselwalk::schedule
