#include "teaselwalk/cell/decisions/failure_domains.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

/// From the loss of an endpoint until its tasks have started elsewhere, once
/// their leases have ended.
constexpr Duration RestartTime{8000};
/// Above the free CPU of any usual endpoint, so that a full data centre is left
/// only if it has no room at all.
constexpr double OtherDataCentrePenalty = 128000;

} // namespace

std::string DataCentreRoom::emptiest() const {
  auto Best = std::max_element(
      FreeCpu.begin(), FreeCpu.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  return Best == FreeCpu.end() ? "" : Best->first;
}

double spreadPenalty(Duration Slack) {
  return Slack < RestartTime ? OtherDataCentrePenalty : 0;
}

} // namespace teaselwalk::cell
