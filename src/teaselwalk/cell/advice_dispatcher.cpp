#include "teaselwalk/cell/advice_dispatcher.hpp"

#include "teaselwalk/cell/advice_plan.hpp"

#include <algorithm>
#include <utility>

namespace teaselwalk::cell {
namespace {

/// Long requests may not use the reserved routes: one in this many is reserved
/// for short requests.
constexpr size_t RoutesPerReservedRoute = 4;
/// Long requests use the reserved routes, except for one in this many, once no
/// short request was handed in for this time.
constexpr size_t ReservedRoutesPerKeptRoute = 2;
constexpr Duration ShortRequestMemory{1000};
/// The request that has waited longest is next once others have got this many
/// times the service's time that it needs.
constexpr int PartsPerOldestPart = 32;
/// Longer times that it needs count as this.
constexpr Duration MostTimeOfOldest{4000};
/// Added to twice the expected time before a request counts as lost, for the
/// network and for other routes that the service answers in between.
constexpr Duration AnswerSlack{350};
/// A call that has not ended this long after its timeout will not end.
constexpr Duration OverdueMargin{500};
/// A route pauses this long after a request that was refused or not answered,
/// and twice as long each further time while other routes are answered.
constexpr Duration FirstPause{1000};
constexpr Duration LongestPause{8000};
/// While requests wait, the routes are checked at this interval.
constexpr Duration DispatchRetry{200};
/// A request without an answer is sent again this many times, each time through
/// the next free route.
constexpr int32_t MaxUnansweredCalls = 2;

} // namespace

void AdviceDispatcher::setRoutes(
    const std::vector<protocol::Address> &Addresses) {
  std::vector<std::shared_ptr<Route>> Next;
  for (const protocol::Address &Through : Addresses) {
    auto Same = [&](const std::shared_ptr<Route> &Known) {
      return Known->Through == Through;
    };
    auto Kept = std::find_if(Routes.begin(), Routes.end(), Same);
    Next.push_back(Kept != Routes.end() ? *Kept
                                        : std::make_shared<Route>(
                                              Route{Through, false, {}, {}}));
  }
  Routes.swap(Next);
  dispatch();
}

void AdviceDispatcher::ask(AdviceRequest Asked, AdviceCallback Done) {
  enqueue({std::move(Asked), std::move(Done), Clock.now(), 0});
  dispatch();
}

void AdviceDispatcher::enqueue(AdviceQueue::Entry Next) {
  bool IsLong = Next.Asked.Expected > LongAdviceRequest;
  if (!IsLong)
    LastShortAt = Clock.now();
  Waiting[IsLong].add(std::move(Next));
}

bool AdviceDispatcher::isFree(const Route &Tried, bool IsAnyAnswered) const {
  Duration Pause =
      IsAnyAnswered ? Tried.Pause : std::min(Tried.Pause, FirstPause);
  return !Tried.IsBusy && Tried.FailedAt + Pause <= Clock.now();
}

std::shared_ptr<AdviceDispatcher::Route>
AdviceDispatcher::freeRoute(bool IsLong) const {
  bool IsAnyAnswered =
      std::any_of(Routes.begin(), Routes.end(),
                  [](const auto &Each) { return Each->Pause.count() == 0; });
  size_t Reserved = IsLong && Routes.size() > 1
                        ? 1 + (Routes.size() - 1) / RoutesPerReservedRoute
                        : 0;
  // The reserved routes are the first ones, so short requests fill them first.
  for (size_t I = Reserved; I < Routes.size(); ++I)
    if (isFree(*Routes[I], IsAnyAnswered))
      return Routes[I];
  if (Reserved == 0 || Clock.now() - LastShortAt < ShortRequestMemory)
    return nullptr;
  std::shared_ptr<Route> Last;
  size_t Idle = 0;
  for (size_t I = 0; I < Reserved; ++I)
    if (isFree(*Routes[I], IsAnyAnswered)) {
      Last = Routes[I];
      ++Idle;
    }
  size_t Kept =
      (Reserved + ReservedRoutesPerKeptRoute - 1) / ReservedRoutesPerKeptRoute;
  return Idle > Kept ? Last : nullptr;
}

AdviceDispatcher::Choice AdviceDispatcher::chooseFirst() {
  Choice Found;
  for (bool IsLong : {false, true}) {
    AdviceQueue &Class = Waiting[IsLong];
    std::shared_ptr<Route> Free = Class.isEmpty() ? nullptr : freeRoute(IsLong);
    if (!Free)
      continue;
    AdviceQueue::Place First = Class.first(Clock.now());
    bool IsBefore = std::tie(First.Urgency, First.Deadline) <
                    std::tie(Found.At.Urgency, Found.At.Deadline);
    // Then `Found` is a short request.
    if (PrefersShort && Found.From != nullptr)
      IsBefore = Found.At.Urgency > AdviceUrgency::Late ||
                 First.Urgency == AdviceUrgency::Restart;
    if (Found.From == nullptr || IsBefore)
      Found = {&Class, First, std::move(Free)};
  }
  return Found;
}

AdviceDispatcher::Choice AdviceDispatcher::chooseOldest() {
  for (bool IsLong : {false, true}) {
    AdviceQueue &Class = Waiting[IsLong];
    std::shared_ptr<Route> Free = Class.isEmpty() ? nullptr : freeRoute(IsLong);
    if (!Free)
      continue;
    AdviceQueue::Place Oldest = Class.oldest();
    Duration Needed =
        std::min<Duration>(Class.at(Oldest).Asked.Expected, MostTimeOfOldest);
    if (TimeOfOthers[IsLong] < Needed * PartsPerOldestPart)
      continue;
    TimeOfOthers[IsLong] = Duration(0);
    return {&Class, Oldest, std::move(Free)};
  }
  return {};
}

bool AdviceDispatcher::sendNext() {
  Choice Next = chooseOldest();
  if (Next.From == nullptr)
    Next = chooseFirst();
  if (Next.From == nullptr)
    return false;
  send(Next.Through, Next.From->take(Next.At));
  return true;
}

void AdviceDispatcher::dispatch() {
  while (sendNext()) {
  }
  if (waiting() == 0 || IsRetryScheduled)
    return;
  // Nothing calls `dispatch` when the pause of a route ends.
  IsRetryScheduled = true;
  Clock.after(DispatchRetry, [this, Token = std::weak_ptr<char>(Alive)] {
    if (Token.expired())
      return;
    IsRetryScheduled = false;
    dispatch();
  });
}

void AdviceDispatcher::noteOutcome(Route &Used, AdviceOutcome Outcome) const {
  if (Outcome == AdviceOutcome::Answered) {
    Used.Pause = Duration(0);
    return;
  }
  Used.Pause = std::clamp<Duration>(Used.Pause * 2, FirstPause, LongestPause);
  Used.FailedAt = Clock.now();
}

std::vector<EndpointId>
AdviceDispatcher::candidatesOf(const AdviceQueue::Entry &Next) const {
  try {
    return Next.Asked.Candidates();
  } catch (const std::exception &Failure) {
    // Without an answer the step would wait for ever.
    Log.event(EventName::JobSetAside,
              {{"job", Next.Asked.Step.Job.str()}, {"reason", Failure.what()}});
    return {};
  }
}

void AdviceDispatcher::send(const std::shared_ptr<Route> &Free,
                            AdviceQueue::Entry Next) {
  std::vector<EndpointId> Asked = candidatesOf(Next);
  if (Asked.empty()) {
    Clock.after(Duration(0), [Done = std::move(Next.Done)] {
      Done({}, {AdviceOutcome::Dropped, {}, {}});
    });
    return;
  }
  for (Duration &Time : TimeOfOthers)
    Time += Next.Asked.Expected;
  Free->IsBusy = true;
  Log.time("advice_wait", Clock.now() - Next.QueuedAt);
  Duration Timeout = Next.Asked.Expected * 2 + AnswerSlack;
  TimePoint Now = Clock.now();
  auto Call = std::make_shared<OpenCall>(
      OpenCall{Free, std::move(Next), std::move(Asked), Now,
               Now + Timeout + OverdueMargin});
  OpenCalls.push_back(Call);
  AdvisoryService.ask(
      Free->Through, Call->Sent.Asked.Step, Call->Asked, Timeout,
      [this, Call, Token = std::weak_ptr<char>(Alive)](const Advice &Result) {
        if (!Token.expired())
          end(Call, Result);
      });
}

void AdviceDispatcher::end(const std::shared_ptr<OpenCall> &Call,
                           const Advice &Result) {
  auto Found = std::find(OpenCalls.begin(), OpenCalls.end(), Call);
  if (Found == OpenCalls.end())
    return;
  OpenCalls.erase(Found);
  Call->Through->IsBusy = false;
  noteOutcome(*Call->Through, Result.Outcome);
  Log.time("advice_call", Clock.now() - Call->SentAt);
  if (Result.Outcome == AdviceOutcome::Unknown &&
      ++Call->Sent.UnansweredCalls <= MaxUnansweredCalls) {
    Call->Sent.Asked.Deadline = TimePoint::min();
    enqueue(std::move(Call->Sent));
  } else {
    Call->Sent.Done(Call->Asked, Result);
  }
  dispatch();
}

void AdviceDispatcher::endOverdue() {
  TimePoint Now = Clock.now();
  std::vector<std::shared_ptr<OpenCall>> Overdue;
  for (const std::shared_ptr<OpenCall> &Call : OpenCalls)
    if (Call->OverdueAt <= Now)
      Overdue.push_back(Call);
  for (const std::shared_ptr<OpenCall> &Call : Overdue) {
    Log.count("advice_overdue");
    end(Call, {});
  }
}

} // namespace teaselwalk::cell
