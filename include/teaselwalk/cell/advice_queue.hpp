#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace teaselwalk::cell {

/// The most urgent requests are sent first.
enum class AdviceUrgency {
  Restart,  ///< For tasks of a service that ran before.
  InTime,   ///< The job can end by its objective.
  Late,     ///< The job ends after its objective.
  OverRate, ///< The job was submitted beyond the rate of its team.
  Worthless ///< So late that the result of the job has no value.
};
constexpr size_t AdviceUrgencies = 5;

/// One request to the advisory service.
struct AdviceRequest {
  StepKey Step;
  /// Time that the service is expected to take.
  Duration Expected{0};
  AdviceUrgency Urgency = AdviceUrgency::InTime;
  TimePoint Deadline; ///< Of the job.
  /// A request that is still waiting then is no longer `InTime`.
  TimePoint InTimeUntil = TimePoint::max();
  /// A request that is still waiting then is `Worthless`, unless it is a
  /// `Restart`.
  TimePoint UsefulUntil = TimePoint::max();
  /// Returns the endpoints to ask about. Called when the request is sent, which
  /// may be long after it was handed in. If there are none, the request is
  /// dropped.
  std::function<std::vector<EndpointId>()> Candidates;
};

using AdviceCallback =
    std::function<void(const std::vector<EndpointId> &Asked, const Advice &)>;

/// Requests to the advisory service that wait to be sent.
///
/// Among those of one urgency the earliest deadline is first. That order fails
/// if more is asked for than can be answered: each request is sent when it is
/// about to be late, so all jobs are late. From the moment when a request has
/// become late while it waited, the newest ones are therefore first.
class AdviceQueue {
public:
  struct Entry {
    AdviceRequest Asked;
    AdviceCallback Done;
    TimePoint QueuedAt;          ///< When it was handed in.
    int32_t UnansweredCalls = 0; ///< Calls that were not answered.
  };

  /// Position of a request; lower ones are sent first.
  struct Place {
    AdviceUrgency Urgency = AdviceUrgency::Worthless;
    TimePoint Deadline;
    uint64_t Number = 0; ///< Older requests have lower numbers.

    friend bool operator<(const Place &A, const Place &B) {
      return std::tie(A.Urgency, A.Deadline, A.Number) <
             std::tie(B.Urgency, B.Deadline, B.Number);
    }
  };

  void add(Entry Next);
  size_t size() const { return Rows.size(); }
  bool isEmpty() const { return Rows.empty(); }

  /// The request to send next; there must be one.
  Place first(TimePoint Now);
  /// The request that has waited longest; there must be one.
  Place oldest() const { return Rows.begin()->second.At; }
  const Entry &at(const Place &Where) const {
    return Rows.at(Where.Number).Waiting;
  }
  /// Removes a request and returns it.
  Entry take(const Place &Where);

private:
  struct Row {
    Place At;
    Entry Waiting;
  };

  /// Moves a request that has become less urgent; false if it has not.
  bool update(const Place &Where, TimePoint Now);
  bool isShort(TimePoint Now) const;

  std::map<uint64_t, Row> Rows; ///< By number.
  std::set<Place> Order;
  /// Numbers of the requests of each urgency.
  std::array<std::set<uint64_t>, AdviceUrgencies> OfUrgency;
  uint64_t NextNumber = 1;
  /// When a request has last become late while it waited.
  TimePoint BecameLateAt;
};

} // namespace teaselwalk::cell
