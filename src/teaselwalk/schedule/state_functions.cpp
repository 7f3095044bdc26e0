#include "state_functions.hpp"

#include <algorithm>

// Starts and ends of tasks, and the sizes known not to fit.
namespace teaselwalk::schedule {

Unit dropUnit(SchedulerState &State, UnitId Id) {
  removeHold(State, Id);
  Unit Value = State.Queue.take(Id);
  State.Teams.queue(Value.Team, Value.Class, -1,
                    -static_cast<int64_t>(Value.Tasks.size()));
  return Value;
}

void addRunning(SchedulerState &State, RunningRecord Record) {
  State.Endpoints.allocate(Record.Endpoint, Record.Charged);
  State.Teams.charge(Record.Team, Record.Size, Record.Charged, 1);
  State.Running.insert(std::move(Record));
}

RunningRecord removeRunning(SchedulerState &State, RunningSet::Index At) {
  RunningRecord Record = State.Running.take(At);
  // A later run of the same task must not receive the stop meant for this one.
  if (Record.StopAt)
    State.PendingStops.erase({*Record.StopAt, Record.Task});
  State.Endpoints.release(Record.Endpoint, Record.Charged);
  State.Teams.charge(Record.Team, Resources() - Record.Size,
                     Resources() - Record.Charged, -1);
  return Record;
}

void startUnit(SchedulerState &State, UnitId Id,
               const std::vector<EndpointTable::Index> &Where, bool Backfill,
               TimePoint Now, std::vector<Placement> &Out) {
  Unit Value = dropUnit(State, Id);
  for (size_t I = 0; I < Value.Tasks.size(); ++I) {
    RunningRecord Record;
    Record.Task = Value.Tasks[I];
    Record.Job = Value.Spec.Job;
    Record.Team = Value.Team;
    Record.Endpoint = Where[I];
    Record.Class = Value.Class;
    Record.Size = Value.Spec.Size;
    Record.Charged = Value.Spec.Size;
    Record.Start = Now;
    Record.IsBackfill = Backfill;
    if (Value.Spec.RunTime > Duration(0))
      Record.End = Now + Value.Spec.RunTime;
    Out.push_back(
        {Record.Task, Value.Spec.Attempt, State.Endpoints.info(Where[I]).Id});
    addRunning(State, std::move(Record));
  }
}

void refreshShares(SchedulerState &State) {
  if (State.CapacityVersion == State.Endpoints.capacityVersion())
    return;
  State.CapacityVersion = State.Endpoints.capacityVersion();
  State.Teams.setCapacity(State.Endpoints.totalCapacity());
}

void refreshUnplaceable(SchedulerState &State) {
  if (State.Endpoints.roomGained().empty())
    return;
  auto &Sizes = State.Unplaceable.Sizes;
  size_t Before = Sizes.size();
  bool Held = false;
  for (EndpointTable::Index At : State.Endpoints.roomGained()) {
    Resources Room = State.Endpoints.room(At) - State.Endpoints.held(At);
    // Backfill may use the held part as well.
    Held |= State.Endpoints.held(At).Slots > 0;
    Sizes.erase(std::remove_if(
                    Sizes.begin(), Sizes.end(),
                    [&](const Resources &Size) { return covers(Room, Size); }),
                Sizes.end());
  }
  State.Endpoints.clearRoomGained();
  State.BackfillRoom = backfillRoom(State);
  if (Held || Sizes.size() != Before)
    ++State.Unplaceable.Version;
}

bool isKnownUnplaceable(const SchedulerState &State, const Resources &Need) {
  return std::any_of(State.Unplaceable.Sizes.begin(),
                     State.Unplaceable.Sizes.end(),
                     [&](const Resources &Size) { return covers(Need, Size); });
}

void noteUnplaceable(SchedulerState &State, const Resources &Need) {
  auto &Sizes = State.Unplaceable.Sizes;
  Sizes.erase(
      std::remove_if(Sizes.begin(), Sizes.end(),
                     [&](const Resources &Size) { return covers(Size, Need); }),
      Sizes.end());
  Sizes.push_back(Need);
}

} // namespace teaselwalk::schedule
