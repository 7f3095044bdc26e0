#include "owner_limits.hpp"

#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <cmath>

namespace teaselwalk::cell {
namespace {

/// The advisory service accepts at most this many endpoints in a request.
constexpr size_t MaxCandidates = 100;
/// A request names so many endpoints that, at the share that the queue was
/// allowed before, this many times the wanted places become available: other
/// tasks take some of them in the meantime.
constexpr double CandidateReserve = 1.4;
/// A ticket is not used in this last part of its validity, because the start
/// request takes time to arrive.
constexpr Duration TicketMargin{250};
/// Pause of a step after a request that was refused or not answered.
constexpr Duration UnansweredPause{300};
/// Pause of a step for which there is no endpoint to ask about.
constexpr Duration NoCandidatePause{80};
/// Weight of the newest answer in the average share of endpoints that a queue
/// is allowed.
constexpr double ShareWeight = 0.15;
/// Share before the first answer, and lower bound of the average.
constexpr double InitialShare = 0.5;
constexpr double MinShare = 0.1;

int64_t tasksThatFit(const Resources &Need, const Resources &Room) {
  int64_t TaskCount = 64;
  for (int64_t Resources::*Field : ResourceFields)
    if (Need.*Field > 0)
      TaskCount = std::min(TaskCount, Room.*Field / (Need.*Field));
  return std::max<int64_t>(TaskCount, 0);
}

} // namespace

Owner::StepAdvice *Owner::adviceFor(const JobProgress &Job,
                                    const StepKey &Key) {
  return policyOf(Job).NeedsAdvice ? &StepAdvices[Key] : nullptr;
}

void Owner::askAdvice(const JobProgress &Job, const StepKey &Key,
                      StepAdvice &Advice, int32_t Wanted) {
  TimePoint Now = Clock.now();
  if (Advice.IsInFlight || Advice.NotBefore > Now)
    return;
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  const QueuePolicy &Policy = policyOf(Job);
  struct Choice {
    EndpointId Id;
    double Score;
    double Chance;
    int64_t TaskCount;
  };
  auto Learned = AllowedShare.find(Job.Spec.Queue);
  double Share = Learned == AllowedShare.end() ? InitialShare : Learned->second;
  std::vector<Choice> Choices;
  for (auto &[Id, Endpoint] : Table) {
    if (!mayStartOn(Endpoint, Job) || Advice.Refused.count(Id) != 0)
      continue;
    if (!Step.RequiredLabel.empty() && !Endpoint.hasLabel(Step.RequiredLabel))
      continue;
    auto Known = Advice.Allowed.find(Id);
    bool IsAllowed = Known != Advice.Allowed.end();
    if (IsAllowed && Known->second.ValidUntil > Now)
      continue;
    Resources Room = Endpoint.freeCapacity();
    if (Step.Opportunistic)
      Room.MilliCpu -= Endpoint.OpportunisticCpu;
    int64_t TaskCount = tasksThatFit(Step.Need, Room);
    if (Step.MaxPerEndpoint > 0)
      TaskCount = std::min<int64_t>(TaskCount, Step.MaxPerEndpoint -
                                                   countTasksOn(Endpoint, Key));
    if (TaskCount > 0)
      Choices.push_back({Id, score(Endpoint, Step) - (IsAllowed ? 1e9 : 0),
                         IsAllowed ? 1.0 : Share, TaskCount});
  }
  if (Choices.empty()) {
    Advice.NotBefore = Now + NoCandidatePause;
    return;
  }
  std::sort(Choices.begin(), Choices.end(),
            [](const Choice &A, const Choice &B) { return A.Score < B.Score; });
  AdviceRequest Asked;
  Asked.Step = Key;
  double Expected = 0;
  for (const Choice &Next : Choices) {
    if (Expected >= Wanted * CandidateReserve ||
        Asked.Candidates.size() >= MaxCandidates)
      break;
    Asked.Candidates.push_back(Next.Id);
    Expected += Next.Chance *
                static_cast<double>(std::min<int64_t>(Next.TaskCount, Wanted));
  }
  Asked.Expected =
      Policy.AdviceBase + Duration(static_cast<int64_t>(
                              Policy.AdvicePerEndpointMs *
                              static_cast<double>(Asked.Candidates.size())));
  Asked.Deadline = Job.Objective;
  Asked.IsOverRate = Job.IsOverRate;
  Advice.IsInFlight = true;
  Log.count("advice_asked");
  std::vector<EndpointId> Named = Asked.Candidates;
  Dispatcher.ask(std::move(Asked),
                 guarded([this, Key, Named, Queue = Job.Spec.Queue,
                          Now](const cell::Advice &Result) {
                   onAdvice(Key, Named, Queue, Now, Result);
                 }));
}

void Owner::onAdvice(const StepKey &Key, const std::vector<EndpointId> &Asked,
                     const std::string &Queue, TimePoint Sent,
                     const cell::Advice &Result) {
  auto Found = StepAdvices.find(Key);
  TimePoint Now = Clock.now();
  Log.event(EventName::AdviceAnswered,
            {{"job", Key.Job.str()},
             {"step",
              std::to_string(Key.Occurrence) + '.' + std::to_string(Key.Step)},
             {"asked", std::to_string(Asked.size())},
             {"allowed", std::to_string(Result.Tickets.size())},
             {"answered",
              Result.Outcome == AdviceOutcome::Answered ? "true" : "false"},
             {"after_ms", std::to_string((Now - Sent).count())}});
  if (Found == StepAdvices.end())
    return;
  StepAdvice &Advice = Found->second;
  Advice.IsInFlight = false;
  if (Result.Outcome != AdviceOutcome::Answered) {
    Advice.NotBefore = Now + UnansweredPause;
    return requestSchedulingPass();
  }
  // The service decides near the end of a call, so the validity starts now.
  for (const auto &[Id, Text] : Result.Tickets)
    Advice.Allowed[Id] = {Text, Now + Result.Validity - TicketMargin};
  for (const EndpointId &Id : Asked)
    if (Advice.Allowed.count(Id) == 0)
      Advice.Refused.insert(Id);
  double Share = static_cast<double>(Result.Tickets.size()) /
                 static_cast<double>(Asked.size());
  auto Learned = AllowedShare.emplace(Queue, InitialShare).first;
  Learned->second = std::max(MinShare, Learned->second * (1 - ShareWeight) +
                                           Share * ShareWeight);
  requestSchedulingPass();
}

} // namespace teaselwalk::cell
