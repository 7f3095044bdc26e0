#include "teaselwalk/cell/advice_dispatcher.hpp"

#include "teaselwalk/cell/advice_plan.hpp"

#include <algorithm>
#include <utility>

namespace teaselwalk::cell {
namespace {

/// Long requests may not use the reserved routes: one in this many is reserved
/// for short requests.
constexpr size_t RoutesPerReservedRoute = 4;
/// Added to twice the expected time before a request counts as lost, for the
/// network and for other routes that the service answers in between.
constexpr Duration AnswerSlack{350};
/// A route pauses this long after a request that was refused or not answered,
/// and twice as long each further time.
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

void AdviceDispatcher::ask(AdviceRequest Asked, Callback Done) {
  Order At{Asked.IsOverRate, Asked.IsLate, Asked.Deadline};
  enqueue(At, {std::move(Asked), std::move(Done), Clock.now(), 0});
  dispatch();
}

void AdviceDispatcher::enqueue(const Order &At, Entry Next) {
  bool IsLong = Next.Asked.Expected > LongAdviceRequest;
  Waiting[IsLong].emplace(At, std::move(Next));
}

std::shared_ptr<AdviceDispatcher::Route>
AdviceDispatcher::freeRoute(bool IsLong) {
  size_t Reserved = IsLong && Routes.size() > 1
                        ? 1 + (Routes.size() - 1) / RoutesPerReservedRoute
                        : 0;
  // The reserved routes are the first ones, so short requests fill them first.
  TimePoint Now = Clock.now();
  for (size_t I = Reserved; I < Routes.size(); ++I)
    if (!Routes[I]->IsBusy && Routes[I]->PausedUntil <= Now)
      return Routes[I];
  return nullptr;
}

void AdviceDispatcher::dispatch() {
  while (true) {
    Queue *Next = nullptr;
    std::shared_ptr<Route> Free;
    for (bool IsLong : {false, true}) {
      Queue &Class = Waiting[IsLong];
      bool IsLater = Next != nullptr && !Class.empty() &&
                     Next->begin()->first <= Class.begin()->first;
      std::shared_ptr<Route> Through =
          Class.empty() || IsLater ? nullptr : freeRoute(IsLong);
      if (!Through)
        continue;
      Next = &Class;
      Free = std::move(Through);
    }
    if (Next == nullptr)
      break;
    Entry First = std::move(Next->begin()->second);
    Next->erase(Next->begin());
    send(Free, std::move(First));
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
  Used.PausedUntil = Clock.now() + Used.Pause;
}

void AdviceDispatcher::send(const std::shared_ptr<Route> &Free, Entry Next) {
  std::vector<EndpointId> Asked = Next.Asked.Candidates();
  if (Asked.empty()) {
    Clock.after(Duration(0), [Done = std::move(Next.Done)] {
      Done({}, {AdviceOutcome::Dropped, {}, {}});
    });
    return;
  }
  Free->IsBusy = true;
  Log.time("advice_wait", Clock.now() - Next.QueuedAt);
  auto Sent = std::make_shared<Entry>(std::move(Next));
  AdvisoryService.ask(
      Free->Through, Sent->Asked.Step, Asked,
      Sent->Asked.Expected * 2 + AnswerSlack,
      [this, Free, Sent, Asked, SentAt = Clock.now(),
       Token = std::weak_ptr<char>(Alive)](const Advice &Result) {
        if (Token.expired())
          return;
        Free->IsBusy = false;
        noteOutcome(*Free, Result.Outcome);
        Log.time("advice_call", Clock.now() - SentAt);
        if (Result.Outcome == AdviceOutcome::Unknown &&
            ++Sent->UnansweredCalls <= MaxUnansweredCalls)
          enqueue({false, false, TimePoint::min()}, std::move(*Sent));
        else
          Sent->Done(Asked, Result);
        dispatch();
      });
}

} // namespace teaselwalk::cell
