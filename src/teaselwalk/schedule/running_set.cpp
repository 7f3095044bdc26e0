#include "teaselwalk/schedule/running_set.hpp"

#include <algorithm>

namespace teaselwalk::schedule {

RunningSet::Slot RunningSet::insert(RunningRecord Value) {
  if (FreeSlots.empty()) {
    FreeSlots.push_back(static_cast<Slot>(Records.size()));
    Records.emplace_back();
  }
  Slot At = FreeSlots.back();
  FreeSlots.pop_back();
  Value.Order = Next++;
  Lookup.emplace(Value.Task, At);
  ByOrder.emplace(Value.Order, At);
  if (!Value.Job.empty())
    Jobs[Value.Job].insert(Value.Order);
  if (Value.Endpoint >= Endpoints.size())
    Endpoints.resize(Value.Endpoint + 1);
  Endpoints[Value.Endpoint].push_back(At);
  if (Value.Team >= Teams.size())
    Teams.resize(Value.Team + 1);
  Teams[Value.Team].emplace(Value.Order, At);
  Records[At] = std::move(Value);
  return At;
}

RunningRecord RunningSet::take(Slot At) {
  RunningRecord Value = std::move(Records[At]);
  Records[At] = RunningRecord();
  FreeSlots.push_back(At);
  Lookup.erase(Value.Task);
  ByOrder.erase(Value.Order);
  auto Job = Jobs.find(Value.Job);
  if (Job != Jobs.end()) {
    Job->second.erase(Value.Order);
    if (Job->second.empty())
      Jobs.erase(Job);
  }
  std::vector<Slot> &Here = Endpoints[Value.Endpoint];
  Here.erase(std::find(Here.begin(), Here.end(), At));
  Teams[Value.Team].erase({Value.Order, At});
  return Value;
}

std::optional<RunningSet::Slot> RunningSet::find(const TaskId &Task) const {
  auto Found = Lookup.find(Task);
  if (Found == Lookup.end())
    return std::nullopt;
  return Found->second;
}

const std::vector<RunningSet::Slot> &
RunningSet::on(EndpointTable::Index Endpoint) const {
  static const std::vector<Slot> Empty;
  return Endpoint < Endpoints.size() ? Endpoints[Endpoint] : Empty;
}

const std::set<std::pair<uint64_t, RunningSet::Slot>> &
RunningSet::of(TeamTable::Index Team) const {
  static const std::set<std::pair<uint64_t, Slot>> Empty;
  return Team < Teams.size() ? Teams[Team] : Empty;
}

std::vector<TaskId> RunningSet::tasksOf(const JobId &Job) const {
  std::vector<TaskId> Result;
  auto Found = Jobs.find(Job);
  if (Found != Jobs.end())
    for (uint64_t Order : Found->second)
      Result.push_back(Records[ByOrder.at(Order)].Task);
  return Result;
}

} // namespace teaselwalk::schedule
