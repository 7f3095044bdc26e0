#include "teaselwalk/cell/scheduler_core.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/keys.hpp"

#include <algorithm>
#include <utility>

namespace teaselwalk::cell {
namespace {

StoreMirrorOptions operatorMirrorOptions(const std::string &Prefix) {
  StoreMirrorOptions Options;
  Options.Prefix = Prefix;
  Options.WatchWait = Duration(900);
  return Options;
}

StoreMirrorOptions processMirrorOptions() {
  StoreMirrorOptions Options;
  Options.Prefix = ProcessPrefix;
  Options.IsWatched = false;
  Options.RelistInterval = Duration(2000);
  return Options;
}

/// An owner hands over to a process with many more cores after this time, which
/// is longer than the start of all processes takes.
constexpr Duration FirstYieldDelay{3000};

} // namespace

SchedulerCore::SchedulerCore(const Dependencies &Given,
                             SchedulerCoreOptions GivenOptions)
    : Deps(Given), Options(std::move(GivenOptions)),
      OperatorMirror(Deps.ControlClock, Deps.Storage, Deps.Log,
                     operatorMirrorOptions(Options.OperatorPrefix),
                     [this](const StoreItem &Item) { onOperatorItem(Item); }),
      Registration(Deps.ControlClock, Deps.Storage, Deps.Log,
                   ProcessPrefix + Options.VmName,
                   ProcessRecord{Options.PeerAddress, Options.Cores}.encode()),
      Election(Deps.ControlClock, Deps.Storage, Deps.Log, Deps.Peers,
               {Options.ProcessId,
                {Options.PeerAddress, Options.Cores},
                Options.ClaimDelay},
               {[this](const EpochRecord &Held, int64_t Revision) {
                  onElected(Held, Revision);
                },
                [this](const char *) {
                  ProcessMirror.reset();
                  // Destroyed later, as a method of the owner may be on the
                  // call stack.
                  Deps.Clock.after(Duration(0),
                                   [Gone = std::shared_ptr<Owner>(
                                        std::move(LocalOwner))] {});
                },
                [this] { return Desired.Config.Version > 0; }}),
      Handler(Deps.Clock, Deps.CallerStorage, Deps.Log, *this,
              Options.KeyRevocation,
              {&Desired, [this] { return OperatorMirror.confirmedAt(); },
               [this] { return Registration.storeReachedAt(); },
               Options.DecodeSubmission, Options.Owner.MaxRecordBytes}),
      YieldAfter(FirstYieldDelay) {}

void SchedulerCore::start() {
  OperatorMirror.start();
  Registration.start();
  Election.start();
}

void SchedulerCore::stop() {
  IsStopping = true;
  Election.resign();
  Registration.stop();
}

void SchedulerCore::onOperatorItem(const StoreItem &Item) {
  int64_t Before = Desired.Config.Version;
  try {
    Options.ApplyOperatorItem(Item, Desired);
  } catch (const std::exception &Failure) {
    // The previous configuration stays in force.
    Deps.Log.event(EventName::DocumentRefused,
                   {{"key", Item.Key}, {"reason", Failure.what()}});
    return;
  }
  if (Desired.Config.Version != Before && Options.ConfigurationChanged)
    Options.ConfigurationChanged(Desired.Config);
  if (Desired.Config.Version != Before)
    Deps.Log.event(EventName::DocumentApplied,
                   {{"version", std::to_string(Desired.Config.Version)},
                    {"before", std::to_string(Before)},
                    {"queues", std::to_string(Desired.Config.Queues.size())},
                    {"teams", std::to_string(Desired.Config.Teams.size())}});
  else
    Deps.Log.event(EventName::EvacuationChanged,
                   {{"key", Item.Key},
                    {"revision", std::to_string(Item.Revision)},
                    {"removed", Item.Deleted ? "true" : "false"}});
  if (LocalOwner)
    LocalOwner->desiredStateChanged();
}

void SchedulerCore::onElected(const EpochRecord &Held, int64_t Revision) {
  OwnerHooks Hooks;
  Hooks.OwnershipLost = [this](const char *Reason) {
    Election.stepDown(Reason);
  };
  Hooks.OwnershipConfirmedAt = [this] { return Election.confirmedAt(); };
  Hooks.Desired = &Desired;
  Hooks.DesiredStateConfirmedAt = [this] {
    return OperatorMirror.confirmedAt();
  };
  LocalOwner = std::make_unique<Owner>(
      Deps.Clock, Deps.Storage, Deps.Endpoints, Deps.AdvisoryService, Deps.Log,
      Options.Owner, std::move(Hooks), Held, Revision);
  OtherProcesses.clear();
  OwnerSince = Deps.Clock.now();
  updateAdviceRoutes();
  LocalOwner->start();
  ProcessMirror = std::make_unique<StoreMirror>(
      Deps.Clock, Deps.Storage, Deps.Log, processMirrorOptions(),
      [this](const StoreItem &Item) { onProcessItem(Item); });
  ProcessMirror->start([this] { updateAdviceRoutes(); });
  scheduleYield(YieldAfter);
}

void SchedulerCore::onProcessItem(const StoreItem &Item) {
  std::string Name = Item.Key.substr(std::string(ProcessPrefix).size());
  if (Name == Options.VmName)
    return;
  std::optional<ProcessRecord> Peer;
  if (!Item.Deleted)
    Peer = readProcessRecord(Item, Deps.Log);
  if (Peer)
    OtherProcesses[Name] = *Peer;
  else
    OtherProcesses.erase(Name);
  updateAdviceRoutes();
  scheduleYield(Duration(0));
}

void SchedulerCore::updateAdviceRoutes() {
  if (!LocalOwner)
    return;
  std::vector<protocol::Address> Addresses{{}};
  for (const auto &[Name, Peer] : OtherProcesses)
    Addresses.push_back(Peer.Address);
  LocalOwner->setAdviceRoutes(Addresses);
}

void SchedulerCore::scheduleYield(Duration Delay) {
  Deps.Clock.after(Delay, Alive.guard([this] { yieldToLarger(); }));
}

void SchedulerCore::yieldToLarger() {
  if (!LocalOwner || !LocalOwner->isReady() ||
      Deps.Clock.now() - OwnerSince < YieldAfter)
    return;
  ProcessRecord Own{Options.PeerAddress, Options.Cores};
  bool LargerIsPresent = std::any_of(
      OtherProcesses.begin(), OtherProcesses.end(),
      [&](const auto &Peer) { return hasMuchMoreCores(Peer.second, Own); });
  if (!LargerIsPresent)
    return;
  // Back off, in case the other process does not take over.
  YieldAfter *= 2;
  Election.stepDown("a stronger process is present");
}

JobQueryResult SchedulerCore::localJob(const JobId &Id) const {
  JobQueryResult Answer;
  if (!LocalOwner || !LocalOwner->isReady())
    return Answer;
  Answer.IsAnswered = true;
  std::optional<Owner::JobView> View = LocalOwner->find(Id);
  if (!View)
    return Answer;
  Answer.IsKnown = true;
  Answer.Status = View->Status;
  Answer.Queue = std::move(View->Queue);
  Answer.Team = std::move(View->Team);
  return Answer;
}

PendingQueryResult SchedulerCore::localPending(const std::string &Queue) const {
  if (!LocalOwner || !LocalOwner->isReady())
    return {};
  return {true, LocalOwner->pending(Queue)};
}

void SchedulerCore::job(const JobId &Id,
                        std::function<void(JobQueryResult)> Done) {
  if (LocalOwner)
    return Done(localJob(Id));
  if (!Election.owner() || Election.owner()->ProcessId == Options.ProcessId)
    return Done({});
  Deps.Peers.job(Election.owner()->Process.Address, Id, std::move(Done));
}

void SchedulerCore::pending(const std::string &Queue,
                            std::function<void(PendingQueryResult)> Done) {
  if (LocalOwner)
    return Done(localPending(Queue));
  if (!Election.owner() || Election.owner()->ProcessId == Options.ProcessId)
    return Done({});
  Deps.Peers.pending(Election.owner()->Process.Address, Queue, std::move(Done));
}

} // namespace teaselwalk::cell
