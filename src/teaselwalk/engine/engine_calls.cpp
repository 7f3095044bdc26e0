#include "teaselwalk/engine/engine.hpp"

#include "teaselwalk/config/access.hpp"

#include <algorithm>
#include <utility>

/// Quick calls: access check, choice of a shard, and forwarding to a peer.
namespace teaselwalk::engine {

using protocol::Refusal;

namespace {

struct AccessRule {
  bool NeedsKey;
  cluster::Permission Needs;
};

AccessRule ruleOf(const config::Queue &Queue) {
  bool NeedsKey = Queue.Access == config::QueueAccess::Keyed;
  return {NeedsKey, NeedsKey ? cluster::Permission::AcceptWithKey
                             : cluster::Permission::AcceptOpen};
}

} // namespace

Refusal Engine::checkAccess(const std::string &Key, const QueueId &Queue,
                            TimePoint Now, TeamId &Team,
                            std::string &Message) const {
  auto Refuse = [&](Refusal Reason, const char *Text) {
    Message = Text;
    return Reason;
  };
  if (IsDraining)
    return Refuse(Refusal::ShuttingDown, "this process is shutting down");
  const config::Document &Document = Follower.document();
  const config::Queue *Found = config::findQueue(Document, Queue);
  bool IsFresh = Follower.freshness().allowed(
      Found ? ruleOf(*Found).Needs : cluster::Permission::AcceptOpen, Now);
  if (!IsFresh)
    return Refuse(Refusal::StaleDocument,
                  "the configuration cannot be confirmed at present");
  auto Caller = config::authenticate(Document, Key);
  if (!Caller && (!Key.empty() || !Found || ruleOf(*Found).NeedsKey))
    return Refuse(Refusal::UnknownKey, "no valid team key");
  if (!Found)
    return Refuse(Refusal::NotFound, "no such queue");
  auto Charged = config::chargedTeam(Document, Queue, Caller);
  if (!Charged)
    return Refuse(Refusal::Forbidden, "the team may not use this queue");
  if (dataCentreState() != config::DataCentreState::In)
    return Refuse(Refusal::DataCentreOut, "the data centre takes no new work");
  Team = *Charged;
  return Refusal::None;
}

ShardController *Engine::controllerWithMostRoom(TimePoint Now) {
  ShardController *Best = nullptr;
  int64_t Most = -1;
  for (auto &Row : Controllers) {
    if (!Row.second->hasAuthority(Now))
      continue;
    int64_t Slots = std::max<int64_t>(Row.second->room().Slots, 0);
    if (Slots <= Most)
      continue;
    Most = Slots;
    Best = Row.second.get();
  }
  return Best;
}

void Engine::on(const CallReceived &Event, TimePoint Now) {
  OpenCall Call;
  Call.Request = Event.Call;
  Call.DeadlineAt = Now + Event.Call.Deadline;
  Call.Answer = [this, To = Event.From](const protocol::CallAnswer &Answer) {
    Commands.emit(AnswerCall{To, Answer});
  };
  placeCall(std::move(Call), Now);
}

void Engine::on(const PeerCallReceived &Event, TimePoint Now) {
  OpenCall Call;
  Call.Request = Event.Forwarded.Call;
  Call.Hops = Event.Forwarded.Hops;
  Call.DeadlineAt = Now + Call.Request.Deadline;
  Call.Answer = [this, To = Event.From, PeerToken = Event.PeerToken](
                    const protocol::CallAnswer &Answer) {
    Commands.emit(AnswerPeerCall{To, PeerToken, Answer});
  };
  placeCall(std::move(Call), Now);
}

void Engine::placeCall(OpenCall Call, TimePoint Now) {
  auto Refuse = [&](Refusal Reason, std::string Message, Duration RetryAfter) {
    ++RefusedRequests;
    Commands.emit(
        RecordEvent{EventName::RequestRefused,
                    {{"request", Call.Request.Request.str()},
                     {"reason", std::string(protocol::rowOf(Reason).Name)}}});
    Call.Answer(
        refuseCall(Call.Request, Reason, std::move(Message), RetryAfter));
  };
  std::string Message;
  Refusal Reason = checkAccess(Call.Request.Key, Call.Request.Queue, Now,
                               Call.Team, Message);
  if (Reason != Refusal::None)
    return Refuse(Reason, Message, Duration(0));
  ShardController *Controller = controllerWithMostRoom(Now);
  bool HasRoom = Controller && fits(Call.Request.Size, Controller->room());
  if (!HasRoom && forwardCall(Call, Now))
    return;
  if (!Controller)
    return Refuse(Refusal::Overloaded, "this process holds no shard",
                  Duration(1000));
  if (Controller->openCalls() >= Options.MaxOpenCalls)
    return Refuse(Refusal::Overloaded, "too many open calls", Duration(1000));
  Commands.emit(RecordEvent{
      EventName::CallReceived,
      {{"request", Call.Request.Request.str()}, {"team", Call.Team.str()}}});
  schedule::Admission Result = Controller->admitCall(Call, Now);
  if (!Result)
    Refuse(Result.Reason, Result.Message, Result.RetryAfter);
}

bool Engine::forwardCall(OpenCall &Call, TimePoint Now) {
  Duration Left = Call.DeadlineAt - Now - Options.ForwardMargin;
  if (Call.Hops > 0 || Left <= Duration(0))
    return false;
  const cluster::Member *Best = nullptr;
  for (const auto &Row : Members.members()) {
    const cluster::Member &Item = Row.second;
    bool Usable =
        !Item.Leaving &&
        Members.stateOf(Row.first, Now) == cluster::MemberState::Live &&
        fits(Call.Request.Size, Item.Free);
    if (Usable && (!Best || Item.Free.Slots > Best->Free.Slots))
      Best = &Item;
  }
  if (!Best)
    return false;
  protocol::ForwardedCall Message;
  Message.Call = Call.Request;
  Message.Call.Deadline = Left;
  Message.Hops = Call.Hops + 1;
  Commands.emit(RecordEvent{
      EventName::CallForwarded,
      {{"request", Call.Request.Request.str()}, {"to", Best->Process.str()}}});
  ++ForwardedCalls;
  auto Held = std::make_shared<OpenCall>(std::move(Call));
  CommandId Id = Commands.forwardCall(
      Best->At, std::move(Message),
      [this, Held](const protocol::CallAnswer &Answer, TimePoint) {
        --ForwardedCalls;
        Held->Answer(Answer);
      },
      [this, Held](protocol::Delivery State, TimePoint) {
        --ForwardedCalls;
        protocol::CallAnswer Answer = refuseCall(
            Held->Request, Refusal::Overloaded,
            "the process that the call was forwarded to did not answer",
            Duration(1000));
        Answer.Outcome = protocol::verdictWithoutAnswer(State);
        Held->Answer(Answer);
      });
  ForwardDeadlines.emplace(Held->DeadlineAt, Id);
  return true;
}

void Engine::failExpiredForwards(TimePoint Now) {
  // The peer answers before the deadline unless it died after taking the call.
  while (!ForwardDeadlines.empty() && ForwardDeadlines.begin()->first <= Now) {
    CommandId Id = ForwardDeadlines.begin()->second;
    ForwardDeadlines.erase(ForwardDeadlines.begin());
    if (Commands.isForwarded(Id))
      Commands.onCallFailure({Id, protocol::Delivery::Lost}, Now);
  }
}

void Engine::on(const PeerCallAnswered &Event, TimePoint Now) {
  Commands.onCallAnswer(Event, Now);
}

void Engine::on(const PeerCallFailed &Event, TimePoint Now) {
  Commands.onCallFailure(Event, Now);
}

} // namespace teaselwalk::engine
