#pragma once

#include "teaselwalk/cell/advice_queue.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <array>
#include <memory>
#include <vector>

namespace teaselwalk::cell {

/// Sends requests to the advisory service through all processes of the system.
/// The service answers one request at a time for each asking process, so each
/// process is a route with at most one open request. Some routes are reserved
/// for short requests, so that these never wait behind long ones.
///
/// If there are more requests than the routes can carry, most routes go to
/// those that are still in time, and a fixed share of their time to those that
/// have waited longest, so that each one is sent at some time.
class AdviceDispatcher {
public:
  AdviceDispatcher(Executor &Clock, Advisor &AdvisoryService, Recorder &Log)
      : Clock(Clock), AdvisoryService(AdvisoryService), Log(Log) {}

  /// Sends short requests before long ones although they are late. A late short
  /// job is worth more than the part of a long one that the service could
  /// answer about in the same time.
  void preferShortRequests() { PrefersShort = true; }

  /// Sets the processes to ask through; an empty address is this process.
  /// Routes with an address that was there before keep their state.
  void setRoutes(const std::vector<protocol::Address> &Addresses);

  /// \p Done is called once with the answer and the endpoints that the request
  /// named; with outcome `Dropped` if it was not sent. A request without an
  /// answer is sent again a few times first.
  void ask(AdviceRequest Asked, AdviceCallback Done);

  /// Treats calls whose end is not reported in time as not answered. Otherwise
  /// their routes and steps would wait for a new owner.
  void endOverdue();

  /// Number of requests that wait for a route.
  size_t waiting() const {
    return Waiting[false].size() + Waiting[true].size();
  }

private:
  struct Route {
    protocol::Address Through;
    bool IsBusy = false;
    TimePoint FailedAt;
    /// Pause since then; 0: the latest request was answered.
    Duration Pause{0};
  };
  /// A request that was sent and is not answered yet.
  struct OpenCall {
    std::shared_ptr<Route> Through;
    AdviceQueue::Entry Sent;
    std::vector<EndpointId> Asked;
    TimePoint SentAt;
    TimePoint OverdueAt;
  };
  /// A request and a route that is free for it.
  struct Choice {
    AdviceQueue *From = nullptr; ///< Null if there is none.
    AdviceQueue::Place At;
    std::shared_ptr<Route> Through;
  };

  void dispatch();
  void enqueue(AdviceQueue::Entry Next);
  Choice chooseFirst();
  /// The request that has waited longest, if it is its turn.
  Choice chooseOldest();
  /// Sends the next request for which a route is free; false if there is none.
  bool sendNext();
  void noteOutcome(Route &Used, AdviceOutcome Outcome) const;
  bool isFree(const Route &Tried, bool IsAnyAnswered) const;
  std::shared_ptr<Route> freeRoute(bool IsLong) const;
  std::vector<EndpointId> candidatesOf(const AdviceQueue::Entry &Next) const;
  void send(const std::shared_ptr<Route> &Free, AdviceQueue::Entry Next);
  void end(const std::shared_ptr<OpenCall> &Call, const Advice &Result);

  Executor &Clock;
  Advisor &AdvisoryService;
  Recorder &Log;
  std::vector<std::shared_ptr<Route>> Routes;
  std::vector<std::shared_ptr<OpenCall>> OpenCalls;
  std::array<AdviceQueue, 2> Waiting; ///< Short requests, then long ones.
  TimePoint LastShortAt; ///< When a short request was last handed in.
  /// The service's time for others since the request that had waited longest
  /// was sent.
  std::array<Duration, 2> TimeOfOthers{};
  bool IsRetryScheduled = false;
  bool PrefersShort = false; ///< As `preferShortRequests`.
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
