#include "teaselwalk/engine/engine.hpp"

#include "teaselwalk/cluster/sharding.hpp"

#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace teaselwalk::engine {

Engine::Engine(EngineOptions Given, TimePoint Now)
    : Options(std::move(Given)), Follower(Options, Commands),
      Members(Options.Self, Options.DataCentre, Options.PeerAddress,
              Options.Seed, Now, Options.Membership),
      Allowances(Options, Commands,
                 [this](const TeamId &Team,
                        const cluster::AllowanceRecord &Record,
                        protocol::StoreVersion Version, TimePoint When) {
                   for (auto &Row : Controllers)
                     Row.second->onAllowanceRecord(Team, Record, Version, When);
                 }) {}

void Engine::handle(const Event &Value, TimePoint Now, Actions &Actions) {
  std::visit([&](const auto &Kind) { on(Kind, Now); }, Value);
  Commands.drainInto(Actions);
}

void Engine::on(const Tick & /*Event*/, TimePoint Now) {
  Follower.tick(Now);
  if (Follower.revision() != AppliedRevision)
    applyDocument(Now);
  if (AppliedRevision > 0)
    Allowances.tick(Now);
  if (Now >= NextVmList) {
    NextVmList = Now + Options.VmListInterval;
    Commands.emit(FetchVmList{});
  }
  failExpiredForwards(Now);
  Members.tick(Now);
  updateOwnershipHints(Now);
  updateStartPermission(Now);
  for (auto &Row : Controllers)
    Row.second->tick(Now);
  sendHeartbeats(Now);
  if (IsDraining)
    advanceDrain(Now);
}

void Engine::on(const EndpointReplied &Event, TimePoint Now) {
  updateStartPermission(Now);
  Commands.onEndpointReply(Event, Now);
}

void Engine::on(const StoreReplied &Event, TimePoint Now) {
  Commands.onStoreReply(Event, Now);
}

void Engine::on(const VmListReceived &Event, TimePoint Now) {
  Vms = Event.Vms;
  std::vector<cluster::Contact> Contacts;
  for (const protocol::VmInfo &Vm : Vms)
    if (Vm.Role == protocol::VmRole::Entry)
      Contacts.push_back({Vm.DataCentre, Vm.At});
  Members.setAddresses(Contacts, Now);
  assignVms(Now);
}

void Engine::on(const HeartbeatReceived &Event, TimePoint Now) {
  const protocol::Heartbeat &Beat = Event.Beat;
  Members.onHeartbeat(Beat, Now);
  if (!Beat.EchoOf.empty())
    return onEcho(Beat, Now);
  if (!Beat.WantsEcho)
    return;
  protocol::Heartbeat Answer = heartbeat(Now);
  Answer.EchoOf = Beat.From;
  Answer.EchoStamp = Beat.Stamp;
  Commands.emit(SendHeartbeat{Beat.At, std::move(Answer)});
}

void Engine::onEcho(const protocol::Heartbeat &Beat, TimePoint Now) {
  TimePoint SentAt = timeAt(Beat.EchoStamp);
  // The stamp of an earlier incarnation of this process is from another clock.
  if (Beat.EchoOf != Options.Self || SentAt > Now)
    return;
  // A negative age means that the peer never confirmed its document.
  if (Beat.Revision > 0 && Beat.DocumentAge.count() >= 0)
    Follower.onPeer(Beat.Revision, Beat.DocumentAge, SentAt);
  for (const protocol::Attestation &Row : Beat.Attestations)
    Follower.freshness().onAttestation(Row, SentAt);
}

void Engine::on(const ProposalReceived &Event, TimePoint Now) {
  Follower.propose(Event, Now);
}

void Engine::on(const DrainRequested & /*Event*/, TimePoint Now) {
  if (IsDraining)
    return;
  IsDraining = true;
  Commands.emit(RecordEvent{EventName::ProcessStopping, {}});
  NextHeartbeat = Now;
}

config::DataCentreState Engine::dataCentreState() const {
  const auto *Centre =
      config::findDataCentre(Follower.document(), Options.DataCentre);
  return Centre ? Centre->State : config::DataCentreState::Out;
}

void Engine::applyDocument(TimePoint Now) {
  AppliedRevision = Follower.revision();
  const config::Document &Document = Follower.document();
  const auto *Own = config::findDataCentre(Document, Options.DataCentre);
  uint32_t Count = Own ? Own->Shards : 0;
  for (uint32_t Number = 0; Number < Count; ++Number)
    if (Controllers.count(Number) == 0)
      Controllers.emplace(Number,
                          std::make_unique<ShardController>(
                              protocol::ShardId{Options.DataCentre, Number},
                              Options, Commands));
  for (auto &Row : Controllers)
    Row.second->setDocument(Document, AppliedRevision);
  assignVms(Now);
}

void Engine::assignVms(TimePoint Now) {
  const auto *Own =
      config::findDataCentre(Follower.document(), Options.DataCentre);
  if (!Own || Vms.empty())
    return;
  std::map<uint32_t, std::vector<protocol::VmInfo>> ByShard;
  std::set<std::string> EntryNames;
  for (const protocol::VmInfo &Vm : Vms) {
    if (Vm.Role == protocol::VmRole::Entry)
      EntryNames.insert(Vm.Name);
    else if (Vm.DataCentre == Options.DataCentre)
      ByShard[cluster::shardOf(EndpointId(Vm.Name), {Own->Shards})].push_back(
          Vm);
  }
  for (auto &Row : Controllers)
    Row.second->setVms(ByShard[Row.first], EntryNames, Now);
}

void Engine::updateOwnershipHints(TimePoint Now) {
  // Before its peers had time to report, this process would take shards that
  // they hold.
  if (!Members.isSettled(Now) || AppliedRevision == 0)
    return;
  for (auto &Row : Controllers)
    Row.second->setOwnershipHint(
        Members.ownershipHint({Options.DataCentre, Row.first}, IsDraining, Now),
        Now);
}

void Engine::updateStartPermission(TimePoint Now) {
  bool IsFresh =
      Follower.freshness().allowed(cluster::Permission::StartTask, Now);
  config::DataCentreState State = dataCentreState();
  for (auto &Row : Controllers) {
    Row.second->setStartsAllowed(IsFresh &&
                                 State == config::DataCentreState::In);
    if (State == config::DataCentreState::Out && AppliedRevision > 0)
      Row.second->stopAll();
  }
}

protocol::Heartbeat Engine::heartbeat(TimePoint Now) const {
  protocol::Heartbeat Beat;
  Beat.From = Options.Self;
  Beat.DataCentre = Options.DataCentre;
  Beat.At = Options.PeerAddress;
  Beat.Leaving = IsDraining;
  Beat.Revision = Follower.revision();
  auto Age = Follower.freshness().age(Now);
  Beat.DocumentAge = Age.value_or(Duration(-1));
  Beat.WantsEcho = !Age || *Age > Options.EchoRequestAge;
  Beat.Attestations = Follower.freshness().attestations(Now);
  Beat.Stamp = Now.time_since_epoch().count();
  for (const auto &Row : Controllers) {
    if (!Row.second->hasAuthority(Now))
      continue;
    Beat.Shards.push_back(Row.first);
    Beat.Free += Row.second->room();
  }
  return Beat;
}

void Engine::sendHeartbeats(TimePoint Now) {
  if (Now < NextHeartbeat)
    return;
  NextHeartbeat = Now + Options.HeartbeatInterval;
  protocol::Heartbeat Beat = heartbeat(Now);
  for (const protocol::Address &To : Members.heartbeatTargets())
    if (To != Options.PeerAddress)
      Commands.emit(SendHeartbeat{To, Beat});
}

void Engine::advanceDrain(TimePoint Now) {
  size_t Open = ForwardedCalls;
  for (const auto &Row : Controllers)
    Open += Row.second->openCalls();
  if (Open > 0 || IsReleasing)
    return;
  IsReleasing = true;
  ReleasedAt = Now;
  for (auto &Row : Controllers)
    Row.second->release(Now);
}

bool Engine::isDrained(TimePoint Now) const {
  if (!IsReleasing)
    return false;
  // Without a live peer no hand-over is possible. The endpoints continue their
  // tasks until the leases expire.
  bool HasSuccessor = !Members.candidates(true, Now).empty();
  if (!HasSuccessor || Now - ReleasedAt >= Options.HandOverTimeout)
    return true;
  for (const auto &Row : Controllers)
    if (!Row.second->released())
      return false;
  return true;
}

config::RunningUsage Engine::running() const {
  config::RunningUsage Sum;
  for (const auto &Row : Controllers)
    Row.second->addRunningUsage(Sum);
  return Sum;
}

bool Engine::isReady(TimePoint Now) const {
  if (IsDraining || AppliedRevision == 0 ||
      !Follower.freshness().allowed(cluster::Permission::StartTask, Now))
    return false;
  for (const auto &Row : Controllers)
    if (Row.second->hasAuthority(Now) && Row.second->hasAllowance())
      return true;
  return false;
}

void Engine::on(const StatusQuery &Event, TimePoint Now) {
  nlohmann::json Shards = nlohmann::json::array();
  for (const auto &Row : Controllers) {
    ShardStatus Value = Row.second->status(Now);
    Shards.push_back(
        {{"shard", Value.Shard.Number},
         {"state", nameOf(cluster::OwnershipStateNames, Value.State)},
         {"epoch", Value.Owner.Counter},
         {"jobs_loaded", Value.JobsLoaded},
         {"endpoints", Value.Endpoints},
         {"unreachable", Value.Unreachable},
         {"queued", Value.Queued},
         {"active", Value.Active},
         {"jobs", Value.Jobs},
         {"free", Value.Free}});
  }
  auto Age = Follower.freshness().age(Now);
  nlohmann::json Json = {
      {"process", Options.Self.str()},
      {"data_centre", Options.DataCentre.str()},
      {"ready", isReady(Now)},
      {"draining", IsDraining},
      {"revision", Follower.revision()},
      {"document_age_ms", Age ? Age->count() : -1},
      {"data_centre_state",
       nameOf(config::DataCentreStateNames, dataCentreState())},
      {"members", Members.members().size()},
      {"refused", RefusedRequests},
      {"dropped_answers", Commands.droppedAnswers()},
      {"store_calls", Commands.storeCalls()},
      {"shards", std::move(Shards)}};
  Commands.emit(AnswerStatus{Event.From, Json.dump()});
}

} // namespace teaselwalk::engine
