#include "teaselwalk/cell/owner_watch.hpp"

#include <utility>

namespace teaselwalk::cell {
namespace {

/// The owner answers a probe after this time. It limits the number of probes
/// per second; together with the timeout of the call it bounds the time until
/// an unresponsive owner is noticed.
constexpr Duration AnswerDelay{400};
/// Pause after a probe that the owner did not answer.
constexpr Duration AskAgain{100};

} // namespace

void OwnerWatch::follow(const std::string &Process,
                        const protocol::Address &At) {
  if (Watched == Process)
    return;
  Watched = Process;
  Address = At;
  State = OwnerHealth::Unknown;
  ++Round;
  ask();
}

void OwnerWatch::stop() {
  Watched.clear();
  State = OwnerHealth::Unknown;
  ++Round;
}

OwnerHealth OwnerWatch::health(const std::string &Process) const {
  return Process == Watched ? State : OwnerHealth::Unknown;
}

void OwnerWatch::ask() {
  // A suspected owner is asked to answer without delay.
  bool IsDoubtful =
      State == OwnerHealth::Suspected || State == OwnerHealth::Dead;
  Duration Wait = IsDoubtful ? Duration(0) : AnswerDelay;
  Peers.identify(Address, Wait,
                 Alive.guard([this, Asked = Round](
                                 const std::optional<std::string> &Answering) {
                   if (Asked == Round)
                     onAnswer(Answering);
                 }));
}

void OwnerWatch::onAnswer(const std::optional<std::string> &Answering) {
  OwnerHealth Before = State;
  if (!Answering)
    State = OwnerHealth::Suspected;
  else
    State = *Answering == Watched ? OwnerHealth::Alive : OwnerHealth::Dead;
  if (State == OwnerHealth::Alive)
    return ask();
  if (State != Before)
    Log.event(EventName::OwnerSuspected,
              {{"process", Watched},
               {"health", std::string(nameOf(OwnerHealthNames, State))},
               {"answering", Answering.value_or("")}});
  Clock.after(AskAgain, Alive.guard([this, Asked = Round] {
    if (Asked == Round)
      ask();
  }));
  Suspected();
}

} // namespace teaselwalk::cell
