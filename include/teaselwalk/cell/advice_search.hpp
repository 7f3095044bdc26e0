#pragma once

#include "teaselwalk/cell/advice_plan.hpp"
#include "teaselwalk/cell/endpoint_table.hpp"
#include "teaselwalk/cell/job.hpp"
#include "teaselwalk/cell/room_claims.hpp"
#include "teaselwalk/cell/step_advice.hpp"

#include <cstdint>
#include <vector>

namespace teaselwalk::cell {

/// Decides about the tasks of one step on an endpoint that has room for them.
class PlacementRules {
public:
  virtual ~PlacementRules() = default;
  /// False if no task of the step's job may be started there now.
  virtual bool mayStartOn(const TrackedEndpoint &Endpoint) const = 0;
  /// True if the room is kept free because of a suspected task of another job.
  virtual bool isIsolated(const TrackedEndpoint &Endpoint) const = 0;
  /// Number of tasks of the step there.
  virtual int32_t countTasksOn(const TrackedEndpoint &Endpoint) const = 0;
  /// Lower ones are preferred.
  virtual double score(const TrackedEndpoint &Endpoint) const = 0;
  /// Room there that is reserved for other steps.
  virtual Resources keptRoom(const EndpointId &) const { return {}; }
};

/// What a search for candidates has found out.
struct AdviceSearchResult {
  std::vector<AdviceCandidate> Candidates;
  bool HasRoom = false; ///< An endpoint had room for a task.
  /// So had one with the label that the step requires.
  bool HasLabelledRoom = false;
  int64_t Examined = 0; ///< Endpoints for which the rules were asked.
};

/// Whether endpoints with room for a task now are found.
enum class RoomNow { Included, Excluded };

/// Finds the endpoints that an advice request about a step may name. A full
/// endpoint costs a comparison of its room only.
class AdviceSearch {
public:
  /// All arguments must outlive the search and its candidates.
  AdviceSearch(EndpointTable &Table, const RoomClaims &Claims,
               const StepSpec &Step, const StepAdvice &Advice,
               const PlacementRules &Rules, TimePoint Now)
      : Table(Table), Claims(Claims), Step(Step), Advice(Advice), Rules(Rules),
        Now(Now) {}

  AdviceSearchResult findAll() const;
  /// Finds those that the service has allowed and \p Enough of the fullest
  /// others, or all if there are fewer. For a score that is the free CPU or
  /// more.
  AdviceSearchResult findBest(size_t Enough) const;
  /// Finds at most \p Most endpoints on which a task finds room once others
  /// have ended: first those that were allowed, then those that lack the least.
  std::vector<AdviceCandidate> findFuture(size_t Most, RoomNow Rooms) const;
  /// True if an endpoint with a later gain than \p Gain is a candidate. Adds to
  /// the other members of \p Result.
  bool findsAfter(uint64_t Gain, AdviceSearchResult &Result) const;

private:
  /// True if the service has allowed the step there, in this incarnation.
  bool isAllowed(const TrackedEndpoint &Endpoint) const;
  /// Remaining validity of its ticket; 0: none.
  Duration ticketLeft(const TrackedEndpoint &Endpoint) const;
  /// True if the step may be placed there as soon as there is room.
  bool mayUse(const TrackedEndpoint &Endpoint) const;
  /// Adds the endpoint of \p Row to \p Result if it is a candidate.
  bool examine(EndpointTable::Row &Row, AdviceSearchResult &Result) const;

  EndpointTable &Table;
  const RoomClaims &Claims;
  const StepSpec &Step;
  const StepAdvice &Advice;
  const PlacementRules &Rules;
  const TimePoint Now;
};

} // namespace teaselwalk::cell
