#include "teaselwalk/cell/room_claims.hpp"

namespace teaselwalk::cell {

void RoomClaims::set(const StepKey &Step, Rows Claims) {
  remove(Step);
  for (const auto &[Endpoint, Room] : Claims)
    Total[Endpoint] += Room;
  ByStep[Step] = std::move(Claims);
}

RoomClaims::Rows RoomClaims::remove(const StepKey &Step) {
  auto Found = ByStep.find(Step);
  if (Found == ByStep.end())
    return {};
  for (const auto &[Endpoint, Room] : Found->second) {
    auto Sum = Total.find(Endpoint);
    Sum->second -= Room;
    if (Sum->second == Resources())
      Total.erase(Sum);
  }
  Rows Removed = std::move(Found->second);
  ByStep.erase(Found);
  return Removed;
}

Resources RoomClaims::claimed(const EndpointId &Endpoint) const {
  auto Found = Total.find(Endpoint);
  return Found == Total.end() ? Resources() : Found->second;
}

} // namespace teaselwalk::cell
