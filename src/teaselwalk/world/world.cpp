#include "teaselwalk/world/world.hpp"

#include "teaselwalk/base/error.hpp"

#include <algorithm>

/// Start and stop of processes, virtual time, documents and the VM list.
namespace teaselwalk::world {

using namespace engine;

namespace {

constexpr Duration TickEvery{20};

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

DataCentreId centreName(size_t Turn, const WorldOptions &Options) {
  size_t Number = Turn % Options.DataCentres;
  return DataCentreId(Number == 0 ? "dc" : "dc-" + std::to_string(Number));
}

} // namespace

config::Document makeDocument(const WorldOptions &Options) {
  config::Document Value;
  for (size_t I = 0; I < Options.DataCentres; ++I) {
    config::DataCentre Centre;
    Centre.Name = centreName(I, Options);
    Centre.Region = "region";
    Centre.Shards = Options.Shards;
    Value.DataCentres.push_back(Centre);
  }
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
    if (Options.Fault == Sabotage::DoubleCapacity)
      Endpoint.Capacity += Options.Capacity;
    Endpoint.Plain = Options.Fault == Sabotage::TwoOwners;
    Endpoints[Endpoint.Name] = std::make_unique<fakes::EndpointModel>(Endpoint);
  }
  applyDocument(makeDocument(Options));
  Processes.resize(Options.Processes);
  for (size_t I = 0; I < Options.Processes; ++I) {
    Processes[I].Name = "entry-" + std::to_string(I);
    Processes[I].DataCentre = centreName(I, Options);
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
    protocol::StoreReply Reply = Store.apply(Request, Time);
    observeWrite(Request, Reply);
    return Reply;
  };
  if (Record.CopyBefore)
    Write(config::documentKey(Published.Revision),
          config::serialise(Published.Content), 0);
  auto Reply =
      Write(config::HeadKey, config::serialise(Record.Head), HeadVersion);
  if (Reply.Status != protocol::StoreStatus::Ok)
    throw Error("the store did not take the document");
}

void World::observeWrite(const protocol::StoreRequest &Request,
                         const protocol::StoreReply &Reply) {
  bool IsHead = Request.Operation == protocol::StoreOperation::Write &&
                Request.Key == config::HeadKey &&
                Reply.Status == protocol::StoreStatus::Ok;
  if (!IsHead)
    return;
  HeadVersion = Reply.Version;
  PublishedHead = config::parseHead(Request.Value);
  config::advance(Published, PublishedHead);
  Heads.push_back(PublishedHead);
  Documents.push_back({Time, Published.Revision, Published.Content});
  Timeline.push_back(
      std::to_string(Time.time_since_epoch().count()) +
      " store document_written revision=" + std::to_string(Published.Revision));
}

Duration World::delay() {
  std::uniform_int_distribution<int64_t> Spread(Options.MinDelay.count(),
                                                Options.MaxDelay.count());
  Duration Value(Spread(Random));
  if (chance(LatePercent))
    Value += Duration(static_cast<int64_t>(Random() % LongDelay.count()));
  return Value;
}

bool World::chance(int Percent) {
  return Percent > 0 && static_cast<int>(Random() % 100) < Percent;
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
  std::set<protocol::ShardId> Owned;
  for (const WorldProcess &Process : Processes)
    if (Process.Core && !Process.Paused)
      for (uint32_t Shard : Process.Core->heartbeat(Time).Shards)
        Owned.insert({Process.DataCentre, Shard});
  return Owned.size() == Options.Shards * Options.DataCentres;
}

void World::startProcess(size_t Index) {
  WorldProcess &Process = Processes[Index];
  EngineOptions Core;
  ++Process.Incarnation;
  Core.Self =
      ProcessId(Process.Name + "#" + std::to_string(Process.Incarnation));
  Core.DataCentre = Process.DataCentre;
  Core.PeerAddress = Process.At;
  Core.Seed = Options.Seed * 100 + Index + Process.Incarnation * 1000;
  Process.Core = std::make_unique<Engine>(Core, Time);
  Process.Paused = false;
  Process.Draining = false;
  Process.SoundSince = Time;
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

void World::drainProcess(size_t Index) {
  Processes[Index].Draining = true;
  give(Index, DrainRequested{});
}

void World::finishDrain(size_t Index) {
  WorldProcess &Process = Processes[Index];
  bool Ends =
      Process.Core->isDrained(Time) || Options.Fault == Sabotage::KillOnDrain;
  if (!Ends)
    return;
  for (const auto &Row : Calls)
    if (Row.second.Process == Index && !Row.second.Answer &&
        Row.second.Incarnation == Process.Incarnation)
      Interrupted.push_back(Row.second.Request.Request.str());
  killProcess(Index);
}

bool World::isSound(const WorldProcess &Process) const {
  return Process.Core && !Process.Paused && !Process.StoreCut && !StoreDown;
}

void World::heal() {
  StoreDown = false;
  LoseStoreAnswers = LoseRunAnswers = LatePercent = RepeatPercent = 0;
  VmListLag = Duration(0);
  GoneEndpoints.clear();
  for (size_t I = 0; I < Processes.size(); ++I) {
    Processes[I].StoreCut = false;
    Processes[I].EndpointCuts.clear();
    Processes[I].PeerCuts.clear();
    if (!Processes[I].Core)
      startProcess(I);
    else if (Processes[I].Paused)
      resumeProcess(I);
  }
}

void World::setLeaving(const std::string &Endpoint, bool Leaving) {
  std::vector<LeavingFact> &Past = Leaves[Endpoint];
  bool IsLeaving = !Past.empty() && Past.back().Until == TimePoint::max();
  if (IsLeaving == Leaving)
    return;
  if (Leaving)
    Past.push_back({Time});
  else
    Past.back().Until = Time;
  Endpoints.at(Endpoint)->setLeaving(Leaving);
}

void World::crashEndpoint(const std::string &Endpoint) {
  Endpoints.at(Endpoint)->crash(Time);
  watchCalls(Endpoint);
}

/// Hands over an event now, or when the process wakes.
void World::give(size_t Index, const Event &Value) {
  if (!Processes[Index].Paused)
    return giveEvent(Index, Value);
  Processes[Index].Held.push_back(
      [this, Index, Value] { giveEvent(Index, Value); });
}

void World::tick(size_t Index, uint64_t Incarnation) {
  if (Processes[Index].Incarnation != Incarnation)
    return;
  if (!Processes[Index].Paused)
    giveEvent(Index, Tick{});
  if (!isSound(Processes[Index]))
    Processes[Index].SoundSince = Time;
  if (Processes[Index].Draining && !Processes[Index].Paused)
    finishDrain(Index);
  post(TickEvery, [this, Index, Incarnation] { tick(Index, Incarnation); });
}

void World::giveEvent(size_t Index, const Event &Value) {
  WorldProcess &Process = Processes[Index];
  if (!Process.Core)
    return;
  Actions Out;
  Process.Core->handle(Value, Time, Out);
  for (Action &Step : Out)
    perform(Index, Step);
}

void World::deliver(size_t Index, uint64_t Incarnation, Event Value) {
  bool Repeatable = !std::holds_alternative<PeerCallReceived>(Value);
  if (Repeatable && chance(RepeatPercent))
    post(delay() + delay(), [this, Index, Incarnation, Value] {
      if (Processes[Index].Incarnation == Incarnation)
        give(Index, Value);
    });
  post(delay(), [this, Index, Incarnation, Value = std::move(Value)] {
    if (Processes[Index].Incarnation == Incarnation)
      give(Index, Value);
  });
}

void World::advanceEndpoints() {
  for (const auto &Row : Endpoints)
    Row.second->advance(Time);
}

DataCentreId World::centreOf(const std::string &Endpoint) const {
  return centreName(std::stoul(Endpoint.substr(3)), Options);
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
    auto Past = Leaves.find(Row.first);
    bool IsLeaving = Past != Leaves.end() && !Past->second.empty() &&
                     Past->second.back().Until == TimePoint::max() &&
                     Options.Fault != Sabotage::HideLeaving;
    Vm.State = IsLeaving ? protocol::VmState::Leaving : protocol::VmState::Live;
    Vm.DataCentre = centreOf(Row.first);
    Vm.Rack = RackId("rack-" + std::to_string(Number++ % 3));
    if (GoneEndpoints.count(Row.first) == 0)
      List.push_back(Vm);
  }
  for (const WorldProcess &Process : Processes) {
    protocol::VmInfo Vm;
    Vm.Name = Process.Name;
    Vm.At = Process.At;
    Vm.DataCentre = Process.DataCentre;
    Vm.Role = protocol::VmRole::Entry;
    if (Process.Core)
      List.push_back(Vm);
  }
  return List;
}

} // namespace teaselwalk::world
