#include "teaselwalk/schedule/running_set.hpp"

#include <algorithm>

namespace teaselwalk::schedule {

RunningSet::Index RunningSet::insert(RunningRecord Value) {
  if (FreeIndices.empty()) {
    FreeIndices.push_back(static_cast<Index>(Records.size()));
    Records.emplace_back();
  }
  Index At = FreeIndices.back();
  FreeIndices.pop_back();
  Value.StartNumber = NextStartNumber++;
  Lookup.emplace(Value.Task, At);
  ByStartNumber.emplace(Value.StartNumber, At);
  if (!Value.Job.empty())
    Jobs[Value.Job].insert(Value.StartNumber);
  if (Value.Endpoint >= Endpoints.size())
    Endpoints.resize(Value.Endpoint + 1);
  Endpoints[Value.Endpoint].push_back(At);
  if (Value.Team >= Teams.size())
    Teams.resize(Value.Team + 1);
  Teams[Value.Team].emplace(Value.StartNumber, At);
  Records[At] = std::move(Value);
  return At;
}

RunningRecord RunningSet::take(Index At) {
  RunningRecord Value = std::move(Records[At]);
  Records[At] = RunningRecord();
  FreeIndices.push_back(At);
  Lookup.erase(Value.Task);
  ByStartNumber.erase(Value.StartNumber);
  auto Job = Jobs.find(Value.Job);
  if (Job != Jobs.end()) {
    Job->second.erase(Value.StartNumber);
    if (Job->second.empty())
      Jobs.erase(Job);
  }
  std::vector<Index> &Here = Endpoints[Value.Endpoint];
  Here.erase(std::find(Here.begin(), Here.end(), At));
  Teams[Value.Team].erase({Value.StartNumber, At});
  return Value;
}

std::optional<RunningSet::Index> RunningSet::find(const TaskId &Task) const {
  auto Found = Lookup.find(Task);
  if (Found == Lookup.end())
    return std::nullopt;
  return Found->second;
}

const std::vector<RunningSet::Index> &
RunningSet::onEndpoint(EndpointTable::Index Endpoint) const {
  static const std::vector<Index> Empty;
  return Endpoint < Endpoints.size() ? Endpoints[Endpoint] : Empty;
}

const std::set<std::pair<uint64_t, RunningSet::Index>> &
RunningSet::ofTeam(TeamTable::Index Team) const {
  static const std::set<std::pair<uint64_t, Index>> Empty;
  return Team < Teams.size() ? Teams[Team] : Empty;
}

std::vector<TaskId> RunningSet::ofJob(const JobId &Job) const {
  std::vector<TaskId> Result;
  auto Found = Jobs.find(Job);
  if (Found != Jobs.end())
    for (uint64_t StartNumber : Found->second)
      Result.push_back(Records[ByStartNumber.at(StartNumber)].Task);
  return Result;
}

} // namespace teaselwalk::schedule
