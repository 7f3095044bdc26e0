#pragma once

#include "teaselwalk/bench/workload.hpp"
#include "teaselwalk/schedule/scheduler.hpp"

#include <array>
#include <vector>

namespace teaselwalk::bench {

/// What a simulation measured between `MeasureFrom` and `End`.
struct SimulationResult {
  /// Seconds from arrival to first start, by kind. Requests that never started
  /// count with the time to the end.
  std::array<std::vector<double>, WorkKindNames.size()> Waits;
  /// Of batch work of the teams that send no burst.
  std::vector<double> SteadyBatchWaits;
  /// Time-averaged part of the open endpoints' capacity that is taken, of the
  /// most taken resource.
  double Packing = 0;
  /// As `Packing`, less progress that was lost by stops.
  double UsefulWork = 0;
  /// Largest relative difference between a team's part of all dominant shares
  /// and its part of the weights.
  double ShareDistance = 0;
  size_t Starts = 0;
  size_t Reclaimed = 0;
};

/// Run a scenario in virtual time.
SimulationResult simulate(const Scenario &Input, schedule::Policy Policy,
                          uint64_t Seed);

} // namespace teaselwalk::bench
