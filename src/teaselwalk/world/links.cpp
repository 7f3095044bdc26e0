#include "teaselwalk/base/overloaded.hpp"
#include "teaselwalk/world/world.hpp"

#include <algorithm>

/// Messages between processes, store, endpoints and peers.
namespace teaselwalk::world {

using namespace engine;

namespace {

constexpr Duration ForwardPatience{1000};

} // namespace

void World::perform(size_t Index, Action &Step) {
  uint64_t Incarnation = Processes[Index].Incarnation;
  std::visit(Overloaded{[&](const AnswerCall &Value) { answer(Value); },
                        [&](const AnswerJob &Value) {
                          JobAnswers[Value.To] = Value;
                          if (!Jobs[Value.To].Answer)
                            Jobs[Value.To].Answer = Value;
                        },
                        [&](const AnswerJobStatus &Value) {
                          StatusAnswers[Value.To] = Value;
                        },
                        [&](const AnswerProposal &Value) {
                          Proposals[Value.To].Answer = Value;
                        },
                        [&](const FetchVmList &) {
                          VmLists.emplace_back(Time, vmList());
                          size_t Shown = VmLists.size() - 1;
                          while (Shown > 0 &&
                                 VmLists[Shown].first > Time - VmListLag)
                            --Shown;
                          deliver(Index, Incarnation,
                                  VmListReceived{VmLists[Shown].second});
                        },
                        [&](const AnswerStatus &) {},
                        [&](const RecordEvent &Value) { record(Index, Value); },
                        [&](const auto &Message) { perform(Index, Message); }},
             Step);
}

void World::perform(size_t Index, const SendToStore &Step) {
  uint64_t Incarnation = Processes[Index].Incarnation;
  protocol::StoreReply Failed;
  Failed.Status = protocol::StoreStatus::NotSent;
  if (StoreDown || Processes[Index].StoreCut)
    return deliver(Index, Incarnation, StoreReplied{Step.Command, Failed});
  post(delay(), [this, Index, Incarnation, Step, Failed]() mutable {
    if (StoreDown)
      return deliver(Index, Incarnation, StoreReplied{Step.Command, Failed});
    protocol::StoreReply Reply = applyToStore(Step.Request);
    bool IsWrite = Step.Request.Operation == protocol::StoreOperation::Write;
    if (IsWrite && LoseStoreAnswers > 0) {
      --LoseStoreAnswers;
      Failed.Status = protocol::StoreStatus::Lost;
      Reply = Failed;
    }
    deliver(Index, Incarnation, StoreReplied{Step.Command, Reply});
  });
}

void World::replyFromEndpoint(size_t Index, uint64_t Incarnation,
                              const SendToEndpoint &Step, EndpointReply Reply) {
  EndpointReplied Answer;
  Answer.Command = Step.Command;
  Answer.Reply = std::move(Reply);
  deliver(Index, Incarnation, Event(Answer));
}

protocol::StoreReply
World::applyToStore(const protocol::StoreRequest &Request) {
  bool IsHead = Request.Key == config::HeadKey;
  bool IsWrite = Request.Operation == protocol::StoreOperation::Write;
  if (IsHead && IsWrite && Options.Fault == Sabotage::DropChange)
    return {protocol::StoreStatus::Ok, HeadVersion + 1, {}, {}};
  if (IsHead && !IsWrite && Options.Fault == Sabotage::HideDocument) {
    if (FirstHead.Version == 0)
      FirstHead = Store.apply(Request, Time);
    protocol::StoreReply Reply = FirstHead;
    if (Request.Unless == Reply.Version)
      Reply.Status = protocol::StoreStatus::Unchanged;
    return Reply;
  }
  protocol::StoreReply Reply = Store.apply(Request, Time);
  observeWrite(Request, Reply);
  return Reply;
}

void World::record(size_t Index, const RecordEvent &Value) {
  std::string Line = std::to_string(Time.time_since_epoch().count()) + ' ' +
                     Processes[Index].Name + ' ' +
                     std::string(nameOf(EventNames, Value.Name));
  for (const auto &Field : Value.Fields)
    Line += ' ' + Field.first + '=' + Field.second;
  Timeline.push_back(std::move(Line));
}

/// Wrong starts that an endpoint makes beside a correct one.
void World::sabotageRun(const std::string &Name,
                        const protocol::RunCommand &Run) {
  fakes::EndpointModel &Model = *Endpoints.at(Name);
  protocol::RunCommand Extra = Run;
  if (Options.Fault == Sabotage::GhostTask) {
    for (int I = 0; I < 4; ++I) {
      Extra.Id.Task = TaskId(std::to_string(I) + "/" + Run.Id.Task.str());
      Model.run(Extra, Time);
    }
  }
  if (Options.Fault == Sabotage::RunAgain) {
    Extra.Id.Number += 1000;
    post(Duration(2000),
         [this, Name, Extra] { Endpoints.at(Name)->run(Extra, Time); });
  }
}

void World::sabotageState(const EndpointCommand &Message,
                          EndpointReply &Reply) const {
  auto *State = std::get_if<protocol::EndpointState>(&Reply);
  if (State && Options.Fault == Sabotage::TwoOwners)
    State->Owner =
        std::visit([](const auto &Command) { return Command.Owner; }, Message);
  if (State && Options.Fault == Sabotage::HideLeaving)
    State->Leaving = false;
}

EndpointReply World::applyCommand(fakes::EndpointModel &Model,
                                  const EndpointCommand &Message) {
  auto FromState = [](const fakes::StateAnswer &Answer) -> EndpointReply {
    if (const auto *State = std::get_if<protocol::EndpointState>(&Answer))
      return *State;
    return std::get<protocol::StaleEpoch>(Answer);
  };
  return std::visit(
      Overloaded{
          [&](const protocol::AttachCommand &Command) {
            return FromState(Model.attach(Command, Time));
          },
          [&](const protocol::RenewCommand &Command) {
            return FromState(Model.renew(Command, Time));
          },
          [&](const protocol::StopCommand &Command) -> EndpointReply {
            auto Answer = Model.stop(Command, Time);
            if (const auto *Result = std::get_if<protocol::StopResult>(&Answer))
              return *Result;
            return std::get<protocol::StaleEpoch>(Answer);
          },
          [&](const protocol::RunCommand &Command) -> EndpointReply {
            fakes::RunAnswer Answer = Model.run(Command, Time);
            if (std::holds_alternative<fakes::RunRefused>(Answer))
              return NoRoom{};
            if (const auto *Stale = std::get_if<protocol::StaleEpoch>(&Answer))
              return *Stale;
            if (const auto *Done = std::get_if<protocol::RunResult>(&Answer))
              return *Done;
            if (std::holds_alternative<fakes::RunForgotten>(Answer))
              return CommandFailed{};
            return RunStarted{};
          }},
      Message);
}

void World::perform(size_t Index, const SendToEndpoint &Step) {
  uint64_t Incarnation = Processes[Index].Incarnation;
  std::string Name = Step.To.Ip;
  WorldProcess &Process = Processes[Index];
  auto Fail = [this, Index, Incarnation, Step](protocol::Delivery How) {
    CommandFailed Failed;
    Failed.State = How;
    Failed.Outcome = protocol::verdictWithoutAnswer(How);
    replyFromEndpoint(Index, Incarnation, Step, Failed);
  };
  bool IsCut =
      Process.EndpointCuts.count(Name) != 0 || GoneEndpoints.count(Name) != 0;
  if (IsCut)
    return post(Step.Timeout, [Fail] { Fail(protocol::Delivery::NotSent); });
  post(delay(), [this, Index, Incarnation, Step, Name, Fail] {
    fakes::EndpointModel &Model = *Endpoints.at(Name);
    EndpointReply Reply = applyCommand(Model, Step.Message);
    sabotageState(Step.Message, Reply);
    const auto *Run = std::get_if<protocol::RunCommand>(&Step.Message);
    bool Started = Run && std::holds_alternative<RunStarted>(Reply);
    if (Started)
      sabotageRun(Name, *Run);
    if (Started && Options.Fault == Sabotage::LieNotSent)
      return Fail(protocol::Delivery::NotSent);
    bool CutNow = Processes[Index].EndpointCuts.count(Name) != 0;
    if (CutNow)
      return post(Step.Timeout, [Fail] { Fail(protocol::Delivery::Lost); });
    if (Run && LoseRunAnswers > 0) {
      --LoseRunAnswers;
      return post(Step.Timeout, [Fail] { Fail(protocol::Delivery::Lost); });
    }
    bool Waits = Run && Run->Wait && std::holds_alternative<RunStarted>(Reply);
    if (!Waits) {
      replyFromEndpoint(Index, Incarnation, Step, Reply);
      return watchCalls(Name);
    }
    // The caller's patience ends at the timeout, whatever the task does.
    auto IsOpen = std::make_shared<bool>(true);
    Waiters.push_back(
        {Name, Run->Id,
         [this, Index, Incarnation, Step, IsOpen](EndpointReply Result) {
           if (!*IsOpen)
             return;
           *IsOpen = false;
           replyFromEndpoint(Index, Incarnation, Step, std::move(Result));
         }});
    post(Step.Timeout, [IsOpen, Fail] {
      if (!*IsOpen)
        return;
      *IsOpen = false;
      Fail(protocol::Delivery::Lost);
    });
    watchCalls(Name);
  });
}

void World::watchCalls(const std::string &Name) {
  fakes::EndpointModel &Model = *Endpoints.at(Name);
  Model.advance(Time);
  for (const fakes::EndedAttempt &Ended : Model.takeEnded())
    for (auto It = Waiters.begin(); It != Waiters.end(); ++It) {
      if (It->Endpoint != Name || !(It->Id == Ended.Id))
        continue;
      if (Ended.Why == fakes::RunEnd::Crashed)
        It->Reply(CommandFailed{});
      else
        It->Reply(Ended.Result);
      Waiters.erase(It);
      break;
    }
  if (auto Next = Model.nextEnd())
    post(std::max(*Next - Time, Duration(1)), [this, Name] {
      if (Endpoints.count(Name) != 0)
        watchCalls(Name);
    });
}

void World::perform(size_t Index, const SendHeartbeat &Step) {
  size_t Peer = indexOf(Step.To);
  if (Peer >= Processes.size() ||
      Processes[Index].PeerCuts.count(Processes[Peer].Name) != 0 ||
      Options.Fault == Sabotage::TwoOwners)
    return;
  deliver(Peer, Processes[Peer].Incarnation, HeartbeatReceived{Step.Beat});
}

void World::perform(size_t Index, const ForwardCall &Step) {
  size_t Peer = indexOf(Step.To);
  uint64_t Incarnation = Processes[Index].Incarnation;
  bool Reachable = Peer < Processes.size() && Processes[Peer].Core &&
                   Processes[Index].PeerCuts.count(Processes[Peer].Name) == 0;
  if (!Reachable)
    return deliver(Index, Incarnation,
                   PeerCallFailed{Step.Command, protocol::Delivery::NotSent});
  PeerCallReceived Call{Processes[Index].At, Step.Command, Step.Forwarded};
  deliver(Peer, Processes[Peer].Incarnation, Call);
  // The transport gives up some time after the deadline of the call.
  post(Step.Forwarded.Call.Deadline + ForwardPatience,
       [this, Index, Incarnation, Command = Step.Command] {
         deliver(Index, Incarnation,
                 PeerCallFailed{Command, protocol::Delivery::Lost});
       });
}

void World::perform(size_t /*Index*/, const AnswerPeerCall &Step) {
  size_t Origin = indexOf(Step.To);
  if (Origin < Processes.size())
    deliver(Origin, Processes[Origin].Incarnation,
            PeerCallAnswered{Step.PeerToken, Step.Answer});
}

} // namespace teaselwalk::world
