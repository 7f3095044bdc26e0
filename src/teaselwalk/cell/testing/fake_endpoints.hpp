#pragma once

#include "fake_cluster.hpp"

#include <functional>
#include <set>
#include <stdexcept>
#include <utility>

namespace teaselwalk::cell::testing {

/// Client of one process for the endpoints, with injected faults.
class FakeEndpointClient : public EndpointCalls {
public:
  FakeEndpointClient(FakeClock &Network, FakeProcessClock &Own,
                     FakeCluster &Cluster)
      : Network(Network), Own(Own), Cluster(Cluster) {}

  bool IsPartitioned = false; ///< No endpoint is reachable.
  Duration Latency{1};        ///< One way.
  /// Number of next starts that get no answer and are carried out `StartDelay`
  /// later.
  int DelayStarts = 0;
  Duration StartDelay{4000};
  /// The same for renewals.
  int DelayRenewals = 0;
  Duration RenewalDelay{1000};
  /// Endpoints that carry out renewals, but whose answers are lost.
  std::set<EndpointId> LoseRenewalAnswersOf;
  /// Number of next starts that are carried out, but whose answers are lost.
  int LoseStarts = 0;
  /// Number of next starts that throw before they are sent.
  int ThrowingStarts = 0;

  void start(const EndpointInfo &To, const StartRequest &Request,
             std::function<void(EndpointResult)> Done) override {
    Own.chargeStart();
    if (ThrowingStarts > 0) {
      --ThrowingStarts;
      throw std::runtime_error("the start request cannot be encoded");
    }
    bool IsLate = DelayStarts > 0;
    bool IsLost = !IsLate && LoseStarts > 0;
    if (IsLate || IsLost) {
      --(IsLate ? DelayStarts : LoseStarts);
      int64_t IncarnationMs = Cluster.Machines[To.Id].IncarnationMs;
      Network.after(IsLate ? StartDelay : Latency, [this, Id = To.Id, Request,
                                                    IncarnationMs] {
        FakeCluster::Machine &M = Cluster.Machines[Id];
        if (M.IsUp && !M.IsPartitioned)
          Cluster.start(M, Request, M.IncarnationMs != IncarnationMs);
      });
      return Own.after(RequestTimeout, [Done = std::move(Done)] { Done({}); });
    }
    call<EndpointResult>(To, std::move(Done), [this, Request](auto &M) {
      return Cluster.start(M, Request);
    });
  }
  void stop(const EndpointInfo &To, const TaskKey &Task, int64_t Attempt,
            int64_t FencingToken,
            std::function<void(EndpointResult)> Done) override {
    call<EndpointResult>(To, std::move(Done),
                         [this, Task, Attempt, FencingToken](auto &M) {
                           return Cluster.stop(M, Task, Attempt, FencingToken);
                         });
  }
  void setCpuLimit(const EndpointInfo &To, const TaskKey &Task, int64_t,
                   int32_t Percent, int64_t,
                   std::function<void(EndpointResult)> Done) override {
    call<EndpointResult>(To, std::move(Done), [Task, Percent](auto &M) {
      auto Found = M.Running.find(Task);
      if (Found != M.Running.end())
        Found->second.CpuLimitPercent = Percent;
      return EndpointResult{EndpointOutcome::Done, 0};
    });
  }
  void renew(const EndpointInfo &To, const RenewRequest &Request,
             std::function<void(RenewResult)> Done) override {
    Own.chargeRequest();
    Done =
        withDeadline<RenewResult>(Request.Wait + RenewSlack, std::move(Done));
    if (DelayRenewals > 0) {
      --DelayRenewals;
      Network.after(RenewalDelay, [this, Id = To.Id, Request] {
        if (reaches(Id))
          Cluster.renew(Cluster.Machines[Id], Request);
      });
      return Own.after(RequestTimeout, [Done = std::move(Done)] { Done({}); });
    }
    if (!reaches(To.Id))
      return Own.after(Request.Wait + RequestTimeout,
                       [Done = std::move(Done)] { Done({}); });
    Network.after(Latency, [this, Id = To.Id, Request,
                            Done = std::move(Done)]() mutable {
      waitForEnd(Id, Request, Network.now() + Request.Wait, std::move(Done));
    });
  }

private:
  static constexpr Duration RequestTimeout{800};
  static constexpr Duration RenewSlack{1000};
  static constexpr Duration PollInterval{10};

  /// An answer that the process handles after the deadline counts as lost.
  template <typename Result>
  std::function<void(Result)> withDeadline(Duration Timeout,
                                           std::function<void(Result)> Done) {
    return [this, Deadline = Own.now() + Timeout,
            Done = std::move(Done)](const Result &Answer) {
      Done(Own.now() > Deadline ? Result() : Answer);
    };
  }

  bool reaches(const EndpointId &Id) const {
    auto Found = Cluster.Machines.find(Id);
    return !IsPartitioned && Found != Cluster.Machines.end() &&
           Found->second.IsUp && !Found->second.IsPartitioned;
  }

  void waitForEnd(const EndpointId &Id, const RenewRequest &Request,
                  TimePoint End, std::function<void(RenewResult)> Done) {
    if (!reaches(Id))
      return Own.after(RequestTimeout, [Done] { Done({}); });
    RenewResult Found = Cluster.renew(Cluster.Machines[Id], Request);
    bool IsOver = Found.Outcome != EndpointOutcome::Done ||
                  !Found.Ends.empty() || Network.now() >= End;
    if (IsOver && LoseRenewalAnswersOf.count(Id) != 0)
      return Own.after(RequestTimeout, [Done] { Done({}); });
    if (IsOver)
      return Own.after(Latency, [Done, Found] { Done(Found); });
    Network.after(PollInterval, [=, Done = std::move(Done)]() mutable {
      waitForEnd(Id, Request, End, std::move(Done));
    });
  }

  template <typename Result, typename Body>
  void call(const EndpointInfo &To, std::function<void(Result)> Done,
            Body Perform) {
    Own.chargeRequest();
    Done = withDeadline<Result>(RequestTimeout, std::move(Done));
    if (!reaches(To.Id))
      return Own.after(RequestTimeout, [Done = std::move(Done)] { Done({}); });
    Network.after(
        Latency, [this, Id = To.Id, Done = std::move(Done), Perform]() mutable {
          if (!reaches(Id))
            return Own.after(RequestTimeout, [Done] { Done({}); });
          Own.after(Latency,
                    [Done = std::move(Done),
                     Answer = Perform(Cluster.Machines[Id])] { Done(Answer); });
        });
  }

  FakeClock &Network;
  FakeProcessClock &Own;
  FakeCluster &Cluster;
};

} // namespace teaselwalk::cell::testing
