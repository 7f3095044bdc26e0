#include "owner_limits.hpp"
#include "owner_step_rules.hpp"

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

/// The room that the tasks of \p Need will probably use on each endpoint in
/// \p Named.
RoomClaims::Rows claimsOf(const AdviceNeed &Need, const StepSpec &Step,
                          const std::vector<AdviceCandidate> &Candidates,
                          const std::vector<EndpointId> &Named) {
  std::unordered_set<EndpointId> IsNamed(Named.begin(), Named.end());
  std::vector<std::pair<EndpointId, double>> Tasks;
  double Total = 0;
  for (const AdviceCandidate &Next : Candidates) {
    if (IsNamed.count(*Next.Id) == 0)
      continue;
    double Chance = Next.IsAllowed ? 1 : Need.AllowedShare;
    double Expected = Chance * static_cast<double>(
                                   std::min<int64_t>(Next.Places, Need.Tasks));
    Tasks.emplace_back(*Next.Id, Expected);
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

std::vector<AdviceCandidate> Owner::adviceCandidates(const JobProgress &Job,
                                                     const StepKey &Key,
                                                     const AdviceNeed &Need,
                                                     StepAdvice &Advice) {
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  TimePoint Now = Clock.now();
  StepRules Rules(*this, Job, Key);
  AdviceSearch Search(Table, Claims, Step, Advice, Rules, Now);
  // An opportunistic task prefers the emptiest endpoints.
  std::optional<size_t> Enough =
      Step.Opportunistic ? std::nullopt : sufficientCandidates(Need);
  AdviceSearchResult Found =
      Enough ? Search.findBest(*Enough) : Search.findAll();
  Log.count("advice_plans");
  Log.count("advice_endpoints_examined", Found.Examined);
  if (!Found.HasLabelledRoom) {
    std::string Label = Found.HasRoom ? Step.RequiredLabel : "";
    NoRoomFor[policyOf(Job).Service].push_back(
        {Step.Need, std::move(Label), Now});
  }
  Advice.SearchedUpTo = 0;
  if (Found.Candidates.empty()) {
    Advice.SearchedUpTo = Table.latestGain();
    NextRepeatedSearch = std::max(Now + NoCandidatePause,
                                  NextRepeatedSearch + RepeatedSearchSpacing);
    Advice.SearchAgainAt = NextRepeatedSearch;
  }
  return std::move(Found.Candidates);
}

bool Owner::isSearchPromising(const JobProgress &Job, const StepKey &Key,
                              StepAdvice &Advice) {
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  TimePoint Now = Clock.now();
  // Room is kept for restarts that others do not find.
  if (!isRestart(Job, Key) && hasNoRoom(policyOf(Job).Service, Step))
    return false;
  if (Advice.SearchedUpTo == 0 || Advice.SearchAgainAt <= Now)
    return true;
  noteUsableEndpoints();
  if (Advice.SearchedUpTo < Table.latestGain()) {
    StepRules Rules(*this, Job, Key);
    AdviceSearchResult Found;
    bool IsFound = AdviceSearch(Table, Claims, Step, Advice, Rules, Now)
                       .findsAfter(Advice.SearchedUpTo, Found);
    Log.count("advice_endpoints_examined", Found.Examined);
    if (IsFound)
      return true;
  }
  Advice.SearchedUpTo = Table.latestGain();
  Advice.NotBefore = Now + NoCandidatePause;
  return false;
}

bool Owner::mayAskAdvice(const JobProgress &Job, const StepKey &Key,
                         StepAdvice &Advice) {
  // Room is made for such a step, so it asks before there is any.
  if (isShortOfUrgentRoom(Job, Key))
    return !hasSpareTickets(Job, Key, Advice);
  return isSearchPromising(Job, Key, Advice);
}

void Owner::noteUsableEndpoints() {
  TimePoint Now = Clock.now();
  if (Now - UsableNotedAt < UsableCheckInterval)
    return;
  UsableNotedAt = Now;
  for (EndpointTable::Row &Row : Table.rows()) {
    const TrackedEndpoint &Endpoint = *Row.Endpoint;
    bool IsUsable = mayStartOn(Endpoint, Endpoint.Info.Service, Now) &&
                    !isIsolated(Endpoint, JobId());
    int64_t IncarnationMs = IsUsable ? Endpoint.IncarnationMs : 0;
    if (IsUsable && IncarnationMs != Row.UsableIncarnationMs)
      Table.noteGain(Endpoint);
    Row.UsableIncarnationMs = IncarnationMs;
  }
}

void Owner::removeClaims(const StepKey &Key) {
  for (const auto &[Id, Room] : Claims.remove(Key)) {
    auto Found = Table.find(Id);
    if (Found != Table.end())
      Table.noteGain(Found->second);
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
      Job.stateOf({Key.Job, Key.Occurrence, Key.Step, 0});
  const QueuePolicy &Policy = policyOf(Job);
  AdviceNeed Need;
  Need.Tasks = State.Waiting;
  Need.StartsTogether = Step.Gang;
  Need.AllowedShare = allowedShare(Job.Spec.Queue);
  Need.Base = Policy.AdviceBase;
  Need.PerEndpointMs = Policy.AdvicePerEndpointMs;
  return Need;
}

Duration Owner::longestDelay(const JobProgress &Job) {
  Duration Work = *std::max_element(Job.ChainFrom.begin(), Job.ChainFrom.end());
  return std::max(Job.Spec.Policy.Target,
                  Job.Objective - Job.AcceptedAt - Work);
}

void Owner::askAdvice(const JobProgress &Job, const StepKey &Key,
                      StepAdvice &Advice) {
  TimePoint Now = Clock.now();
  if (Advice.IsInFlight || Advice.NotBefore > Now)
    return;
  if (!mayAskAdvice(Job, Key, Advice))
    return;
  AdviceNeed Need = adviceNeed(Job, Key);
  AdviceRequest Asked;
  Asked.Step = Key;
  Asked.Expected = adviceTime(Need, expectedEndpoints(Need));
  Asked.Deadline = Job.Objective;
  if (isRestart(Job, Key))
    Asked.Urgency = AdviceUrgency::Restart;
  else if (Job.IsOverRate)
    Asked.Urgency = AdviceUrgency::OverRate;
  TimePoint Since =
      Job.stateOf({Key.Job, Key.Occurrence, Key.Step, 0}).WaitingSince;
  bool IsService = Job.Spec.Steps[static_cast<size_t>(Key.Step)].Service;
  if (!IsService)
    Asked.InTimeUntil = Since + longestDelay(Job);
  if (hasObjective(Job, Key))
    Asked.UsefulUntil = Job.worthlessAt();
  else if (!IsService)
    Asked.Deadline = Since + (Job.Objective - Job.AcceptedAt);
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
  // The step is not placed for now, so its tickets would expire.
  if (isLate(*Job, Key) || isHeldBack(*Job, Key))
    return {};
  AdviceNeed Need = adviceNeed(*Job, Key);
  StepAdvice &Advice = Found->second;
  if (Need.Tasks == 0 || !mayAskAdvice(*Job, Key, Advice))
    return {};
  bool IsShort = isShortOfUrgentRoom(*Job, Key);
  if (IsShort)
    Need = urgentNeed(*Job, Key);
  const StepSpec &Step = Job->Spec.Steps[static_cast<size_t>(Key.Step)];
  std::vector<AdviceCandidate> Candidates =
      adviceCandidates(*Job, Key, Need, Advice);
  std::vector<EndpointId> Named = planAdvice(Need, Candidates);
  Claims.set(Key, claimsOf(Need, Step, Candidates, Named));
  if (isRestart(*Job, Key)) {
    reserveRequested(*Job, Key, Need, Named);
    addFuture(*Job, Key, Need, startableRestarts(*Job, Key), Candidates, Named);
  } else if (IsShort) {
    addFuture(*Job, Key, Need, Need.Tasks, Candidates, Named);
  }
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
  if (Found != StepAdvices.end() && Job != nullptr)
    useAdvice(*Job, Key, Found->second, Asked, Result, IsMalformed);
  noteGains(RequestedRoom.remove(Key));
}

void Owner::useAdvice(const JobProgress &Job, const StepKey &Key,
                      StepAdvice &Advice, const std::vector<EndpointId> &Asked,
                      const cell::Advice &Result, bool IsMalformed) {
  TimePoint Now = Clock.now();
  Advice.IsInFlight = false;
  if (Result.Outcome == AdviceOutcome::Dropped) {
    Advice.NotBefore = Now + NoCandidatePause;
    return;
  }
  if (Result.Outcome != AdviceOutcome::Answered || IsMalformed) {
    Advice.NotBefore = Now + UnansweredPause;
    return requestSchedulingPass();
  }
  recordAdvice(Job, Advice, Asked, Result);
  if (isRestart(Job, Key))
    reserveAllowed(Job, Key, &Advice);
  requestStepPass(Key);
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
