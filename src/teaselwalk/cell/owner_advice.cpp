#include "owner_limits.hpp"

#include "teaselwalk/cell/advice_plan.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <algorithm>

namespace teaselwalk::cell {
namespace {

/// A ticket is not used in this last part of its validity, because the start
/// request takes time to arrive.
constexpr Duration TicketMargin{250};
/// A longer validity in an answer is not relied on.
constexpr Duration LongestValidity{60000};
/// Pause of a step after a request that was refused or not answered, or whose
/// answer is of no use.
constexpr Duration UnansweredPause{300};
/// Pause of a step for which there is no endpoint to ask about.
constexpr Duration NoCandidatePause{80};
/// Steps for which there was none search all endpoints again one after the
/// other, at least this long apart.
constexpr Duration RepeatedSearchSpacing{5};
/// Before that they look at endpoints with a gain. This is how often the owner
/// checks which endpoints have become usable.
constexpr Duration UsableCheckInterval{20};
/// That no endpoint has room for a task is not checked again for this time.
constexpr Duration NoRoomMemory{20};
/// Lower bound of the share of endpoints that a queue is allowed.
constexpr double MinShare = 0.05;
/// Endpoints after which the answers of a queue count half as much.
constexpr double ShareWindow = 400;

int64_t tasksThatFit(const Resources &Need, const Resources &Room) {
  int64_t TaskCount = 64;
  for (int64_t Resources::*Field : ResourceFields)
    if (Need.*Field > 0)
      TaskCount = std::min(TaskCount, Room.*Field / (Need.*Field));
  return std::max<int64_t>(TaskCount, 0);
}

/// The room that the tasks of \p Need will probably use on each endpoint in
/// \p Named.
RoomClaims::Rows claimsOf(const AdviceNeed &Need, const StepSpec &Step,
                          const std::vector<AdviceCandidate> &Candidates,
                          const std::vector<EndpointId> &Named) {
  std::unordered_set<EndpointId> IsNamed(Named.begin(), Named.end());
  std::vector<std::pair<EndpointId, double>> Tasks;
  double Total = 0;
  for (const AdviceCandidate &Next : Candidates) {
    if (IsNamed.count(Next.Id) == 0)
      continue;
    double Chance = Next.IsAllowed ? 1 : Need.AllowedShare;
    double Expected = Chance * static_cast<double>(
                                   std::min<int64_t>(Next.Places, Need.Tasks));
    Tasks.emplace_back(Next.Id, Expected);
    Total += Expected;
  }
  double Share = Total > Need.Tasks ? Need.Tasks / Total : 1;
  RoomClaims::Rows Result;
  for (const auto &[Id, Expected] : Tasks) {
    Resources Room;
    for (int64_t Resources::*Field : ResourceFields)
      Room.*Field = static_cast<int64_t>(static_cast<double>(Step.Need.*Field) *
                                         Expected * Share);
    Result.emplace_back(Id, Room);
  }
  return Result;
}

} // namespace

StepAdvice *Owner::adviceFor(const JobProgress &Job, const StepKey &Key) {
  return policyOf(Job).NeedsAdvice ? &StepAdvices[Key] : nullptr;
}

Owner::AdviceSearch Owner::adviceSearch(const JobProgress &Job,
                                        const StepKey &Key,
                                        const StepAdvice &Advice) const {
  return {Job,
          Key,
          Advice,
          Job.Spec.Steps[static_cast<size_t>(Key.Step)],
          policyOf(Job).Service,
          Clock.now()};
}

std::vector<AdviceCandidate> Owner::adviceCandidates(AdviceSearch &Search) {
  Log.count("advice_plans");
  std::vector<AdviceCandidate> Result;
  for (auto &[Id, Endpoint] : Table)
    if (std::optional<AdviceCandidate> Next = candidateOn(Endpoint, Search))
      Result.push_back(std::move(*Next));
  if (!Search.HasRoom)
    NoRoomFor[Search.Service].push_back({Search.Step.Need, "", Search.Now});
  else if (!Search.HasLabelledRoom)
    NoRoomFor[Search.Service].push_back(
        {Search.Step.Need, Search.Step.RequiredLabel, Search.Now});
  return Result;
}

std::optional<AdviceCandidate> Owner::candidateOn(TrackedEndpoint &Endpoint,
                                                  AdviceSearch &Search) {
  const StepSpec &Step = Search.Step;
  TimePoint Now = Search.Now;
  Resources Room = Endpoint.freeCapacity();
  // Nothing is placed on an endpoint whose capacity has shrunk below what is
  // reserved, also if the step does not need the resource.
  if (hasNegative(Room) || tasksThatFit(Step.Need, Room) == 0)
    return std::nullopt;
  if (!mayStartOn(Endpoint, Search.Service, Now)) {
    Endpoint.UsableIncarnationMs = 0;
    return std::nullopt;
  }
  const EndpointId &Id = Endpoint.Info.Id;
  Room -= Claims.claimed(Id);
  int64_t Places = tasksThatFit(Step.Need, Room);
  if (Places == 0)
    return std::nullopt;
  // A job may use room that is isolated for others, so that is no full fleet.
  Search.HasRoom = true;
  if (!Step.RequiredLabel.empty() && !Endpoint.hasLabel(Step.RequiredLabel))
    return std::nullopt;
  Search.HasLabelledRoom = true;
  if (isIsolated(Endpoint, Search.Job.Spec.Id)) {
    Endpoint.UsableIncarnationMs = 0;
    return std::nullopt;
  }
  auto Known = Search.Advice.Endpoints.find(Id);
  bool IsKnown = Known != Search.Advice.Endpoints.end() &&
                 Known->second.IncarnationMs == Endpoint.IncarnationMs;
  bool IsRefused = IsKnown && !Known->second.IsAllowed;
  if (IsRefused)
    return std::nullopt;
  if (Step.Opportunistic) {
    Room.MilliCpu -= Endpoint.OpportunisticCpu;
    Places = tasksThatFit(Step.Need, Room);
  }
  if (Step.MaxPerEndpoint > 0)
    Places = std::min<int64_t>(Places, Step.MaxPerEndpoint -
                                           countTasksOn(Endpoint, Search.Key));
  if (Places <= 0)
    return std::nullopt;
  Duration TicketLeft =
      IsKnown ? std::max(Duration(0), Known->second.ValidUntil - Now)
              : Duration(0);
  return AdviceCandidate{Id, Places, score(Endpoint, Step), IsKnown,
                         TicketLeft};
}

bool Owner::isSearchPromising(const JobProgress &Job, const StepKey &Key,
                              StepAdvice &Advice) {
  AdviceSearch Search = adviceSearch(Job, Key, Advice);
  if (hasNoRoom(Search.Service, Search.Step))
    return false;
  if (Advice.SearchedUpTo == 0 || Advice.SearchAgainAt <= Search.Now)
    return true;
  noteUsableEndpoints();
  if (Advice.SearchedUpTo < LatestGain)
    for (auto &[Id, Endpoint] : Table)
      if (Endpoint.LatestGain > Advice.SearchedUpTo &&
          candidateOn(Endpoint, Search))
        return true;
  Advice.SearchedUpTo = LatestGain;
  Advice.NotBefore = Search.Now + NoCandidatePause;
  return false;
}

void Owner::noteUsableEndpoints() {
  TimePoint Now = Clock.now();
  if (Now - UsableNotedAt < UsableCheckInterval)
    return;
  UsableNotedAt = Now;
  for (auto &[Id, Endpoint] : Table) {
    bool IsUsable = mayStartOn(Endpoint, Endpoint.Info.Service, Now) &&
                    !isIsolated(Endpoint, JobId());
    int64_t IncarnationMs = IsUsable ? Endpoint.IncarnationMs : 0;
    if (IsUsable && IncarnationMs != Endpoint.UsableIncarnationMs)
      noteGain(Endpoint);
    Endpoint.UsableIncarnationMs = IncarnationMs;
  }
}

void Owner::removeClaims(const StepKey &Key) {
  for (const auto &[Id, Room] : Claims.remove(Key)) {
    auto Found = Table.find(Id);
    if (Found != Table.end())
      noteGain(Found->second);
  }
}

bool Owner::hasNoRoom(const std::string &Service, const StepSpec &Step) {
  auto Found = NoRoomFor.find(Service);
  if (Found == NoRoomFor.end())
    return false;
  TimePoint Oldest = Clock.now() - NoRoomMemory;
  std::vector<FullFleet> &Seen = Found->second;
  Seen.erase(std::remove_if(
                 Seen.begin(), Seen.end(),
                 [Oldest](const FullFleet &Row) { return Row.At < Oldest; }),
             Seen.end());
  return std::any_of(Seen.begin(), Seen.end(), [&](const FullFleet &Row) {
    return (Row.Label.empty() || Row.Label == Step.RequiredLabel) &&
           fits(Row.Need, Step.Need);
  });
}

double Owner::allowedShare(const std::string &Queue) const {
  auto Found = AllowedCounts.find(Queue);
  AllowedCount Count =
      Found == AllowedCounts.end() ? AllowedCount() : Found->second;
  return std::max(MinShare, Count.Allowed / Count.Asked);
}

AdviceNeed Owner::adviceNeed(const JobProgress &Job, const StepKey &Key) const {
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  const StepProgress &State =
      Job.Occurrences[static_cast<size_t>(Key.Occurrence)]
          .Steps[static_cast<size_t>(Key.Step)];
  const QueuePolicy &Policy = policyOf(Job);
  AdviceNeed Need;
  Need.Tasks = State.Waiting;
  Need.StartsTogether = Step.Gang;
  Need.AllowedShare = allowedShare(Job.Spec.Queue);
  Need.Base = Policy.AdviceBase;
  Need.PerEndpointMs = Policy.AdvicePerEndpointMs;
  return Need;
}

void Owner::askAdvice(const JobProgress &Job, const StepKey &Key,
                      StepAdvice &Advice) {
  TimePoint Now = Clock.now();
  if (Advice.IsInFlight || Advice.NotBefore > Now)
    return;
  if (!isSearchPromising(Job, Key, Advice))
    return;
  AdviceNeed Need = adviceNeed(Job, Key);
  AdviceRequest Asked;
  Asked.Step = Key;
  Asked.Expected = adviceTime(Need, expectedEndpoints(Need));
  Asked.Deadline = Job.Objective;
  Asked.IsOverRate = Job.IsOverRate;
  Asked.Candidates = [this, Key] { return claimCandidates(Key); };
  Advice.IsInFlight = true;
  Log.count("advice_asked");
  Dispatcher.ask(std::move(Asked),
                 guarded([this, Key, Now](const std::vector<EndpointId> &Named,
                                          const cell::Advice &Result) {
                   onAdvice(Key, Named, Now, Result);
                 }));
}

std::vector<EndpointId> Owner::claimCandidates(const StepKey &Key) {
  removeClaims(Key);
  const JobProgress *Job = jobOf(Key.Job);
  auto Found = StepAdvices.find(Key);
  if (Job == nullptr || Found == StepAdvices.end())
    return {};
  AdviceNeed Need = adviceNeed(*Job, Key);
  StepAdvice &Advice = Found->second;
  if (Need.Tasks == 0 || !isSearchPromising(*Job, Key, Advice))
    return {};
  AdviceSearch Search = adviceSearch(*Job, Key, Advice);
  std::vector<AdviceCandidate> Candidates = adviceCandidates(Search);
  Advice.SearchedUpTo = 0;
  if (Candidates.empty()) {
    Advice.SearchedUpTo = LatestGain;
    NextRepeatedSearch = std::max(Search.Now + NoCandidatePause,
                                  NextRepeatedSearch + RepeatedSearchSpacing);
    Advice.SearchAgainAt = NextRepeatedSearch;
  }
  std::vector<EndpointId> Named = planAdvice(Need, Candidates);
  Claims.set(Key, claimsOf(Need, Search.Step, Candidates, Named));
  return Named;
}

bool Owner::isUsable(const std::vector<EndpointId> &Asked,
                     const cell::Advice &Result) {
  if (Result.Validity <= TicketMargin)
    return false;
  std::unordered_set<EndpointId> Named(Asked.begin(), Asked.end());
  return std::all_of(Result.Tickets.begin(), Result.Tickets.end(),
                     [&](const auto &Row) { return Named.erase(Row.first); });
}

void Owner::onAdvice(const StepKey &Key, const std::vector<EndpointId> &Asked,
                     TimePoint Sent, const cell::Advice &Result) {
  auto Found = StepAdvices.find(Key);
  TimePoint Now = Clock.now();
  bool IsAnswered = Result.Outcome == AdviceOutcome::Answered;
  bool IsMalformed = IsAnswered && !isUsable(Asked, Result);
  removeClaims(Key);
  if (Result.Outcome != AdviceOutcome::Dropped)
    Log.event(EventName::AdviceAnswered,
              {{"job", Key.Job.str()},
               {"step", std::to_string(Key.Occurrence) + '.' +
                            std::to_string(Key.Step)},
               {"asked", std::to_string(Asked.size())},
               {"allowed", std::to_string(Result.Tickets.size())},
               {"answered", IsAnswered ? "true" : "false"},
               {"malformed", IsMalformed ? "true" : "false"},
               {"valid_for_ms", std::to_string(Result.Validity.count())},
               {"after_ms", std::to_string((Now - Sent).count())}});
  if (IsMalformed)
    Log.count("advice_malformed");
  const JobProgress *Job = jobOf(Key.Job);
  if (Found == StepAdvices.end() || Job == nullptr)
    return;
  StepAdvice &Advice = Found->second;
  Advice.IsInFlight = false;
  if (Result.Outcome == AdviceOutcome::Dropped) {
    Advice.NotBefore = Now + NoCandidatePause;
    return;
  }
  if (!IsAnswered || IsMalformed) {
    Advice.NotBefore = Now + UnansweredPause;
    return requestSchedulingPass();
  }
  recordAdvice(*Job, Advice, Asked, Result);
  requestSchedulingPass();
}

void Owner::recordAdvice(const JobProgress &Job, StepAdvice &Advice,
                         const std::vector<EndpointId> &Asked,
                         const cell::Advice &Result) {
  // The service decides near the end of a call, so the validity starts now. An
  // answer that states a longer validity than the queue's is not relied on.
  Duration Validity = std::min(Result.Validity, LongestValidity);
  Duration Configured = policyOf(Job).TicketValidity;
  if (Configured.count() > 0)
    Validity = std::min(Validity, Configured);
  TimePoint ValidUntil = Clock.now() + Validity - TicketMargin;
  std::unordered_map<EndpointId, std::string> Tickets(Result.Tickets.begin(),
                                                      Result.Tickets.end());
  AllowedCount &Count = AllowedCounts[Job.Spec.Queue];
  for (const EndpointId &Id : Asked) {
    auto Ticket = Tickets.find(Id);
    auto Endpoint = Table.find(Id);
    int64_t IncarnationMs =
        Endpoint == Table.end() ? 0 : Endpoint->second.IncarnationMs;
    EndpointAdvice &Known = Advice.Endpoints[Id];
    // A renewal is always granted, so it is no sample of the allowed share.
    if (!Known.IsAllowed) {
      Count.Asked += 1;
      Count.Allowed += Ticket != Tickets.end() ? 1 : 0;
    }
    Known.IncarnationMs = IncarnationMs;
    Known.IsAllowed = Ticket != Tickets.end();
    Known.Ticket = Known.IsAllowed ? Ticket->second : "";
    Known.ValidUntil = Known.IsAllowed ? ValidUntil : TimePoint();
  }
  if (Count.Asked > ShareWindow)
    Count = {Count.Asked / 2, Count.Allowed / 2};
}

} // namespace teaselwalk::cell
