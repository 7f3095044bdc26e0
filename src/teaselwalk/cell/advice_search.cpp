#include "teaselwalk/cell/advice_search.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace teaselwalk::cell {
namespace {

int64_t tasksThatFit(const Resources &Need, const Resources &Room) {
  int64_t TaskCount = 64;
  for (int64_t Resources::*Field : ResourceFields)
    if (Need.*Field > 0)
      TaskCount = std::min(TaskCount, Room.*Field / (Need.*Field));
  return std::max<int64_t>(TaskCount, 0);
}

/// The largest part of \p Need that \p Room lacks; 0: it fits.
double missingShare(const Resources &Need, const Resources &Room) {
  double Largest = 0;
  for (int64_t Resources::*Field : ResourceFields)
    if (Need.*Field > 0)
      Largest =
          std::max(Largest, static_cast<double>(Need.*Field - Room.*Field) /
                                static_cast<double>(Need.*Field));
  return Largest;
}

} // namespace

AdviceSearchResult AdviceSearch::findAll() const {
  AdviceSearchResult Result;
  for (EndpointTable::Row &Row : Table.rows())
    examine(Row, Result);
  return Result;
}

AdviceSearchResult AdviceSearch::findBest(size_t Enough) const {
  AdviceSearchResult Result;
  for (const auto &[Id, Known] : Advice.Endpoints) {
    auto Found = Known.IsAllowed ? Table.find(Id) : Table.end();
    if (Found != Table.end() && isAllowed(Found->second))
      examine(Table.rows()[Found->second.Row], Result);
  }
  size_t Best = 0;
  Table.visitByRoom(Step.Need.MilliCpu, [&](EndpointTable::Row &Row,
                                            int64_t LeastFreeCpu) {
    if (!fits(Step.Need, Row.Free) || isAllowed(*Row.Endpoint) ||
        !examine(Row, Result))
      return true;
    // A candidate with a penalty, or among the mixed ones, may be worse than
    // one that follows.
    double Limit = static_cast<double>(LeastFreeCpu + EndpointTable::RoomStep);
    Best += Result.Candidates.back().Score < Limit ? 1 : 0;
    return Best < Enough;
  });
  return Result;
}

bool AdviceSearch::isAllowed(const TrackedEndpoint &Endpoint) const {
  auto Known = Advice.Endpoints.find(Endpoint.Info.Id);
  return Known != Advice.Endpoints.end() && Known->second.IsAllowed &&
         Known->second.IncarnationMs == Endpoint.IncarnationMs;
}

bool AdviceSearch::findsAfter(uint64_t Gain, AdviceSearchResult &Result) const {
  std::vector<EndpointTable::Row> &Rows = Table.rows();
  return std::any_of(Rows.begin(), Rows.end(), [&](EndpointTable::Row &Row) {
    return Row.LatestGain > Gain && examine(Row, Result);
  });
}

bool AdviceSearch::mayUse(const TrackedEndpoint &Endpoint) const {
  auto Known = Advice.Endpoints.find(Endpoint.Info.Id);
  bool IsRefused = Known != Advice.Endpoints.end() &&
                   Known->second.IncarnationMs == Endpoint.IncarnationMs &&
                   !Known->second.IsAllowed;
  bool HasLabel =
      Step.RequiredLabel.empty() || Endpoint.hasLabel(Step.RequiredLabel);
  return !IsRefused && HasLabel && Rules.mayStartOn(Endpoint) &&
         !Rules.isIsolated(Endpoint) &&
         (Step.MaxPerEndpoint == 0 ||
          Rules.countTasksOn(Endpoint) < Step.MaxPerEndpoint);
}

std::vector<AdviceCandidate> AdviceSearch::findFuture(size_t Most,
                                                      RoomNow Rooms) const {
  std::vector<AdviceCandidate> Found;
  for (const EndpointTable::Row &Row : Table.rows()) {
    const TrackedEndpoint &Endpoint = *Row.Endpoint;
    Resources Later = Endpoint.Info.Capacity - Endpoint.ReservedByServices;
    if (!fits(Step.Need, Later))
      continue;
    Resources Kept = Rules.keptRoom(*Row.Id);
    Resources Free = Row.Free - Kept;
    bool HasRoom = fits(Step.Need, Free);
    if ((HasRoom && Rooms == RoomNow::Excluded) ||
        !fits(Step.Need, Later - Kept) || !mayUse(Endpoint))
      continue;
    int64_t Places = HasRoom ? tasksThatFit(Step.Need, Free) : 1;
    if (Step.MaxPerEndpoint > 0)
      Places = std::min<int64_t>(Places, Step.MaxPerEndpoint -
                                             Rules.countTasksOn(Endpoint));
    Found.push_back({Row.Id, Places, missingShare(Step.Need, Free),
                     isAllowed(Endpoint), ticketLeft(Endpoint)});
  }
  auto IsNearer = [](const AdviceCandidate &A, const AdviceCandidate &B) {
    return std::tie(B.IsAllowed, A.Score, *A.Id) <
           std::tie(A.IsAllowed, B.Score, *B.Id);
  };
  size_t Count = std::min(Most, Found.size());
  std::partial_sort(Found.begin(),
                    Found.begin() + static_cast<std::ptrdiff_t>(Count),
                    Found.end(), IsNearer);
  Found.resize(Count);
  return Found;
}

Duration AdviceSearch::ticketLeft(const TrackedEndpoint &Endpoint) const {
  auto Known = Advice.Endpoints.find(Endpoint.Info.Id);
  if (Known == Advice.Endpoints.end() ||
      Known->second.IncarnationMs != Endpoint.IncarnationMs)
    return Duration(0);
  return std::max<Duration>(Duration(0), Known->second.ValidUntil - Now);
}

bool AdviceSearch::examine(EndpointTable::Row &Row,
                           AdviceSearchResult &Result) const {
  // Nothing is placed on an endpoint whose capacity has shrunk below what is
  // reserved, also if the step does not need the resource: then that resource
  // is below zero, and does not fit.
  if (!fits(Step.Need, Row.Free))
    return false;
  ++Result.Examined;
  const TrackedEndpoint &Endpoint = *Row.Endpoint;
  if (!Rules.mayStartOn(Endpoint)) {
    Row.UsableIncarnationMs = 0;
    return false;
  }
  Resources Room = Row.Free - Claims.claimed(*Row.Id);
  if (tasksThatFit(Step.Need, Room) == 0)
    return false;
  Resources Kept = Rules.keptRoom(*Row.Id);
  if (!fits(Step.Need, Row.Free - Kept))
    return false;
  Room -= Kept;
  int64_t Places = tasksThatFit(Step.Need, Room);
  if (Places == 0)
    return false;
  // A job may use room that is isolated for others, so that is no full fleet.
  Result.HasRoom = true;
  if (!Step.RequiredLabel.empty() && !Endpoint.hasLabel(Step.RequiredLabel))
    return false;
  Result.HasLabelledRoom = true;
  if (Rules.isIsolated(Endpoint)) {
    Row.UsableIncarnationMs = 0;
    return false;
  }
  auto Known = Advice.Endpoints.find(*Row.Id);
  bool IsKnown = Known != Advice.Endpoints.end() &&
                 Known->second.IncarnationMs == Endpoint.IncarnationMs;
  bool IsRefused = IsKnown && !Known->second.IsAllowed;
  if (IsRefused)
    return false;
  if (Step.Opportunistic) {
    Room.MilliCpu -= Endpoint.OpportunisticCpu;
    Places = tasksThatFit(Step.Need, Room);
  }
  if (Step.MaxPerEndpoint > 0)
    Places = std::min<int64_t>(Places, Step.MaxPerEndpoint -
                                           Rules.countTasksOn(Endpoint));
  if (Places <= 0)
    return false;
  Duration TicketLeft =
      IsKnown ? std::max(Duration(0), Known->second.ValidUntil - Now)
              : Duration(0);
  Result.Candidates.push_back(
      {Row.Id, Places, Rules.score(Endpoint), IsKnown, TicketLeft});
  return true;
}

} // namespace teaselwalk::cell
