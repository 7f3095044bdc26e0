#include "teaselwalk/cell/decisions/endpoint_record.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>

namespace teaselwalk::cell {
namespace {

/// Orders that an endpoint is assumed to have carried out before.
constexpr double PriorSuccesses = 2;
constexpr double UnansweredWeight = 3;
/// Lower risks are not avoided: one task in eight may fail by its own fault.
constexpr double MinAvoidedRisk = 0.13;
constexpr double RunTimeWeight = 0.1;
/// Bounds of a sample of the relative run time, so that one run decides little.
constexpr double MinRatio = 0.4;
constexpr double MaxRatio = 4;

} // namespace

double EndpointRecord::decay(TimePoint Now) const {
  if (Now <= CountedAt)
    return 1;
  auto HalfLives = static_cast<double>((Now - CountedAt).count()) /
                   static_cast<double>(HalfLife.count());
  return std::exp2(-HalfLives);
}

void EndpointRecord::add(double &To, double Weight, TimePoint Now) {
  double Factor = decay(Now);
  Good *= Factor;
  Bad *= Factor;
  CountedAt = std::max(CountedAt, Now);
  To += Weight;
}

void EndpointRecord::addSuccess(TimePoint Now) { add(Good, 1, Now); }

void EndpointRecord::addFailure(TimePoint Now) { add(Bad, 1, Now); }

void EndpointRecord::addUnanswered(TimePoint Now) {
  add(Bad, UnansweredWeight, Now);
}

double EndpointRecord::risk(TimePoint Now) const {
  double Factor = decay(Now);
  return Bad * Factor / ((Bad + Good) * Factor + PriorSuccesses);
}

void EndpointRecord::addRunTime(double Ratio) {
  if (!std::isfinite(Ratio) || Ratio <= 0)
    return;
  Slowness +=
      (std::clamp(Ratio, MinRatio, MaxRatio) - Slowness) * RunTimeWeight;
}

double avoidanceThreshold(std::vector<double> Risks, double MaxShare) {
  auto Most = static_cast<size_t>(static_cast<double>(Risks.size()) * MaxShare);
  if (Risks.empty() || Most >= Risks.size())
    return MinAvoidedRisk;
  auto Last = Risks.begin() + static_cast<std::ptrdiff_t>(Most);
  std::nth_element(Risks.begin(), Last, Risks.end(), std::greater<>());
  return std::max(MinAvoidedRisk, *Last);
}

} // namespace teaselwalk::cell
