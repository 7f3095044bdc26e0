#include "world_test.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselwalk::engine {
namespace {

constexpr Duration TickEvery{20};

template <typename... Kinds> struct Overloaded : Kinds... {
  using Kinds::operator()...;
};
template <typename... Kinds> Overloaded(Kinds...) -> Overloaded<Kinds...>;

/// What is stored of the secret "secret".
config::SecretHash makeTestHash() {
  std::string Salt(32, '0');
  return {Salt, config::sha256Hex(Salt + "secret")};
}

config::TeamKey makeTestKey(const std::string &Id) {
  return {KeyId(Id), makeTestHash()};
}

config::Queue
makeQueue(const char *Name, config::QueueClass Class, std::vector<TeamId> Teams,
          config::QueueAccess Access = config::QueueAccess::Keyed) {
  config::Queue Row;
  Row.Name = QueueId(Name);
  Row.Class = Class;
  Row.Teams = std::move(Teams);
  Row.Access = Access;
  Row.Deadline = Duration(60000);
  return Row;
}

} // namespace

config::Document makeDocument(const WorldOptions &Options) {
  config::Document Value;
  config::DataCentre Centre;
  Centre.Name = DataCentreId("dc");
  Centre.Region = "region";
  Centre.Shards = Options.Shards;
  Value.DataCentres.push_back(Centre);
  for (const char *Name : {"blue", "red"}) {
    config::Team Team;
    Team.Name = TeamId(Name);
    Team.Limit = Options.TeamLimit;
    Team.Keys.push_back(makeTestKey(std::string(Name) + "-1"));
    Value.Teams.push_back(Team);
  }
  std::vector<TeamId> Both = {TeamId("blue"), TeamId("red")};
  Value.Queues = {makeQueue("calls", config::QueueClass::Call, Both),
                  makeQueue("batch", config::QueueClass::Batch, Both),
                  makeQueue("watch", config::QueueClass::Service, Both),
                  makeQueue("open", config::QueueClass::Call, {TeamId("red")},
                            config::QueueAccess::Open)};
  config::Operator Person;
  Person.Name = "op";
  Person.Secret = makeTestHash();
  Value.Operators.push_back(Person);
  config::indexKeys(Value);
  return Value;
}

World::World(WorldOptions Given) : Options(Given), Random(Given.Seed) {
  for (size_t I = 0; I < Options.Endpoints; ++I) {
    fakes::EndpointOptions Endpoint;
    Endpoint.Name = "ep-" + std::to_string(I);
    Endpoint.Capacity = Options.Capacity;
    Endpoints[Endpoint.Name] = std::make_unique<fakes::EndpointModel>(Endpoint);
  }
  applyDocument(makeDocument(Options));
  Processes.resize(Options.Processes);
  for (size_t I = 0; I < Options.Processes; ++I) {
    Processes[I].Name = "entry-" + std::to_string(I);
    Processes[I].At = {"10.0.0." + std::to_string(I + 1), 7000};
    startProcess(I);
  }
}

void World::applyDocument(const config::Document &Next) {
  config::NextHead Record =
      config::nextHead(PublishedHead, Published, Next, {"op", 0, "test"});
  auto Write = [&](const std::string &Key, const std::string &Value,
                   protocol::StoreVersion Expected) {
    protocol::StoreRequest Request;
    Request.Operation = protocol::StoreOperation::Write;
    Request.Key = Key;
    Request.Value = Value;
    Request.Expected = Expected;
    return Store.apply(Request, Time);
  };
  if (Record.CopyBefore)
    Write(config::documentKey(Published.Revision),
          config::serialise(Published.Content), 0);
  auto Reply =
      Write(config::HeadKey, config::serialise(Record.Head), HeadVersion);
  ASSERT_EQ(Reply.Status, protocol::StoreStatus::Ok);
  HeadVersion = Reply.Version;
  PublishedHead = Record.Head;
  Published.Revision = Record.Head.Revision;
  Published.Content = Next;
  config::indexKeys(Published.Content);
}

Duration World::delay() {
  std::uniform_int_distribution<int64_t> Spread(Options.MinDelay.count(),
                                                Options.MaxDelay.count());
  return Duration(Spread(Random));
}

void World::post(Duration After, std::function<void()> Deliver) {
  Messages.push({Time + After, NextOrder++, std::move(Deliver)});
}

void World::runFor(Duration Length) {
  TimePoint End = Time + Length;
  while (!Messages.empty() && Messages.top().At <= End) {
    Message Next = Messages.top();
    Messages.pop();
    Time = std::max(Time, Next.At);
    Next.Deliver();
  }
  Time = End;
}

bool World::runUntil(const std::function<bool()> &Done, Duration Limit) {
  TimePoint End = Time + Limit;
  while (!Done()) {
    if (Time >= End)
      return false;
    runFor(TickEvery);
  }
  return true;
}

bool World::allOwned() const {
  std::set<uint32_t> Owned;
  for (const WorldProcess &Process : Processes)
    if (Process.Core && !Process.Paused)
      for (uint32_t Shard : Process.Core->heartbeat(Time).Shards)
        Owned.insert(Shard);
  return Owned.size() == Options.Shards;
}

void World::startProcess(size_t Index) {
  WorldProcess &Process = Processes[Index];
  EngineOptions Core;
  ++Process.Incarnation;
  Core.Self =
      ProcessId(Process.Name + "#" + std::to_string(Process.Incarnation));
  Core.DataCentre = DataCentreId("dc");
  Core.PeerAddress = Process.At;
  Core.Seed = Options.Seed * 100 + Index + Process.Incarnation * 1000;
  Process.Core = std::make_unique<Engine>(Core, Time);
  Process.Paused = false;
  Process.Held.clear();
  tick(Index, Process.Incarnation);
}

void World::killProcess(size_t Index) {
  Processes[Index].Core.reset();
  ++Processes[Index].Incarnation;
  Processes[Index].Held.clear();
}

void World::resumeProcess(size_t Index) {
  Processes[Index].Paused = false;
  auto Held = std::move(Processes[Index].Held);
  Processes[Index].Held.clear();
  for (auto &Deliver : Held)
    Deliver();
}

void World::drainProcess(size_t Index) { giveEvent(Index, DrainRequested{}); }

void World::tick(size_t Index, uint64_t Incarnation) {
  if (Processes[Index].Incarnation != Incarnation)
    return;
  if (!Processes[Index].Paused)
    giveEvent(Index, Tick{});
  post(TickEvery, [this, Index, Incarnation] { tick(Index, Incarnation); });
}

void World::giveEvent(size_t Index, Event Value) {
  WorldProcess &Process = Processes[Index];
  if (!Process.Core)
    return;
  Actions Out;
  Process.Core->handle(Value, Time, Out);
  for (Action &Step : Out)
    perform(Index, Step);
}

void World::deliver(size_t Index, uint64_t Incarnation, Event Value) {
  post(delay(), [this, Index, Incarnation, Value = std::move(Value)] {
    WorldProcess &Process = Processes[Index];
    if (Process.Incarnation != Incarnation)
      return;
    if (!Process.Paused)
      return giveEvent(Index, Value);
    Process.Held.push_back([this, Index, Value] { giveEvent(Index, Value); });
  });
}

void World::perform(size_t Index, Action &Step) {
  uint64_t Incarnation = Processes[Index].Incarnation;
  std::visit(
      Overloaded{[&](const AnswerCall &Value) {
                   EXPECT_EQ(CallAnswers.count(Value.To), 0U)
                       << "answered twice";
                   CallAnswers[Value.To] = Value.Answer;
                 },
                 [&](const AnswerJob &Value) { JobAnswers[Value.To] = Value; },
                 [&](const AnswerJobStatus &Value) {
                   StatusAnswers[Value.To] = Value;
                 },
                 [&](const FetchVmList &) {
                   deliver(Index, Incarnation, VmListReceived{vmList()});
                 },
                 [&](const AnswerStatus &) {}, [&](const AnswerProposal &) {},
                 [&](const RecordEvent &) {},
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
    protocol::StoreReply Reply = Store.apply(Step.Request, Time);
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
  deliver(Index, Incarnation, EndpointReplied{Step.Command, std::move(Reply)});
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
    const auto *Run = std::get_if<protocol::RunCommand>(&Step.Message);
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
      Processes[Index].PeerCuts.count(Processes[Peer].Name) != 0)
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
}

void World::perform(size_t /*Index*/, const AnswerPeerCall &Step) {
  size_t Origin = indexOf(Step.To);
  if (Origin < Processes.size())
    deliver(Origin, Processes[Origin].Incarnation,
            PeerCallAnswered{Step.PeerToken, Step.Answer});
}

size_t World::indexOf(const protocol::Address &At) const {
  for (size_t I = 0; I < Processes.size(); ++I)
    if (Processes[I].At == At)
      return I;
  return Processes.size();
}

std::vector<protocol::VmInfo> World::vmList() const {
  std::vector<protocol::VmInfo> List;
  size_t Number = 0;
  for (const auto &Row : Endpoints) {
    protocol::VmInfo Vm;
    Vm.Name = Row.first;
    Vm.At = {Row.first, 80};
    Vm.DataCentre = DataCentreId("dc");
    Vm.Rack = RackId("rack-" + std::to_string(Number++ % 3));
    if (GoneEndpoints.count(Row.first) == 0)
      List.push_back(Vm);
  }
  for (const WorldProcess &Process : Processes) {
    protocol::VmInfo Vm;
    Vm.Name = Process.Name;
    Vm.At = Process.At;
    Vm.DataCentre = DataCentreId("dc");
    Vm.Role = protocol::VmRole::Entry;
    if (Process.Core)
      List.push_back(Vm);
  }
  return List;
}

Token World::call(size_t Process, const std::string &Payload, bool Idempotent,
                  Duration Deadline, const std::string &Key) {
  CallReceived Event;
  Event.From = NextToken++;
  Event.Call.Request = RequestId("r" + std::to_string(Event.From));
  Event.Call.Key = Key;
  Event.Call.Queue = QueueId("calls");
  Event.Call.Size = {1000, 1000, 0, 1, 1};
  Event.Call.Idempotent = Idempotent;
  Event.Call.Deadline = Deadline;
  Event.Call.Payload = Payload;
  Payloads[Event.From] = Payload;
  Token Id = Event.From;
  giveEvent(Process, Event);
  return Id;
}

Token World::submit(size_t Process, protocol::JobSpec Spec,
                    const std::string &Request) {
  JobReceived Event;
  Event.From = NextToken++;
  Event.Job.Request = RequestId(Request);
  Event.Job.Key = "blue-1.secret";
  Event.Job.Spec = std::move(Spec);
  Token Id = Event.From;
  giveEvent(Process, Event);
  return Id;
}

Token World::query(size_t Process, const JobId &Job) {
  Token Id = NextToken++;
  giveEvent(Process, JobQuery{Id, "blue-1.secret", Job});
  return Id;
}

Token World::cancel(size_t Process, const JobId &Job) {
  Token Id = NextToken++;
  giveEvent(Process, JobCancel{Id, "blue-1.secret", Job});
  return Id;
}

std::map<std::string, std::vector<fakes::RunRecord>> World::runs() const {
  std::map<std::string, std::vector<fakes::RunRecord>> All;
  for (const auto &Row : Endpoints)
    for (const fakes::RunRecord &Record : Row.second->log())
      All[Record.Id.Task.str()].push_back(Record);
  return All;
}

void World::expectNoOverlap() const {
  for (const auto &Row : runs()) {
    std::vector<fakes::RunRecord> Records = Row.second;
    std::sort(Records.begin(), Records.end(),
              [](const fakes::RunRecord &A, const fakes::RunRecord &B) {
                return A.Start < B.Start;
              });
    for (size_t I = 1; I < Records.size(); ++I)
      EXPECT_TRUE(Records[I - 1].End && *Records[I - 1].End <= Records[I].Start)
          << "task " << Row.first << " ran in two places at once";
  }
}

} // namespace teaselwalk::engine
