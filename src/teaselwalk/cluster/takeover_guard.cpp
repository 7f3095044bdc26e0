#include "teaselwalk/cluster/takeover_guard.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

void TakeoverGuard::startTakeover(const std::vector<EndpointId> &List,
                                  const std::vector<ProcessId> &Former) {
  Endpoints.clear();
  for (const EndpointId &Endpoint : List)
    Endpoints[Endpoint] = TaskKnowledge::Unknown;
  FormerOwners.clear();
  for (const ProcessId &Process : Former)
    FormerOwners[Process] = std::nullopt;
}

void TakeoverGuard::addFormerOwner(const ProcessId &Process) {
  FormerOwners.emplace(Process, std::nullopt);
}

void TakeoverGuard::onEndpointReached(const EndpointId &Endpoint) {
  Endpoints[Endpoint] = TaskKnowledge::Reported;
}

void TakeoverGuard::onAddedToList(const EndpointId &Endpoint) {
  // The endpoint may be new, or an earlier, lagging list may have left it out
  // while the former owner still renews tasks there.
  TaskKnowledge &Known =
      Endpoints.emplace(Endpoint, TaskKnowledge::Unknown).first->second;
  if (Known != TaskKnowledge::Reported)
    Known = TaskKnowledge::Unknown;
}

void TakeoverGuard::onRemovedFromList(const EndpointId &Endpoint) {
  Endpoints[Endpoint] = TaskKnowledge::Ended;
}

void TakeoverGuard::onFormerOwnerGone(const ProcessId &Process, TimePoint Now) {
  auto It = FormerOwners.find(Process);
  if (It != FormerOwners.end() && !It->second)
    It->second = Now;
}

void TakeoverGuard::onFormerOwnerBack(const ProcessId &Process) {
  auto It = FormerOwners.find(Process);
  if (It != FormerOwners.end())
    It->second = std::nullopt;
}

bool TakeoverGuard::formerOwnersEnded(TimePoint Now) const {
  return !FormerOwners.empty() &&
         std::all_of(
             FormerOwners.begin(), FormerOwners.end(), [&](const auto &Row) {
               return Row.second && Now >= *Row.second + withDrift(TaskLease);
             });
}

TaskKnowledge TakeoverGuard::knowledge(const EndpointId &Endpoint,
                                       TimePoint Now) const {
  auto It = Endpoints.find(Endpoint);
  TaskKnowledge Known =
      It == Endpoints.end() ? TaskKnowledge::Unknown : It->second;
  bool Ended = Known == TaskKnowledge::Unknown && formerOwnersEnded(Now);
  return Ended ? TaskKnowledge::Ended : Known;
}

std::vector<EndpointId> TakeoverGuard::unknownEndpoints(TimePoint Now) const {
  std::vector<EndpointId> Result;
  if (formerOwnersEnded(Now))
    return Result;
  for (const auto &[Endpoint, Knowledge] : Endpoints)
    if (Knowledge == TaskKnowledge::Unknown)
      Result.push_back(Endpoint);
  return Result;
}

} // namespace teaselwalk::cluster
