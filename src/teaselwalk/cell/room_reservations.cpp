#include "teaselwalk/cell/room_reservations.hpp"

#include <iterator>
#include <numeric>

namespace teaselwalk::cell {
namespace {

Resources times(const Resources &Need, int32_t Tasks) {
  Resources Result;
  for (int64_t Resources::*Field : ResourceFields)
    Result.*Field = Need.*Field * Tasks;
  return Result;
}

} // namespace

void RoomReservations::add(const EndpointId &Endpoint, const Resources &Need,
                           int32_t Tasks) {
  Resources &Sum = Total[Endpoint];
  Sum += times(Need, Tasks);
  if (Sum == Resources())
    Total.erase(Endpoint);
}

void RoomReservations::set(const StepKey &Step, const Resources &Need,
                           const Rows &Places, TimePoint Until) {
  remove(Step);
  if (Places.empty())
    return;
  Reservation &Next = ByStep[Step];
  Next.Need = Need;
  Next.Until = Until;
  for (const auto &[Endpoint, Tasks] : Places) {
    Next.Tasks[Endpoint] += Tasks;
    add(Endpoint, Need, Tasks);
  }
}

std::vector<EndpointId> RoomReservations::remove(const StepKey &Step) {
  std::vector<EndpointId> Freed;
  auto Found = ByStep.find(Step);
  if (Found == ByStep.end())
    return Freed;
  for (const auto &[Endpoint, Tasks] : Found->second.Tasks) {
    add(Endpoint, Found->second.Need, -Tasks);
    Freed.push_back(Endpoint);
  }
  ByStep.erase(Found);
  return Freed;
}

std::vector<EndpointId> RoomReservations::onPlaced(const StepKey &Step,
                                                   const EndpointId &Endpoint,
                                                   int32_t Waiting) {
  std::vector<EndpointId> Freed;
  auto Found = ByStep.find(Step);
  if (Found == ByStep.end())
    return Freed;
  Reservation &Of = Found->second;
  auto Free = [&](std::map<EndpointId, int32_t>::iterator Row) {
    add(Row->first, Of.Need, -1);
    Freed.push_back(Row->first);
    if (--Row->second == 0)
      Of.Tasks.erase(Row);
  };
  auto Used = Of.Tasks.find(Endpoint);
  if (Used != Of.Tasks.end())
    Free(Used);
  for (int32_t Excess = tasksOf(Step) - Waiting; Excess > 0; --Excess)
    Free(std::prev(Of.Tasks.end()));
  if (Of.Tasks.empty())
    ByStep.erase(Found);
  return Freed;
}

std::vector<EndpointId> RoomReservations::removeEnded(TimePoint Now) {
  std::vector<StepKey> Ended;
  for (const auto &[Step, Of] : ByStep)
    if (Of.Until <= Now)
      Ended.push_back(Step);
  std::vector<EndpointId> Freed;
  for (const StepKey &Step : Ended) {
    std::vector<EndpointId> OfStep = remove(Step);
    Freed.insert(Freed.end(), OfStep.begin(), OfStep.end());
  }
  return Freed;
}

int32_t RoomReservations::tasksOf(const StepKey &Step) const {
  auto Found = ByStep.find(Step);
  if (Found == ByStep.end())
    return 0;
  const auto &Tasks = Found->second.Tasks;
  return std::accumulate(
      Tasks.begin(), Tasks.end(), 0,
      [](int32_t Sum, const auto &Row) { return Sum + Row.second; });
}

Resources RoomReservations::keptFrom(const StepKey &Step,
                                     const EndpointId &Endpoint) const {
  auto Sum = Total.find(Endpoint);
  if (Sum == Total.end())
    return {};
  auto Own = ByStep.find(Step);
  if (Own == ByStep.end())
    return Sum->second;
  auto Tasks = Own->second.Tasks.find(Endpoint);
  return Tasks == Own->second.Tasks.end()
             ? Sum->second
             : Sum->second - times(Own->second.Need, Tasks->second);
}

} // namespace teaselwalk::cell
