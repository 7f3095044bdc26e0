#pragma once

#include "teaselwalk/schedule/scheduler_state.hpp"

#include <vector>

/// Functions on the scheduler's state that are shared within this module.
namespace teaselwalk::schedule {

/// Removes a unit from the queue, with its hold.
Unit dropUnit(SchedulerState &State, UnitId Id);

/// Counts a task as running and allocates its resources.
void addRunning(SchedulerState &State, RunningRecord Record);
/// Removes a running task and releases its resources.
RunningRecord removeRunning(SchedulerState &State, RunningSet::Index At);

/// Moves a unit from the queue to the running tasks and appends its placements
/// to \p Out. \p Where has one endpoint per task. \p Backfill marks work that
/// uses the room of the reservation.
void startUnit(SchedulerState &State, UnitId Id,
               const std::vector<EndpointTable::Index> &Where, bool Backfill,
               TimePoint Now, std::vector<Placement> &Out);

/// Recomputes the shares of all teams if the endpoints' capacity has changed.
void refreshShares(SchedulerState &State);

/// Drops the unplaceable sizes that fit again on endpoints that have gained
/// room.
void refreshUnplaceable(SchedulerState &State);
bool isKnownUnplaceable(const SchedulerState &State, const Resources &Need);
/// Records that \p Need fits on no endpoint now.
void noteUnplaceable(SchedulerState &State, const Resources &Need);

bool decideFair(SchedulerState &State, TimePoint Now,
                std::vector<Placement> &Out);
bool decideFirstFitFcfs(SchedulerState &State, TimePoint Now,
                        std::vector<Placement> &Out);

void addHold(SchedulerState &State, Hold Value);
void removeHold(SchedulerState &State, UnitId Unit);
/// Drops the reservation if it is late or its unit is above the allowance. If
/// there is none then, gives it to the oldest gang, or to an older single task
/// that has waited for `ReservationWait`.
void updateReservation(SchedulerState &State, TimePoint Now);
/// The next single task of a team, other than urgent, that has no hold and is
/// within the allowance; null if there is none. Classes come in their order,
/// and within a class the oldest shape head comes first.
const Unit *nextSingleTask(const SchedulerState &State, TeamTable::Index Team);
/// Keeps a place for one task of each team that is below its share, because
/// smaller tasks of other teams would otherwise fill every gap first.
void updateShareHolds(SchedulerState &State, TimePoint Now);
/// The endpoints of the unit's hold, one per task, if all of its places have
/// room now; else empty.
std::vector<EndpointTable::Index> endpointsIfComplete(SchedulerState &State,
                                                      UnitId Unit);
/// Maximum, in each component, of the room on the places of the reservation;
/// zero without a reservation.
Resources backfillRoom(const SchedulerState &State);
/// Whether work that starts now and runs for \p RunTime ends before the start
/// of the reservation. False for an unknown run time (zero).
bool isInTimeForBackfill(const SchedulerState &State, Duration RunTime,
                         TimePoint Now);
/// An endpoint where \p Value may use room held for the reservation, because it
/// ends before the reservation starts; nothing if there is none.
std::optional<EndpointTable::Index>
chooseBackfill(const SchedulerState &State, const Unit &Value, TimePoint Now);
/// Drops all holds that have a place on an endpoint that closes.
void dropHoldsOn(SchedulerState &State, EndpointTable::Index Endpoint);

/// Implements `Scheduler::reclaim` for policies that preempt.
std::vector<ReclaimStep> reclaimSteps(SchedulerState &State, TimePoint Now);

} // namespace teaselwalk::schedule
