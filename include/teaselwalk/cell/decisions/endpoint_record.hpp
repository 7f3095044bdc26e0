#pragma once

#include "teaselwalk/base/time.hpp"

#include <vector>

namespace teaselwalk::cell {

/// How the recent orders to one endpoint ended, and how fast its runs were.
/// Older orders count less; one of `HalfLife` ago counts half.
class EndpointRecord {
public:
  static constexpr Duration HalfLife{4000};

  /// A start was accepted, or a run has ended as it should.
  void addSuccess(TimePoint Now);
  /// A run has failed, or an order was refused.
  void addFailure(TimePoint Now);
  /// An order was not answered. Counts more than a failure: until it is known
  /// whether the task runs, it cannot be started elsewhere.
  void addUnanswered(TimePoint Now);

  /// Estimate of the share of orders that fail, 0 to 1.
  double risk(TimePoint Now) const;

  /// A run took \p Ratio times as long as the others of its step.
  void addRunTime(double Ratio);
  /// Run times relative to those on other endpoints, smoothed. 1 at first.
  double slowness() const { return Slowness; }

private:
  void add(double &To, double Weight, TimePoint Now);
  double decay(TimePoint Now) const;

  double Good = 0; ///< As of `CountedAt`.
  double Bad = 0;
  TimePoint CountedAt;
  double Slowness = 1;
};

/// Endpoints with a higher risk are avoided, though at most \p MaxShare of all:
/// if more look bad, the cause is not the endpoints, and the room is needed.
/// \p Risks has the risk of each endpoint.
double avoidanceThreshold(std::vector<double> Risks, double MaxShare);

} // namespace teaselwalk::cell
