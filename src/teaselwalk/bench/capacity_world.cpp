#include "capacity_world.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/base/overloaded.hpp"
#include "teaselwalk/config/access.hpp"
#include "teaselwalk/peers/message.hpp"
#include "teaselwalk/platform/store_client.hpp"
#include "teaselwalk/protocol/vm_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <malloc.h>
#include <utility>

namespace teaselwalk::bench {
namespace {

using engine::Event;
using engine::SendHeartbeat;
using engine::SendToEndpoint;
using engine::SendToStore;
using nlohmann::json;

constexpr Duration TickEvery{20};
constexpr Duration Latency{1}; // One way within a data centre (design 1.2).
// {"jsonrpc":"2.0","id":N,"method":"heartbeat","params":...} in an array.
constexpr size_t RpcRequestBytes = 60;
constexpr size_t RpcAnswerBytes = 95;
const char *const SecretSalt = "00000000000000000000000000000000";

double cpuSeconds() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) +
         static_cast<double>(Now.tv_nsec) / 1e9;
}

DataCentreId centreName(size_t Number) {
  return DataCentreId("dc-" + std::to_string(Number));
}

config::SecretHash secretHash() {
  return {SecretSalt, config::sha256Hex(std::string(SecretSalt) + "secret")};
}

config::Queue makeQueue(const char *Name, config::QueueClass Class,
                        std::vector<TeamId> Teams) {
  config::Queue Row;
  Row.Name = QueueId(Name);
  Row.Class = Class;
  Row.Teams = std::move(Teams);
  Row.Deadline = Duration(60000);
  return Row;
}

config::Document makeDocument(const CapacityOptions &Options) {
  config::Document Value;
  for (size_t I = 0; I < Options.DataCentres; ++I) {
    config::DataCentre Centre;
    Centre.Name = centreName(I);
    Centre.Region = "region-" + std::to_string(I % 7);
    Centre.Shards = Options.Shards;
    Value.DataCentres.push_back(Centre);
  }
  std::vector<TeamId> All;
  for (size_t I = 0; I < Options.Teams; ++I) {
    config::Team Team;
    Team.Name = TeamId("team-" + std::to_string(I));
    Team.Limit = {1000000000, 1000000000, 1000, 1000000, 1000000};
    Team.Keys.push_back({KeyId("key-" + std::to_string(I)), secretHash()});
    All.push_back(Team.Name);
    Value.Teams.push_back(std::move(Team));
  }
  Value.Queues = {makeQueue("calls", config::QueueClass::Call, All),
                  makeQueue("batch", config::QueueClass::Batch, All),
                  makeQueue("services", config::QueueClass::Service, All)};
  Value.Operators.push_back({"op", secretHash()});
  config::indexKeys(Value);
  return Value;
}

size_t storeAnswerBytes(const protocol::StoreReply &Reply) {
  json Rows = json::array();
  for (const protocol::StoreEntry &Row : Reply.Entries)
    Rows.push_back(
        {{"key", Row.Key}, {"value", Row.Value}, {"version", Row.Version}});
  if (!Rows.empty())
    return Rows.dump().size();
  if (Reply.Status == protocol::StoreStatus::Unchanged)
    return 0;
  return json({{"value", Reply.Value}, {"version", Reply.Version}})
      .dump()
      .size();
}

template <typename Answer>
engine::EndpointReply stateReply(const Answer &Value, size_t &Bytes) {
  return std::visit(
      [&](const auto &Kind) -> engine::EndpointReply {
        Bytes = json(Kind).dump().size();
        return Kind;
      },
      Value);
}

engine::EndpointReply runReply(const fakes::RunAnswer &Value) {
  if (std::holds_alternative<fakes::RunRefused>(Value))
    return engine::NoRoom{};
  if (const auto *Stale = std::get_if<protocol::StaleEpoch>(&Value))
    return *Stale;
  if (const auto *Done = std::get_if<protocol::RunResult>(&Value))
    return *Done;
  return engine::RunStarted{};
}

engine::EndpointReply applyTo(fakes::EndpointModel &Model,
                              const engine::EndpointCommand &Message,
                              TimePoint Now, size_t &Bytes) {
  Bytes = 2;
  return std::visit(
      Overloaded{[&](const protocol::AttachCommand &Command) {
                   return stateReply(Model.attach(Command, Now), Bytes);
                 },
                 [&](const protocol::RenewCommand &Command) {
                   return stateReply(Model.renew(Command, Now), Bytes);
                 },
                 [&](const protocol::StopCommand &Command) {
                   return stateReply(Model.stop(Command, Now), Bytes);
                 },
                 [&](const protocol::RunCommand &Command) {
                   return runReply(Model.run(Command, Now));
                 }},
      Message);
}

} // namespace

CapacityWorld::CapacityWorld(CapacityOptions Given)
    : Options(Given), Meters(Given.Processes) {
  for (size_t I = 0; I < Options.Endpoints; ++I) {
    fakes::EndpointOptions Endpoint;
    Endpoint.Name = "endpoint-" + std::to_string(I);
    Endpoints[Endpoint.Name] = std::make_unique<fakes::EndpointModel>(Endpoint);
  }
  for (size_t I = 0; I < Options.Processes; ++I)
    Addresses.push_back({"10.0.0." + std::to_string(I + 1), 7000});
  Vms = vmList();
  VmListBytes = json(Vms).dump().size();
  apply(makeDocument(Options));
  for (size_t I = 0; I < Options.Processes; ++I) {
    engine::EngineOptions Core;
    Core.Self = ProcessId("entry-" + std::to_string(I) + "#1");
    Core.DataCentre = centreName(0);
    Core.PeerAddress = Addresses[I];
    Core.Seed = Options.Seed * 100 + I;
    Cores.push_back(std::make_unique<engine::Engine>(Core, Time));
    tick(I);
  }
}

std::vector<protocol::VmInfo> CapacityWorld::vmList() const {
  std::vector<protocol::VmInfo> List;
  auto Add = [&](const std::string &Name, protocol::Address At, size_t Centre,
                 size_t Rack, protocol::VmRole Role) {
    List.push_back({Name, std::move(At), centreName(Centre),
                    RackId("rack-" + std::to_string(Rack)), Role});
  };
  size_t Number = 0;
  for (const auto &Row : Endpoints)
    Add(Row.first, {Row.first, 80}, 0, Number++ / 8,
        protocol::VmRole::Endpoint);
  for (size_t I = 0; I < Options.Processes; ++I)
    Add("entry-" + std::to_string(I), Addresses[I], 0, I,
        protocol::VmRole::Entry);
  for (size_t Centre = 1; Centre < Options.DataCentres; ++Centre)
    for (size_t I = 0; I < Options.RemoteEndpoints; ++I)
      Add("remote-" + std::to_string(Centre) + "-" + std::to_string(I),
          {"10.1." + std::to_string(Centre) + "." + std::to_string(I), 80},
          Centre, I / 8, protocol::VmRole::Endpoint);
  return List;
}

void CapacityWorld::write(const std::string &Key, const std::string &Value,
                          protocol::StoreVersion Expected) {
  protocol::StoreRequest Request;
  Request.Operation = protocol::StoreOperation::Write;
  Request.Key = Key;
  Request.Value = Value;
  Request.Expected = Expected;
  protocol::StoreReply Reply = Store.apply(Request, Time);
  if (Reply.Status != protocol::StoreStatus::Ok)
    throw Error("the store refused " + Key);
  if (Key == config::HeadKey)
    HeadVersion = Reply.Version;
}

void CapacityWorld::apply(const config::Document &Next) {
  config::NextHead Record =
      config::nextHead(Head, Published, Next, {"op", 0, "capacity"});
  if (Record.CopyBefore)
    write(config::documentKey(Published.Revision),
          config::serialise(Published.Content), 0);
  write(config::HeadKey, config::serialise(Record.Head), HeadVersion);
  Head = Record.Head;
  Published.Revision = Head.Revision;
  Published.Content = Next;
  config::indexKeys(Published.Content);
}

void CapacityWorld::changeDocument() {
  config::Document Next = Published.Content;
  Next.Teams.front().Share = 2 + static_cast<int64_t>(Published.Revision % 9);
  apply(Next);
}

size_t CapacityWorld::documentBytes() const {
  return config::serialise(Published.Content).size();
}

void CapacityWorld::post(Duration After, std::function<void()> Deliver) {
  Messages.push({Time + After, NextOrder++, std::move(Deliver)});
}

void CapacityWorld::runFor(Duration Length) {
  TimePoint End = Time + Length;
  while (!Messages.empty() && Messages.top().At <= End) {
    Message Next = Messages.top();
    Messages.pop();
    Time = std::max(Time, Next.At);
    Next.Deliver();
  }
  Time = End;
}

void CapacityWorld::settle() {
  for (int Second = 0; Second < 60; ++Second) {
    runFor(Duration(1000));
    size_t Held = 0;
    for (const auto &Core : Cores)
      Held += Core->heartbeat(Time).Shards.size();
    if (Held == Options.Shards)
      return runFor(Duration(15000));
  }
  throw Error("no process took the shards in 60 s");
}

size_t CapacityWorld::ownerIndex() const {
  for (size_t I = 0; I < Cores.size(); ++I)
    for (uint32_t Shard : Cores[I]->heartbeat(Time).Shards)
      if (Shard == 0)
        return I;
  throw Error("no process holds shard 0");
}

void CapacityWorld::tick(size_t Index) {
  if (!Cores[Index])
    return;
  give(Index, engine::Tick{});
  post(TickEvery, [this, Index] { tick(Index); });
}

void CapacityWorld::give(size_t Index, const Event &Value) {
  if (!Cores[Index])
    return;
  engine::Actions Steps;
  double Start = cpuSeconds();
  Cores[Index]->handle(Value, Time, Steps);
  double Spent = cpuSeconds() - Start;
  Meter &Own = Meters[Index];
  Own.CpuSeconds += Spent;
  if (!std::holds_alternative<engine::Tick>(Value)) {
    ++Own.Events;
    Own.EventSeconds += Spent;
  }
  for (engine::Action &Step : Steps)
    perform(Index, Step);
}

void CapacityWorld::deliver(size_t Index, Event Value) {
  post(Latency,
       [this, Index, Value = std::move(Value)] { give(Index, Value); });
}

void CapacityWorld::perform(size_t Index, engine::Action &Step) {
  std::visit(
      Overloaded{[&](const SendToEndpoint &Value) { send(Index, Value); },
                 [&](const SendToStore &Value) { send(Index, Value); },
                 [&](const SendHeartbeat &Value) { send(Index, Value); },
                 [&](const engine::FetchVmList &) { sendVmList(Index); },
                 [&](const engine::AnswerCall &Value) {
                   Answered += Value.Answer.Outcome == Verdict::Ran;
                 },
                 [&](const auto &) {}},
      Step);
}

void CapacityWorld::count(size_t Index, Partner Kind, size_t RequestBytes,
                          size_t AnswerBytes) {
  Traffic &Row = Meters[Index].of(Kind);
  HttpOverhead Http;
  ++Row.Messages;
  Row.Bytes += RequestBytes + AnswerBytes + Http.Request + Http.Response;
}

void CapacityWorld::send(size_t Index, const SendToEndpoint &Step) {
  size_t RequestBytes = std::visit(
      [](const auto &Kind) { return json(Kind).dump().size(); }, Step.Message);
  post(Latency, [this, Index, Step, RequestBytes] {
    size_t AnswerBytes = 0;
    engine::EndpointReply Reply =
        applyTo(*Endpoints.at(Step.To.Ip), Step.Message, Time, AnswerBytes);
    count(Index, Partner::Endpoint, RequestBytes, AnswerBytes);
    const auto *Run = std::get_if<protocol::RunCommand>(&Step.Message);
    bool Waits =
        Run && Run->Wait && std::holds_alternative<engine::RunStarted>(Reply);
    if (!Waits)
      return deliver(Index, engine::EndpointReplied{Step.Command, Reply});
    post(Run->RunTime, [this, Index, Step] {
      deliver(Index, engine::EndpointReplied{Step.Command,
                                             protocol::RunResult{true, "ok"}});
    });
  });
}

void CapacityWorld::send(size_t Index, const SendToStore &Step) {
  http::Request Wire = platform::toHttp(Step.Request);
  size_t RequestBytes = Wire.Target.size() + Wire.Body.size();
  post(Latency, [this, Index, Step, RequestBytes] {
    protocol::StoreReply Reply = Store.apply(Step.Request, Time);
    count(Index, Partner::Store, RequestBytes, storeAnswerBytes(Reply));
    deliver(Index, engine::StoreReplied{Step.Command, Reply});
  });
}

void CapacityWorld::send(size_t Index, const SendHeartbeat &Step) {
  peers::Envelope Letter{Step.Beat.From,
                         Step.Beat.At,
                         {1700000000000, 1},
                         peers::HeartbeatMessage{Step.Beat}};
  size_t Bytes = peers::encode(Letter).size() + RpcRequestBytes;
  count(Index, Partner::Peer, Bytes, RpcAnswerBytes);
  for (size_t Peer = 0; Peer < Addresses.size(); ++Peer)
    if (Addresses[Peer] == Step.To) {
      count(Peer, Partner::Peer, Bytes, RpcAnswerBytes);
      deliver(Peer, engine::HeartbeatReceived{Step.Beat});
    }
}

void CapacityWorld::sendVmList(size_t Index) {
  count(Index, Partner::VmList, 0, VmListBytes);
  deliver(Index, engine::VmListReceived{Vms});
}

void CapacityWorld::submit(protocol::JobSpec Spec) {
  engine::JobReceived Event;
  Event.From = NextToken++;
  Event.Job.Request = RequestId("r" + std::to_string(Event.From));
  Event.Job.Key = "key-0.secret";
  Event.Job.Spec = std::move(Spec);
  give(ownerIndex(), Event);
}

void CapacityWorld::call(Duration RunTime) {
  engine::CallReceived Event;
  Event.From = NextToken++;
  Event.Call.Request = RequestId("c" + std::to_string(Event.From));
  Event.Call.Key = "key-0.secret";
  Event.Call.Queue = QueueId("calls");
  Event.Call.Size = {1000, 1000, 0, 1, 1};
  Event.Call.Deadline = Duration(2000);
  Event.Call.Payload =
      json({{"run_ms", RunTime.count()}, {"result", "ok"}}).dump();
  give(ownerIndex(), Event);
}

void CapacityWorld::resetMeters() {
  for (Meter &Own : Meters)
    Own = {};
}

size_t CapacityWorld::runningTasks() const {
  int64_t Slots = 0;
  for (const auto &Row : Endpoints)
    Slots += Row.second->inUse().Slots;
  return static_cast<size_t>(Slots);
}

size_t CapacityWorld::ownerHeapBytes() {
  size_t Index = ownerIndex();
  size_t Before = mallinfo2().uordblks;
  Cores[Index].reset();
  return Before - mallinfo2().uordblks;
}

} // namespace teaselwalk::bench
