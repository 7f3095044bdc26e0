#include "teaselwalk/cell/owner_failure_detector.hpp"

#include <utility>

namespace teaselwalk::cell {
namespace {

/// The owner answers a probe after this time. It limits the number of probes
/// per second; together with the timeout of the call it bounds the time until
/// an unresponsive owner is noticed.
constexpr Duration AnswerDelay{400};
/// An answer may come this much later than asked.
constexpr Duration AnswerSlack{300};
/// Pause after a probe that the owner did not answer.
constexpr Duration ProbePause{100};
/// An owner that answers, but whose scheduler's thread has worked on one item
/// for this long, is stuck. A new owner is then ready before the leases of the
/// tasks end, which the stuck one no longer renews.
constexpr Duration MaxStall{2000};

} // namespace

void OwnerFailureDetector::watch(const std::string &ProcessId,
                                 const protocol::Address &At) {
  if (WatchedId == ProcessId)
    return;
  WatchedId = ProcessId;
  Address = At;
  State = OwnerHealth::Unknown;
  ++Generation;
  probe();
}

void OwnerFailureDetector::stop() {
  WatchedId.clear();
  State = OwnerHealth::Unknown;
  ++Generation;
}

OwnerHealth OwnerFailureDetector::health(const std::string &ProcessId) const {
  return ProcessId == WatchedId ? State : OwnerHealth::Unknown;
}

void OwnerFailureDetector::probe() {
  // A suspected owner is asked to answer without delay.
  bool IsUnhealthy =
      State == OwnerHealth::Suspected || State == OwnerHealth::Dead;
  Duration Wait = IsUnhealthy ? Duration(0) : AnswerDelay;
  Peers.identify(Address, Wait, AnswerSlack * Patience,
                 Alive.guard([this, ProbedIn = Generation](
                                 const std::optional<ProbeAnswer> &Answer) {
                   if (ProbedIn == Generation)
                     onAnswer(Answer);
                 }));
}

OwnerHealth
OwnerFailureDetector::judge(const std::optional<ProbeAnswer> &Answer) const {
  if (!Answer)
    return OwnerHealth::Suspected;
  if (Answer->ProcessId != WatchedId)
    return OwnerHealth::Dead;
  return Answer->StalledFor < MaxStall ? OwnerHealth::Alive
                                       : OwnerHealth::Suspected;
}

void OwnerFailureDetector::onAnswer(const std::optional<ProbeAnswer> &Answer) {
  OwnerHealth Previous = std::exchange(State, judge(Answer));
  if (State == OwnerHealth::Alive)
    return probe();
  if (State != Previous)
    Log.event(EventName::OwnerSuspected,
              {{"process", WatchedId},
               {"health", std::string(nameOf(OwnerHealthNames, State))},
               {"answering", Answer ? Answer->ProcessId : ""},
               {"stalled_ms",
                std::to_string(Answer ? Answer->StalledFor.count() : 0)},
               {"max_stall_ms", std::to_string(MaxStall.count())}});
  Clock.after(ProbePause, Alive.guard([this, ProbedIn = Generation] {
    if (ProbedIn == Generation)
      probe();
  }));
  OnSuspected();
}

} // namespace teaselwalk::cell
