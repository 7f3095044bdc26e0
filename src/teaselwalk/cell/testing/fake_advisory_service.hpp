#pragma once

#include "fake_clock.hpp"

#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace teaselwalk::cell::testing {

/// Model of the advisory service: answers one request at a time for each asking
/// process and issues tickets that are valid for a limited time.
class FakeAdvisoryService {
public:
  explicit FakeAdvisoryService(FakeClock &Clock) : Clock(Clock) {}

  Duration Base{20}; ///< Time of a request, without its endpoints.
  double PerEndpointMs = 0;
  Duration Validity{2500};
  /// Whether a step may run on an endpoint; all may by default.
  std::function<bool(const StepKey &, const EndpointId &)> Allows;
  /// Replaces the answers to the next requests, the first one first.
  std::vector<Advice> PlannedAnswers;
  /// Number of endpoints in each request.
  std::vector<size_t> Requests;

  /// Answers a request of the process at \p Through.
  void ask(const protocol::Address &Through, const StepKey &Step,
           const std::vector<EndpointId> &Candidates,
           const std::function<void(Advice)> &Done) {
    Requests.push_back(Candidates.size());
    Duration Work =
        Base + Duration(static_cast<int64_t>(
                   PerEndpointMs * static_cast<double>(Candidates.size())));
    TimePoint &FreeAt = BusyUntil[Through];
    FreeAt = std::max(FreeAt, Clock.now()) + Work;
    Clock.after(FreeAt - Clock.now(), [this, Step, Candidates, Done] {
      Done(answer(Step, Candidates));
    });
  }

  /// True if \p Ticket allows \p Step to start on \p Id now.
  bool accepts(const std::string &Ticket, const StepKey &Step,
               const EndpointId &Id) const {
    auto Found = ValidUntil.find({Step.Job, Step.Step, Id, Ticket});
    return Found != ValidUntil.end() && Clock.now() < Found->second;
  }

private:
  Advice answer(const StepKey &Step,
                const std::vector<EndpointId> &Candidates) {
    if (!PlannedAnswers.empty()) {
      Advice Planned = PlannedAnswers.front();
      PlannedAnswers.erase(PlannedAnswers.begin());
      return Planned;
    }
    Advice Answer{AdviceOutcome::Answered, {}, Validity};
    for (const EndpointId &Id : Candidates) {
      if (Allows && !Allows(Step, Id))
        continue;
      std::string Ticket = "t" + std::to_string(++Issued);
      ValidUntil[{Step.Job, Step.Step, Id, Ticket}] = Clock.now() + Validity;
      Answer.Tickets.emplace_back(Id, Ticket);
    }
    return Answer;
  }

  FakeClock &Clock;
  std::map<protocol::Address, TimePoint> BusyUntil;
  std::map<std::tuple<JobId, int32_t, EndpointId, std::string>, TimePoint>
      ValidUntil;
  int64_t Issued = 0;
};

/// Client of one process for the advisory service.
class FakeAdvisor : public Advisor {
public:
  FakeAdvisor(FakeAdvisoryService &Service, Executor &Own)
      : Service(Service), Own(Own) {}

  void ask(const protocol::Address &Through, const StepKey &Step,
           const std::vector<EndpointId> &Candidates, Duration Timeout,
           std::function<void(Advice)> Done) override {
    auto IsAnswered = std::make_shared<bool>(false);
    auto Finish = [this, Done, IsAnswered](const Advice &Result) {
      if (!std::exchange(*IsAnswered, true))
        Own.after(Latency, [Done, Result] { Done(Result); });
    };
    Own.after(Timeout, [Finish] { Finish({}); });
    Service.ask(Through, Step, Candidates, Finish);
  }

private:
  static constexpr Duration Latency{1};

  FakeAdvisoryService &Service;
  Executor &Own;
};

} // namespace teaselwalk::cell::testing
