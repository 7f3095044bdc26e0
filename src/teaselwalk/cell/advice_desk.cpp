#include "teaselwalk/cell/advice_desk.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace teaselwalk::cell {
namespace {

/// Questions that take longer may not use the reserved lanes.
constexpr Duration LongQuestion{150};
/// One lane in this many is reserved for short questions.
constexpr size_t LanesPerShortLane = 4;
/// Added to twice the expected time before a question counts as lost, for the
/// network and for other lanes that the service answers in between.
constexpr Duration AnswerSlack{350};
/// A lane whose question was not answered pauses this long, and twice as long
/// each further time.
constexpr Duration FirstPause{1000};
constexpr Duration LongestPause{8000};
/// While questions wait, the lanes are checked at this interval.
constexpr Duration DispatchRetry{200};
/// A lost question is asked again this many times, through the next free lane.
constexpr int32_t MaxLosses = 2;

} // namespace

void AdviceDesk::setLanes(const std::vector<protocol::Address> &Addresses) {
  std::vector<std::shared_ptr<Lane>> Next;
  for (const protocol::Address &Through : Addresses) {
    auto Same = [&](const std::shared_ptr<Lane> &L) {
      return L->Through == Through;
    };
    auto Kept = std::find_if(Lanes.begin(), Lanes.end(), Same);
    Next.push_back(Kept != Lanes.end()
                       ? *Kept
                       : std::make_shared<Lane>(Lane{Through, false, {}, {}}));
  }
  Lanes.swap(Next);
  dispatch();
}

void AdviceDesk::ask(Question Asked, Callback Done) {
  auto IsLater = [&](const Entry &Other) {
    return std::tie(Asked.IsExcess, Asked.Deadline) <
           std::tie(Other.Asked.IsExcess, Other.Asked.Deadline);
  };
  auto At = std::find_if(Waiting.begin(), Waiting.end(), IsLater);
  Waiting.insert(At, {std::move(Asked), std::move(Done), Clock.now(), 0});
  dispatch();
}

std::shared_ptr<AdviceDesk::Lane> AdviceDesk::freeLane(bool IsLong) {
  size_t Reserved = IsLong && Lanes.size() > 1
                        ? 1 + (Lanes.size() - 1) / LanesPerShortLane
                        : 0;
  // The reserved lanes are the first ones, so short questions fill them first.
  for (size_t I = Reserved; I < Lanes.size(); ++I)
    if (!Lanes[I]->IsBusy && Lanes[I]->AvoidUntil <= Clock.now())
      return Lanes[I];
  return nullptr;
}

void AdviceDesk::dispatch() {
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    std::shared_ptr<Lane> Free = freeLane(It->Asked.Expected > LongQuestion);
    if (!Free) {
      ++It;
      continue;
    }
    Entry Next = std::move(*It);
    It = Waiting.erase(It);
    send(Free, std::move(Next));
  }
  if (Waiting.empty() || RetryScheduled)
    return;
  // No event tells that the pause of a lane is over.
  RetryScheduled = true;
  Clock.after(DispatchRetry, [this, Token = std::weak_ptr<char>(Alive)] {
    if (Token.expired())
      return;
    RetryScheduled = false;
    dispatch();
  });
}

void AdviceDesk::noteOutcome(Lane &Used, AdviceOutcome Outcome) const {
  if (Outcome == AdviceOutcome::Answered) {
    Used.Pause = Duration(0);
    return;
  }
  Used.Pause = std::clamp<Duration>(Used.Pause * 2, FirstPause, LongestPause);
  Used.AvoidUntil = Clock.now() + Used.Pause;
}

void AdviceDesk::send(const std::shared_ptr<Lane> &Free, Entry Next) {
  Free->IsBusy = true;
  Log.time("advice_wait", Clock.now() - Next.Since);
  auto Sent = std::make_shared<Entry>(std::move(Next));
  Service.ask(Free->Through, Sent->Asked.Step, Sent->Asked.Candidates,
              Sent->Asked.Expected * 2 + AnswerSlack,
              [this, Free, Sent, Asked = Clock.now(),
               Token = std::weak_ptr<char>(Alive)](Advice Result) {
                if (Token.expired())
                  return;
                Free->IsBusy = false;
                noteOutcome(*Free, Result.Outcome);
                Log.time("advice_call", Clock.now() - Asked);
                if (Result.Outcome == AdviceOutcome::Unknown &&
                    ++Sent->Losses <= MaxLosses)
                  Waiting.push_front(std::move(*Sent));
                else
                  Sent->Done(std::move(Result));
                dispatch();
              });
}

} // namespace teaselwalk::cell
