#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <vector>

/// Which of the endpoints with room a task prefers.
namespace teaselwalk::cell {
namespace {

/// Penalties in the score of an endpoint, in thousandths of a processor: to
/// avoid one, a task accepts an endpoint with that much more CPU left over.
constexpr double RemoteDataPenalty = 60000;
constexpr double InterferencePenalty = 200000;
constexpr double SlownessPenalty = 60000;
/// For an endpoint that fails all orders.
constexpr double RiskPenalty = 200000;

/// Lower slowness against declared run times is not penalised: they are off by
/// half, so it shows nothing about the endpoint.
constexpr double MinPenalizedSlowness = 1.7;

/// Jobs with more time to spare use any endpoint: a task that fails or is lost
/// there starts elsewhere within this time, and shows whether the endpoint is
/// well again.
constexpr Duration MinSlackForRisk{8000};
/// Of the endpoints of the fleet, at most this share is avoided at once.
constexpr double MaxAvoidedShare = 0.2;
/// Interval of the looks at all endpoints.
constexpr Duration FleetViewInterval{50};
/// Slack of jobs without an objective.
constexpr Duration UnlimitedSlack{3600000};

} // namespace

double Owner::score(const TrackedEndpoint &Endpoint, const JobProgress &Job,
                    const StepKey &Key) const {
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  // Best fit: prefers the endpoint with the least free CPU.
  auto Score = static_cast<double>(Endpoint.freeCapacity().MilliCpu -
                                   Endpoint.OpportunisticCpu);
  // An opportunistic task uses idle CPU, so it prefers the most free CPU.
  if (Step.Opportunistic)
    Score = -Score;
  if (!Step.DataRack.empty() && Endpoint.rack() != Step.DataRack)
    Score += RemoteDataPenalty;
  if (Step.Opportunistic && Endpoint.ServingTasks > 0)
    Score += InterferencePenalty;
  if (Step.TailTarget.count() > 0 && Endpoint.OpportunisticTasks > 0)
    Score += InterferencePenalty;
  Score +=
      SlownessPenalty * std::max(0.0, Endpoint.Slowness - MinPenalizedSlowness);
  bool HasHome = Options.Features.has(Feature::FailureDomains) &&
                 !Job.HomeDataCentre.empty();
  if (HasHome && Endpoint.Info.DataCentre != Job.HomeDataCentre)
    Score += spreadPenalty(slackOf(Job, Key));
  if (!Options.Features.has(Feature::EndpointRecords))
    return Score;
  Score += SlownessPenalty * std::max(0.0, Endpoint.Record.slowness() - 1);
  double Risk = Endpoint.Record.risk(Clock.now());
  if (Risk > RiskThreshold && slackOf(Job, Key) < MinSlackForRisk)
    Score += RiskPenalty * Risk;
  return Score;
}

Duration Owner::slackOf(const JobProgress &Job, const StepKey &Key) const {
  if (!hasObjective(Job, Key))
    return UnlimitedSlack;
  return Job.Objective - Clock.now() -
         Job.ChainFrom[static_cast<size_t>(Key.Step)];
}

void Owner::chooseHome(JobProgress &Job, const StepKey &Key) {
  if (!Options.Features.has(Feature::FailureDomains) ||
      !hasObjective(Job, Key) || CentreRoom.isKnown(Job.HomeDataCentre))
    return;
  Job.HomeDataCentre = CentreRoom.emptiest();
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  CentreRoom.take(Job.HomeDataCentre, Step.Need.MilliCpu * Step.Tasks);
}

void Owner::updateFleetView() {
  TimePoint Now = Clock.now();
  if (Options.Features.isEmpty() || Now - FleetViewedAt < FleetViewInterval)
    return;
  FleetViewedAt = Now;
  CentreRoom.clear();
  std::vector<double> Risks;
  for (const EndpointTable::Row &Row : Table.rows()) {
    const TrackedEndpoint &Endpoint = *Row.Endpoint;
    if (!Endpoint.IsListed)
      continue;
    Risks.push_back(Endpoint.Record.risk(Now));
    if (mayStartOn(Endpoint, Endpoint.Info.Service, Now))
      CentreRoom.add(Endpoint.Info.DataCentre, Row.Free.MilliCpu);
  }
  RiskThreshold = avoidanceThreshold(std::move(Risks), MaxAvoidedShare);
  makeUrgentRoom();
}

} // namespace teaselwalk::cell
