#pragma once

#include "fake_advisory_service.hpp"
#include "fake_endpoints.hpp"
#include "simulated_store.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/scheduler_core.hpp"

#include <memory>
#include <sstream>
#include <vector>

namespace teaselwalk::cell::testing {

constexpr const char *EntryPrefix = "list/";
constexpr const char *OperatorPrefix = "orders/";
constexpr const char *ConfigKey = "orders/config";
constexpr const char *EvacuationPrefix = "orders/out/";

class FakeWorld;
struct FakeProcess;

/// Client of one process for the other processes, with injected faults.
class FakePeers : public PeerCalls {
public:
  FakePeers(FakeWorld &World, Executor &Own) : World(World), Own(Own) {}
  void job(const protocol::Address &To, const JobId &Id,
           std::function<void(JobQueryResult)> Done) override;
  void pending(const protocol::Address &To, const std::string &Queue,
               std::function<void(PendingQueryResult)> Done) override;
  void identify(const protocol::Address &To, Duration Wait, Duration Slack,
                std::function<void(std::optional<ProbeAnswer>)> Done) override;
  void health(const protocol::Address &To, const std::string &Process,
              std::function<void(OwnerHealth)> Done) override;

  bool IsPartitioned = false; ///< Partitioned from all other processes.

private:
  static constexpr Duration Latency{2};

  FakeProcess *reachable(const protocol::Address &To) const;

  FakeWorld &World;
  Executor &Own;
};

/// An entry process with its own clock and clients.
struct FakeProcess {
  FakeProcess(FakeWorld &World, int Number);

  FakeProcessClock Clock;
  SimulatedStoreClient Store;
  FakeEndpointClient Endpoints;
  FakeAdvisor AdvisoryService;
  FakePeers Peers;
  FakeRecorder Log;
  protocol::Address Address;
  std::unique_ptr<SchedulerCore> Core;
};

/// Simulation of entry processes, the store and the endpoints in virtual time.
class FakeWorld {
public:
  FakeClock Clock;
  SimulatedStore Store{Clock};
  FakeCluster Cluster{Clock};
  FakeAdvisoryService Advisory{Clock};
  std::vector<std::unique_ptr<FakeProcess>> Processes;
  Configuration Config;
  /// By default longer than any test, so that no record is removed.
  Duration StatusKept{3600000};
  /// CPU cores of the processes by index; 1 where there is no entry.
  std::map<size_t, double> CoresOf;
  FeatureSet Features; ///< Of all processes that are added later.
  /// Path of the queue to which `send` submits.
  std::string QueuePath = "/batch/";

  FakeWorld() {
    Config.Version = 1;
    Config.Queues.push_back({"batch", "host", "/batch/", false, {}});
    Config.Queues.back().Policy.Service = "pool";
    Config.Queues.back().Policy.MaxAttempts = 2;
    Config.Queues.back().Policy.Target = Duration(5000);
    Config.Teams.push_back({"team", {"key"}, 1, {}});
    Config.index();
    Store.put(ConfigKey, "1");
  }

  void addEndpoints(int Count, Resources Capacity = {8000, 8000, 0, 0, 0}) {
    for (int I = 0; I < Count; ++I) {
      EndpointInfo Info;
      Info.Id = EndpointId("e" + std::to_string(Cluster.Machines.size()));
      Info.Address = {"10.0.0.1", 1};
      Info.DataCentre = I % 2 == 0 ? "dc-a" : "dc-b";
      Info.Service = "pool";
      Info.Capacity = Capacity;
      Info.Labels = {"a", "r" + std::to_string(I / 4)};
      addEndpoint(Info);
    }
  }

  void addEndpoint(const EndpointInfo &Info) {
    FakeCluster::Machine &M = Cluster.Machines[Info.Id];
    M.Info = Info;
    Cluster.begin(M);
    listEndpoint(Info.Id);
  }

  /// Puts an endpoint with another id in the place of a crashed one.
  void replaceEndpoint(const EndpointId &Id) {
    EndpointInfo Info = Cluster.Machines[Id].Info;
    Info.Id = EndpointId("e" + std::to_string(Cluster.Machines.size()));
    addEndpoint(Info);
  }

  /// Makes the tasks of all queues need tickets of the advisory service.
  void requireAdvice() {
    for (Queue &Each : Config.Queues) {
      Each.Policy.NeedsAdvice = true;
      Each.Policy.AdviceBase = Advisory.Base;
      Each.Policy.AdvicePerEndpointMs = Advisory.PerEndpointMs;
      Each.Policy.TicketValidity = Advisory.Validity;
    }
    Config.index();
    Cluster.AcceptsTicket = [this](const StartRequest &Request,
                                   const EndpointId &Id) {
      const TaskKey &Task = Request.Task;
      return Advisory.accepts(Request.Ticket,
                              {Task.Job, Task.Occurrence, Task.Step}, Id);
    };
  }

  /// Adds an endpoint to the discovery list, or updates its entry.
  void listEndpoint(const EndpointId &Id) {
    std::string State =
        Cluster.Machines[Id].Info.Draining ? "draining" : "ready";
    Store.put(EntryPrefix + Id.str(), State);
  }
  void unlistEndpoint(const EndpointId &Id) {
    Store.remove(EntryPrefix + Id.str());
  }

  /// An endpoint that a task has crashed is back after \p Pause, either under
  /// the same id or as a new endpoint.
  void restartCrashedEndpoints(Duration Pause, bool KeepsId) {
    Cluster.OnCrash = [this, Pause, KeepsId](const EndpointId &Id) {
      Clock.after(EntryLifetime, [this, Id] {
        if (!Cluster.Machines[Id].IsUp)
          unlistEndpoint(Id);
      });
      Clock.after(Pause, [this, Id, KeepsId] {
        if (!KeepsId)
          return addEndpoints(1, Cluster.Machines[Id].Info.Capacity);
        Cluster.restart(Id);
        listEndpoint(Id);
      });
    };
  }

  void addProcesses(int Count) {
    for (int I = 0; I < Count; ++I) {
      Processes.push_back(std::make_unique<FakeProcess>(
          *this, static_cast<int>(Processes.size())));
      Processes.back()->Core->start();
    }
  }

  /// For each process the probes that it has not answered yet. Each entry ends
  /// one of them without an answer.
  std::multimap<FakeProcess *, std::function<void()>> OpenProbes;

  void kill(size_t Index) {
    Processes[Index]->Clock.die();
    // The death of a process closes its connections.
    auto Open = OpenProbes.equal_range(Processes[Index].get());
    for (auto It = Open.first; It != Open.second; ++It)
      It->second();
    OpenProbes.erase(Open.first, Open.second);
    Dead.push_back(std::move(Processes[Index]));
  }
  /// Starts a new process in place of the killed one.
  void restart(size_t Index) {
    Processes[Index] = std::make_unique<FakeProcess>(
        *this, static_cast<int>(Index) + 100 * ++Restarts);
    Processes[Index]->Core->start();
  }

  size_t ownerIndex() const {
    for (size_t I = 0; I < Processes.size(); ++I)
      if (Processes[I] && Processes[I]->Core->isOwner())
        return I;
    return Processes.size();
  }

  JobSpec job(int Number, std::vector<StepSpec> Steps) const {
    std::ostringstream Id;
    Id << std::hex;
    Id.width(16);
    Id.fill('0');
    Id << Number;
    JobSpec Job;
    Job.Id = JobId(Id.str());
    Job.Payload = "work";
    Job.Steps = std::move(Steps);
    return Job;
  }

  static StepSpec step(int Tasks, int64_t MilliCpu = 1000,
                       std::vector<int32_t> After = {}) {
    StepSpec Step;
    Step.Tasks = Tasks;
    Step.Need.MilliCpu = MilliCpu;
    Step.Need.MemoryMb = 100;
    Step.Estimate = Duration(1000);
    Step.After = std::move(After);
    return Step;
  }

  /// Sends a request to a process and returns the list to which the answer will
  /// be added.
  std::shared_ptr<std::vector<CallerAnswer>>
  send(size_t Process, CallerAction Action, const JobSpec &Job,
       const std::string &Key = "key") {
    auto Answers = std::make_shared<std::vector<CallerAnswer>>();
    Cluster.Jobs[Job.Id] = Job;
    CallerRequest Request;
    Request.Action = Action;
    Request.Host = "host";
    Request.Path =
        QueuePath + (Action == CallerAction::Pending ? "" : Job.Id.str());
    Request.Key = Key;
    Request.ArrivedAt = Clock.now();
    Submitted = Job;
    Request.Body = Job.Id.str();
    Processes[Process]->Core->handle(
        Request,
        [Answers](const CallerAnswer &Answer) { Answers->push_back(Answer); });
    return Answers;
  }

  /// Asks \p Process for the status of \p Job and waits for the answer.
  CallerAnswer status(size_t Process, const JobSpec &Job) {
    auto Answers = send(Process, CallerAction::Status, Job);
    Clock.runFor(Duration(1300));
    return Answers->empty() ? CallerAnswer{} : Answers->front();
  }

  std::string violations() const {
    std::string Text;
    for (const std::string &Line : Cluster.Violations)
      Text += Line + "; ";
    return Text;
  }

  JobSpec Submitted;

  /// The entry of an endpoint that reports nothing is removed after this time.
  static constexpr Duration EntryLifetime{1500};

private:
  int Restarts = 0;
  /// Killed processes, kept because messages in flight refer to them.
  std::vector<std::unique_ptr<FakeProcess>> Dead;
};

inline void FakePeers::job(const protocol::Address &To, const JobId &Id,
                           std::function<void(JobQueryResult)> Done) {
  for (auto &Other : World.Processes)
    if (Other && Other->Core->isOwner()) {
      JobQueryResult Found = Other->Core->localJob(Id);
      return Own.after(Duration(2), [Done, Found] { Done(Found); });
    }
  (void)To;
  Own.after(Duration(500), [Done] { Done({}); });
}

inline void FakePeers::pending(const protocol::Address &To,
                               const std::string &Queue,
                               std::function<void(PendingQueryResult)> Done) {
  for (auto &Other : World.Processes)
    if (Other && Other->Core->isOwner()) {
      PendingQueryResult Found = Other->Core->localPending(Queue);
      return Own.after(Duration(2), [Done, Found] { Done(Found); });
    }
  (void)To;
  Own.after(Duration(500), [Done] { Done({}); });
}

inline FakeProcess *FakePeers::reachable(const protocol::Address &To) const {
  for (auto &Other : World.Processes)
    if (Other && Other->Address == To && !IsPartitioned &&
        !Other->Peers.IsPartitioned)
      return Other.get();
  return nullptr;
}

inline void
FakePeers::identify(const protocol::Address &To, Duration Wait, Duration Slack,
                    std::function<void(std::optional<ProbeAnswer>)> Done) {
  auto IsAnswered = std::make_shared<bool>(false);
  auto Finish = [this, Done,
                 IsAnswered](const std::optional<ProbeAnswer> &Answer) {
    if (!std::exchange(*IsAnswered, true))
      Own.after(Latency, [Done, Answer] { Done(Answer); });
  };
  Own.after(Wait + Slack, [Finish] { Finish(std::nullopt); });
  World.Clock.after(Latency, [this, To, Wait, Finish] {
    FakeProcess *Other = reachable(To);
    if (Other != nullptr) {
      World.OpenProbes.emplace(Other, [Finish] { Finish(std::nullopt); });
      Other->Clock.afterElsewhere(Wait, [Other, Finish] {
        Finish(
            ProbeAnswer{Other->Core->processId(), Other->Clock.stalledFor()});
      });
    } else if (!IsPartitioned) // The connection is refused at once.
      Finish(std::nullopt);
  });
}

inline void FakePeers::health(const protocol::Address &To,
                              const std::string &Process,
                              std::function<void(OwnerHealth)> Done) {
  FakeProcess *Other = reachable(To);
  OwnerHealth Found = Other == nullptr ? OwnerHealth::Unknown
                                       : Other->Core->ownerHealth(Process);
  Own.after(Duration(Other == nullptr ? 300 : 4),
            [Done, Found] { Done(Found); });
}

inline FakeProcess::FakeProcess(FakeWorld &World, int Number)
    : Clock(World.Clock), Store(World.Clock, Clock.control(), World.Store),
      Endpoints(World.Clock, Clock, World.Cluster),
      AdvisoryService(World.Advisory, Clock), Peers(World, Clock.control()) {
  SchedulerCoreOptions Options;
  Options.VmName = "p" + std::to_string(Number);
  Options.ProcessId = Options.VmName + "#" + std::to_string(Number);
  Options.PeerAddress = {"10.1.0.1", static_cast<uint16_t>(1 + Number % 100)};
  Address = Options.PeerAddress;
  Options.ClaimDelay = Duration(Number % 100);
  auto Entry = World.CoresOf.find(static_cast<size_t>(Number % 100));
  if (Entry != World.CoresOf.end())
    Options.Cores = Entry->second;
  Options.Owner.Features = World.Features;
  Options.Owner.EndpointPrefix = EntryPrefix;
  Options.Owner.MaxTaskLease = World.Cluster.MaxLease;
  Options.Owner.StatusKept = World.StatusKept;
  Options.Owner.DecodeEndpoint = [&World](const StoreItem &Item) {
    EndpointId Id(Item.Key.substr(std::string(EntryPrefix).size()));
    if (Item.Value != "ready" && Item.Value != "draining")
      throw Error("not an entry");
    EndpointInfo Info = World.Cluster.Machines.at(Id).Info;
    Info.Draining = Item.Value == "draining";
    return Info;
  };
  Options.OperatorPrefix = OperatorPrefix;
  Options.ApplyOperatorItem = [&World](const StoreItem &Item,
                                       DesiredState &Target) {
    if (Item.Key == ConfigKey)
      Target.Config = World.Config;
    else if (Item.Deleted)
      Target.EvacuatedDataCentres.erase(
          Item.Key.substr(std::string(EvacuationPrefix).size()));
    else
      Target.EvacuatedDataCentres.insert(
          Item.Key.substr(std::string(EvacuationPrefix).size()));
  };
  Options.DecodeSubmission = [&World](const std::string &Body) {
    return World.Cluster.Jobs.at(JobId(Body));
  };
  Core = std::make_unique<SchedulerCore>(
      Dependencies{Clock, Clock.control(), Store, Store, Endpoints,
                   AdvisoryService, Peers, Log},
      std::move(Options));
}

} // namespace teaselwalk::cell::testing
