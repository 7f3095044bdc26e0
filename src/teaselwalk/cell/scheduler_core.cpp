#include "teaselwalk/cell/scheduler_core.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/keys.hpp"

#include <algorithm>
#include <utility>

namespace teaselwalk::cell {
namespace {

StoreMirrorOptions operatorOptions(const std::string &Prefix) {
  StoreMirrorOptions Options;
  Options.Prefix = Prefix;
  Options.WatchWait = Duration(900);
  return Options;
}

StoreMirrorOptions processOptions() {
  StoreMirrorOptions Options;
  Options.Prefix = ProcessPrefix;
  Options.IsWatched = false;
  Options.RelistInterval = Duration(2000);
  return Options;
}

/// An owner hands over to a process with many more cores after this time, which
/// is longer than a start of all processes takes.
constexpr Duration FirstYield{3000};

} // namespace

SchedulerCore::SchedulerCore(const Dependencies &Given,
                             SchedulerCoreOptions GivenOptions)
    : Around(Given), Options(std::move(GivenOptions)),
      Operators(Around.Clock, Around.Source, Around.Log,
                operatorOptions(Options.OperatorPrefix),
                [this](const StoreItem &Item) { onInstruction(Item); }),
      Registration(Around.Clock, Around.Source, Around.Log,
                   ProcessPrefix + Options.Name,
                   ProcessRecord{Options.PeerAddress, Options.Cores}.encode()),
      Election(Around.Clock, Around.Source, Around.Log, Around.Peers,
               {Options.Process,
                {Options.PeerAddress, Options.Cores},
                Options.ClaimDelay},
               {[this](const EpochRecord &Held, int64_t Revision) {
                  gained(Held, Revision);
                },
                [this](const char *) {
                  Processes.reset();
                  // Destroyed later, as a method of the owner may be on the
                  // call stack.
                  Around.Clock.after(
                      Duration(0),
                      [Gone = std::shared_ptr<Owner>(std::move(Jobs))] {});
                },
                [this] { return Current.Config.Version > 0; }}),
      Requests(Around.Clock, Around.Source, Around.Log, *this,
               Options.KeyRevocation,
               {&Current, [this] { return Operators.confirmedAt(); },
                [this] { return Registration.storeReachedAt(); },
                Options.DecodeSubmission}),
      YieldAfter(FirstYield) {}

void SchedulerCore::start() {
  Operators.start();
  Registration.start();
  Election.start();
}

void SchedulerCore::stop() {
  Stopping = true;
  Election.resign();
  Registration.stop();
}

void SchedulerCore::onInstruction(const StoreItem &Item) {
  int64_t Before = Current.Config.Version;
  try {
    Options.ApplyOperatorItem(Item, Current);
  } catch (const std::exception &Failure) {
    // The previous configuration stays in force.
    Around.Log.event(EventName::DocumentRefused,
                     {{"key", Item.Key}, {"reason", Failure.what()}});
    return;
  }
  if (Current.Config.Version != Before)
    Around.Log.event(EventName::DocumentApplied,
                     {{"version", std::to_string(Current.Config.Version)},
                      {"before", std::to_string(Before)},
                      {"queues", std::to_string(Current.Config.Queues.size())},
                      {"teams", std::to_string(Current.Config.Teams.size())}});
  else
    Around.Log.event(EventName::EvacuationChanged,
                     {{"key", Item.Key},
                      {"revision", std::to_string(Item.Revision)},
                      {"removed", Item.Deleted ? "true" : "false"}});
  if (Jobs)
    Jobs->desiredStateChanged();
}

void SchedulerCore::gained(const EpochRecord &Held, int64_t Revision) {
  OwnerHooks Hooks;
  Hooks.Deposed = [this](const char *Reason) { Election.stepDown(Reason); };
  Hooks.ConfirmedAt = [this] { return Election.confirmedAt(); };
  Hooks.Current = &Current;
  Hooks.DesiredStateConfirmedAt = [this] { return Operators.confirmedAt(); };
  Jobs = std::make_unique<Owner>(Around.Clock, Around.Source, Around.Workers,
                                 Around.Service, Around.Log, Options.Owner,
                                 std::move(Hooks), Held, Revision);
  Peers.clear();
  OwnerSince = Around.Clock.now();
  updateLanes();
  Jobs->start();
  Processes = std::make_unique<StoreMirror>(
      Around.Clock, Around.Source, Around.Log, processOptions(),
      [this](const StoreItem &Item) { onProcess(Item); });
  Processes->start([this] { updateLanes(); });
  yieldLater(YieldAfter);
}

void SchedulerCore::onProcess(const StoreItem &Item) {
  std::string Name = Item.Key.substr(std::string(ProcessPrefix).size());
  if (Name == Options.Name)
    return;
  std::optional<ProcessRecord> Peer;
  if (!Item.Deleted)
    Peer = readProcessRecord(Item, Around.Log);
  if (Peer)
    Peers[Name] = *Peer;
  else
    Peers.erase(Name);
  updateLanes();
  yieldLater(Duration(0));
}

void SchedulerCore::updateLanes() {
  if (!Jobs)
    return;
  std::vector<protocol::Address> Lanes{{}};
  for (const auto &[Name, Peer] : Peers)
    Lanes.push_back(Peer.Address);
  Jobs->setLanes(Lanes);
}

void SchedulerCore::yieldLater(Duration Delay) {
  Around.Clock.after(Delay, Alive.guard([this] { yieldToLarger(); }));
}

void SchedulerCore::yieldToLarger() {
  if (!Jobs || !Jobs->isReady() || Around.Clock.now() - OwnerSince < YieldAfter)
    return;
  ProcessRecord Own{Options.PeerAddress, Options.Cores};
  bool LargerIsPresent =
      std::any_of(Peers.begin(), Peers.end(), [&](const auto &Peer) {
        return hasMuchMoreCores(Peer.second, Own);
      });
  if (!LargerIsPresent)
    return;
  // Back off, in case the other process does not take over.
  YieldAfter *= 2;
  Election.stepDown("a stronger process is present");
}

JobQueryResult SchedulerCore::jobHere(const JobId &Id) const {
  JobQueryResult Answer;
  if (!Jobs || !Jobs->isReady())
    return Answer;
  Answer.IsAnswered = true;
  std::optional<Owner::JobView> View = Jobs->find(Id);
  if (!View)
    return Answer;
  Answer.IsKnown = true;
  Answer.Status = View->Status;
  Answer.Queue = std::move(View->Queue);
  Answer.Team = std::move(View->Team);
  return Answer;
}

PendingQueryResult SchedulerCore::pendingHere(const std::string &Queue) const {
  if (!Jobs || !Jobs->isReady())
    return {};
  return {true, Jobs->pending(Queue)};
}

void SchedulerCore::job(const JobId &Id,
                        std::function<void(JobQueryResult)> Done) {
  if (Jobs)
    return Done(jobHere(Id));
  if (!Election.owner() || Election.owner()->ProcessId == Options.Process)
    return Done({});
  Around.Peers.job(Election.owner()->Process.Address, Id, std::move(Done));
}

void SchedulerCore::pending(const std::string &Queue,
                            std::function<void(PendingQueryResult)> Done) {
  if (Jobs)
    return Done(pendingHere(Queue));
  if (!Election.owner() || Election.owner()->ProcessId == Options.Process)
    return Done({});
  Around.Peers.pending(Election.owner()->Process.Address, Queue,
                       std::move(Done));
}

} // namespace teaselwalk::cell
