#include "teaselwalk/cell/advice_search.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

int64_t tasksThatFit(const Resources &Need, const Resources &Room) {
  int64_t TaskCount = 64;
  for (int64_t Resources::*Field : ResourceFields)
    if (Need.*Field > 0)
      TaskCount = std::min(TaskCount, Room.*Field / (Need.*Field));
  return std::max<int64_t>(TaskCount, 0);
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
