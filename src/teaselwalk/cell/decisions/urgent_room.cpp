#include "teaselwalk/cell/decisions/urgent_room.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace teaselwalk::cell {
namespace {

/// Arrivals of this time ago count 1/e.
constexpr Duration ArrivalMemory{500};
/// A job that can spare less is not held back, since it has to be advised and
/// placed again afterwards.
constexpr Duration MinHeldSlack{2000};
/// A step is held back no longer, so that a crowd that lasts does not stop all
/// other work.
constexpr Duration LongestHold{6000};

} // namespace

double UrgentArrivals::decay(TimePoint Now) const {
  if (Now <= CountedAt)
    return 1;
  return std::exp(-static_cast<double>((Now - CountedAt).count()) /
                  static_cast<double>(ArrivalMemory.count()));
}

void UrgentArrivals::add(int64_t Tasks, TimePoint Now) {
  Recent = Recent * decay(Now) + static_cast<double>(Tasks);
  CountedAt = std::max(CountedAt, Now);
}

double UrgentArrivals::expected(Duration Time, TimePoint Now) const {
  return Recent * decay(Now) * static_cast<double>(Time.count()) /
         static_cast<double>(ArrivalMemory.count());
}

void UrgentDemand::add(const Resources &Need, int64_t Tasks) {
  for (int64_t Resources::*Field : ResourceFields)
    Sum.*Field += Need.*Field * Tasks;
  Count += Tasks;
}

Resources UrgentDemand::need() const {
  Resources Mean;
  for (int64_t Resources::*Field : ResourceFields)
    Mean.*Field = Count == 0 ? 0 : Sum.*Field / Count;
  return Mean;
}

int64_t placesIn(const Resources &Room, const Resources &Need) {
  int64_t Places = std::numeric_limits<int32_t>::max();
  for (int64_t Resources::*Field : ResourceFields)
    if (Need.*Field > 0)
      Places = std::min(Places, Room.*Field / (Need.*Field));
  return std::max<int64_t>(Places, 0);
}

std::vector<size_t> choosePreemptions(double Places, const Resources &Need,
                                      std::vector<PreemptibleEndpoint> Rooms,
                                      size_t Most) {
  struct Choice {
    const PreemptibleRun *Run;
    size_t Room;
  };
  std::vector<Choice> Order;
  double Missing = Places;
  for (size_t I = 0; I < Rooms.size(); ++I) {
    Missing -= static_cast<double>(placesIn(Rooms[I].Free, Need));
    for (const PreemptibleRun &Run : Rooms[I].Runs)
      Order.push_back({&Run, I});
  }
  std::sort(Order.begin(), Order.end(), [](const Choice &A, const Choice &B) {
    return std::tie(A.Run->Cost, B.Run->Slack, A.Run->Number) <
           std::tie(B.Run->Cost, A.Run->Slack, B.Run->Number);
  });
  std::vector<size_t> Chosen;
  for (const Choice &Next : Order) {
    if (Missing <= 0 || Chosen.size() == Most)
      break;
    Resources &Free = Rooms[Next.Room].Free;
    int64_t Gain = placesIn(Free + Next.Run->Need, Need) - placesIn(Free, Need);
    if (Gain == 0)
      continue;
    Free += Next.Run->Need;
    Missing -= static_cast<double>(Gain);
    Chosen.push_back(Next.Run->Number);
  }
  return Chosen;
}

bool mayHoldBack(Duration Slack, Duration Waited) {
  bool IsLate = Slack.count() < 0;
  return Waited < LongestHold && (IsLate || Slack > MinHeldSlack);
}

} // namespace teaselwalk::cell
