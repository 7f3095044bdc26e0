#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

namespace teaselwalk::cell {

/// One request to the advisory service.
struct AdviceRequest {
  StepKey Step;
  /// Time that the service is expected to take.
  Duration Expected{0};
  bool IsOverRate = false; ///< Sent after all requests that are not over rate.
  bool IsLate = false;     ///< Sent after those that are not late either.
  TimePoint Deadline;      ///< Earlier deadlines are sent first.
  /// Returns the endpoints to ask about. Called when the request is sent, which
  /// may be long after it was handed in. If there are none, the request is
  /// dropped.
  std::function<std::vector<EndpointId>()> Candidates;
};

/// Sends requests to the advisory service through all processes of the system.
/// The service answers one request at a time for each asking process, so each
/// process is a route with at most one open request. Some routes are reserved
/// for short requests, so that these never wait behind long ones.
class AdviceDispatcher {
public:
  using Callback =
      std::function<void(const std::vector<EndpointId> &Asked, const Advice &)>;

  AdviceDispatcher(Executor &Clock, Advisor &AdvisoryService, Recorder &Log)
      : Clock(Clock), AdvisoryService(AdvisoryService), Log(Log) {}

  /// Sets the processes to ask through; an empty address is this process.
  /// Routes with an address that was there before keep their state.
  void setRoutes(const std::vector<protocol::Address> &Addresses);

  /// \p Done is called once with the answer and the endpoints that the request
  /// named; with outcome `Dropped` if it was not sent. A request without an
  /// answer is sent again a few times first.
  void ask(AdviceRequest Asked, Callback Done);

  /// Number of requests that wait for a route.
  size_t waiting() const {
    return Waiting[false].size() + Waiting[true].size();
  }

private:
  struct Route {
    protocol::Address Through;
    bool IsBusy = false;
    TimePoint PausedUntil;
    Duration Pause{0}; ///< Length of the latest pause; 0: none.
  };
  struct Entry {
    AdviceRequest Asked;
    Callback Done;
    TimePoint QueuedAt;          ///< When it was handed in.
    int32_t UnansweredCalls = 0; ///< Calls that were not answered.
  };

  /// Whether over rate, whether late, and the deadline.
  using Order = std::tuple<bool, bool, TimePoint>;
  /// Waiting requests in the order in which they are sent.
  using Queue = std::multimap<Order, Entry>;

  void dispatch();
  void enqueue(const Order &At, Entry Next);
  void noteOutcome(Route &Used, AdviceOutcome Outcome) const;
  std::shared_ptr<Route> freeRoute(bool IsLong);
  void send(const std::shared_ptr<Route> &Free, Entry Next);

  Executor &Clock;
  Advisor &AdvisoryService;
  Recorder &Log;
  std::vector<std::shared_ptr<Route>> Routes;
  std::array<Queue, 2> Waiting; ///< Short requests, then long ones.
  bool IsRetryScheduled = false;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
