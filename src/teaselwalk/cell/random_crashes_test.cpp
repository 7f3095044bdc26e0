#include "testing/random_faults.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <utility>

namespace teaselwalk::cell::testing {
namespace {

/// What happens in a scenario beside its jobs.
struct CrashPlan {
  uint32_t FaultKinds = 0; ///< As for `RandomFaults`; 0: no other faults.
  bool HasDeadlyTasks = false;
  bool HasGangs = false;
  bool HasServices = false;
  bool ChangesCapacities = false;
  bool CrashesRacks = false;
  bool KillsOwners = false; ///< Around the crashes by tasks.
};

/// A scenario of random jobs, crashes and changes of capacities. In the end all
/// is repaired, and every job must have the state that it deserves.
class CrashScenario {
public:
  CrashScenario(uint32_t Seed, const CrashPlan &Given)
      : Random(Seed), Faults(World, Random, Given.FaultKinds), Plan(Given) {
    if (std::getenv("FUZZ_TRACE") != nullptr)
      World.Cluster.Trace = [](const std::string &Line) {
        std::cout << Line << '\n';
      };
    World.Cluster.GangsEndTogether = true;
    World.Cluster.StopTime = Duration(50 + randomBelow(2000));
    World.Cluster.OnCrash = [this](const EndpointId &Id) {
      comeBackLater(Id);
      if (Plan.KillsOwners && randomBelow(3) == 0)
        replaceOwnerLater(
            Duration(randomBelow(randomBelow(2) == 0 ? 20 : 9000)));
    };
    World.Cluster.OnDeadlyStart = [this] {
      countLateStarts();
      if (Plan.KillsOwners && randomBelow(4) == 0)
        replaceOwnerLater(Duration(randomBelow(4)));
    };
  }

  void run() {
    World.addEndpoints(static_cast<int>(EndpointCount), Full);
    World.addProcesses(3);
    for (auto &Process : World.Processes)
      Process->Log.KeepsLines = World.Cluster.Trace != nullptr;
    World.Clock.runFor(Duration(1500));
    for (int Round = 0; Round < 60; ++Round) {
      if (randomBelow(2) == 0)
        submit();
      if (Plan.ChangesCapacities && randomBelow(2) == 0)
        changeCapacity();
      if (Plan.CrashesRacks && randomBelow(8) == 0)
        crashRack();
      if (randomBelow(8) == 0 && !Jobs.empty())
        cancel(Jobs[randomBelow(static_cast<uint32_t>(Jobs.size()))]);
      if (Plan.FaultKinds > 0 && randomBelow(6) == 0)
        injectFault();
      Duration Pause(100 + randomBelow(500));
      World.Cluster.InTouchFrom =
          std::max(World.Cluster.InTouchFrom,
                   Faults.effectsUntil() + Pause + OutOfTouchTime);
      World.Clock.runFor(Pause);
    }
    Faults.repair();
    KillsLeft = 0;
    for (auto &[Id, Machine] : World.Cluster.Machines)
      if (Machine.IsUp)
        setCapacity(Id, Full);
    World.Clock.runFor(SettleTime);
  }

  void check() {
    EXPECT_EQ(World.violations(), "");
    for (const Sent &Each : Jobs) {
      bool IsAccepted = !Each.Answers->empty() &&
                        Each.Answers->front().Kind == RequestOutcome::Done;
      if (IsAccepted && !Each.IsCancelled)
        checkState(Each);
    }
    for (const auto &[Key, Starts] : World.Cluster.StartsOf) {
      bool IsDeadly = World.Cluster.Work[Key].CrashesEndpoint;
      EXPECT_TRUE(!IsDeadly || LateStartsOf[Key] <= MaxLateStarts)
          << Key.Job << ' ' << textOf(Key) << " started " << Starts;
    }
  }

  /// Shows what the processes have logged about crashes, and what runs.
  void traceCrashes() {
    for (const auto &[Id, Machine] : World.Cluster.Machines) {
      int64_t MilliCpu = 0;
      for (const auto &[Key, Run] : Machine.Running)
        MilliCpu += World.Cluster.Jobs.at(Key.Job).Steps[0].Need.MilliCpu;
      trace("in use on " + Id.str() + ' ' + std::to_string(MilliCpu));
    }
    for (auto &Process : World.Processes)
      for (const auto &[Name, Fields] : Process->Log.Lines)
        if (Name == EventName::EndpointCrashed) {
          std::string Line = "logged";
          for (const auto &[Key, Value] : Fields)
            Line.append(1, ' ').append(Key).append(1, '=').append(Value);
          trace(Line);
        }
  }

private:
  /// A submitted job.
  struct Sent {
    JobSpec Job;
    std::shared_ptr<std::vector<CallerAnswer>> Answers;
    JobPhase Deserved = JobPhase::Completed;
    bool IsCancelled = false;
  };

  static constexpr uint32_t RackSize = 4;
  static constexpr uint32_t EndpointCount = 3 * RackSize;
  /// Until all processes know that an endpoint has come back.
  static constexpr Duration TimeToBeNoticed{3000};
  static constexpr Resources Full{8000, 8000, 0, 0, 0};
  /// They leave room for all other jobs.
  static constexpr int MaxServices = 3;
  static constexpr int MaxReplacedOwners = 8;
  /// A task that has crashed `FreeCrashes` endpoints may be started so often by
  /// processes in touch.
  static constexpr int MaxLateStarts = 2;
  static constexpr int FreeCrashes = 3;
  /// A process is out of touch until this long after a fault.
  static constexpr Duration OutOfTouchTime{2000};
  /// Time until the entry of an endpoint shows its capacity.
  static constexpr uint32_t BeatMs = 500;
  static constexpr Duration SettleTime{120000};

  uint32_t randomBelow(uint32_t Count) { return Faults.randomBelow(Count); }

  void trace(const std::string &What) {
    if (World.Cluster.Trace)
      World.Cluster.Trace(
          std::to_string(World.Clock.now().time_since_epoch().count()) + ' ' +
          What);
  }

  void submit() {
    StepSpec First =
        FakeWorld::step(1 + static_cast<int>(randomBelow(5)),
                        500 + static_cast<int64_t>(randomBelow(3000)));
    First.Gang = Plan.HasGangs && randomBelow(2) == 0;
    First.Service = Plan.HasServices && !First.Gang && Services < MaxServices &&
                    randomBelow(4) == 0;
    Services += First.Service ? 1 : 0;
    bool IsDeadly = Plan.HasDeadlyTasks && randomBelow(4) == 0;
    JobSpec Job = World.job(++Number, {First});
    if (!First.Service && randomBelow(3) == 0)
      Job.Steps.push_back(FakeWorld::step(2, 1000, {0}));
    Duration Length(200 + randomBelow(2500));
    for (int T = 0; T < First.Tasks; ++T)
      World.Cluster.Work[{Job.Id, 0, 0, T}] = {Length, 0, First.Service, false};
    if (IsDeadly) {
      auto Index =
          static_cast<int32_t>(randomBelow(static_cast<uint32_t>(First.Tasks)));
      World.Cluster.Work[{Job.Id, 0, 0, Index}].CrashesEndpoint = true;
    }
    JobPhase Deserved = First.Service ? JobPhase::Running : JobPhase::Completed;
    Jobs.push_back({Job,
                    World.send(Faults.liveProcess(), CallerAction::Submit, Job),
                    IsDeadly ? JobPhase::Failed : Deserved});
    trace("submit " + Job.Id.str() + " cpu " +
          std::to_string(First.Need.MilliCpu) + (IsDeadly ? " deadly" : "") +
          (First.Gang ? " gang" : "") + (First.Service ? " service" : ""));
  }

  void cancel(Sent &Each) {
    Each.IsCancelled = true;
    trace("cancel " + Each.Job.Id.str());
    World.send(Faults.liveProcess(), CallerAction::Cancel, Each.Job);
  }

  void checkState(const Sent &Each) {
    CallerAnswer Answer = World.status(0, Each.Job);
    EXPECT_EQ(Answer.Kind, RequestOutcome::Done)
        << Each.Job.Id << ' ' << Answer.Reason;
    EXPECT_EQ(Answer.State, Each.Deserved) << Each.Job.Id;
  }

  void setCapacity(const EndpointId &Id, const Resources &Capacity) {
    trace("capacity " + std::to_string(Capacity.MilliCpu) + " MB " +
          std::to_string(Capacity.MemoryMb) + " of " + Id.str());
    World.Cluster.setCapacity(Id, Capacity);
    World.Clock.after(Duration(randomBelow(BeatMs)), [this, Id] {
      if (World.Cluster.Machines[Id].IsUp)
        World.listEndpoint(Id);
    });
  }

  void changeCapacity() {
    EndpointId Id = Faults.someEndpoint();
    setCapacity(Id, {Full.MilliCpu * (1 + randomBelow(4)) / 4,
                     Full.MemoryMb * (1 + randomBelow(4)) / 4, 0, 0, 0});
  }

  /// A single endpoint that is lost shows no power failure, so a rack crashes
  /// only while all its endpoints are at work.
  void crashRack() {
    std::string Rack =
        "r" + std::to_string(randomBelow(EndpointCount / RackSize));
    std::vector<EndpointId> Lost;
    for (auto &[Id, Machine] : World.Cluster.Machines)
      if (Machine.IsUp && Machine.Info.Labels[1] == Rack &&
          World.Clock.now() - Machine.StartedAt > TimeToBeNoticed)
        Lost.push_back(Id);
    if (Lost.size() < RackSize)
      return;
    trace("crash of rack " + Rack);
    for (const EndpointId &Id : Lost) {
      World.Cluster.crash(Id);
      comeBackLater(Id);
    }
  }

  /// The endpoint comes back under its id, soon or after some seconds, or as a
  /// new one.
  void comeBackLater(const EndpointId &Id) {
    bool KeepsId = randomBelow(3) != 0;
    Duration Pause(randomBelow(2) == 0 ? 100 + randomBelow(300)
                                       : 1000 + randomBelow(3000));
    trace("crash of " + Id.str() + ", back after " +
          std::to_string(Pause.count()) + (KeepsId ? "" : " as a new one"));
    World.Clock.after(FakeWorld::EntryLifetime, [this, Id] {
      if (!World.Cluster.Machines[Id].IsUp)
        World.unlistEndpoint(Id);
    });
    World.Clock.after(Pause, [this, Id, KeepsId] {
      if (!KeepsId)
        return World.replaceEndpoint(Id);
      if (World.Cluster.Machines[Id].IsUp)
        return;
      World.Cluster.restart(Id);
      World.listEndpoint(Id);
    });
  }

  /// Counts the starts of deadly tasks by processes in touch after the free
  /// crashes. Each start of such a task crashes its endpoint.
  void countLateStarts() {
    size_t Owner = World.ownerIndex();
    bool IsInTouch = Owner < World.Processes.size() &&
                     World.Clock.now() >= World.Cluster.InTouchFrom &&
                     World.Clock.now() - StartedAt[Owner] >= OutOfTouchTime;
    for (const auto &[Key, Starts] : World.Cluster.StartsOf)
      if (World.Cluster.Work[Key].CrashesEndpoint &&
          Starts > std::exchange(SeenStartsOf[Key], Starts) &&
          Starts > FreeCrashes && IsInTouch)
        ++LateStartsOf[Key];
  }

  void replaceOwnerLater(Duration Delay) {
    World.Clock.after(Delay, [this] {
      size_t Owner = World.ownerIndex();
      if (Owner == World.Processes.size() || KillsLeft == 0)
        return;
      --KillsLeft;
      trace("kill of the owner " + std::to_string(Owner));
      World.kill(Owner);
      World.restart(Owner);
      StartedAt[Owner] = World.Clock.now();
    });
  }

  void injectFault() {
    World.Cluster.InTouchFrom = TimePoint::max();
    Faults.inject();
    World.Cluster.InTouchFrom = World.Clock.now() + OutOfTouchTime;
  }

  FakeWorld World;
  std::mt19937 Random;
  RandomFaults Faults;
  const CrashPlan Plan;
  std::vector<Sent> Jobs;
  std::map<size_t, TimePoint> StartedAt; ///< Of restarted processes.
  std::map<TaskKey, int> SeenStartsOf;
  std::map<TaskKey, int> LateStartsOf;
  int Number = 0;
  int Services = 0;
  int KillsLeft = MaxReplacedOwners;
};

/// First seed and number of scenarios of each test in CI. `FUZZ_SEED` and
/// `FUZZ_CASES` override them.
constexpr uint32_t FirstSeed = 20261205;
constexpr uint32_t ScenarioCount = 12;

void runScenarios(const CrashPlan &Plan) {
  uint32_t First = fromEnvironment("FUZZ_SEED", FirstSeed);
  uint32_t Count = fromEnvironment("FUZZ_CASES", ScenarioCount);
  for (uint32_t Seed = First; Seed < First + Count; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    CrashScenario Scenario(Seed, Plan);
    Scenario.run();
    Scenario.check();
    Scenario.traceCrashes();
    if (::testing::Test::HasFailure())
      return;
  }
}

// Guards against starts beyond a capacity that has shrunk, also while tasks are
// being stopped.
TEST(RandomCrashesTest, KeepsToCapacitiesThatChange) {
  CrashPlan Plan;
  Plan.ChangesCapacities = true;
  Plan.HasServices = true;
  runScenarios(Plan);
}

TEST(RandomCrashesTest, KeepsToCapacitiesThatChangeAmongFaults) {
  CrashPlan Plan;
  Plan.ChangesCapacities = true;
  Plan.HasGangs = true;
  Plan.FaultKinds = AllFaultKinds;
  runScenarios(Plan);
}

// Guards against gangs and services that crash one endpoint after the other,
// and against jobs that fail because they ran beside them.
TEST(RandomCrashesTest, GivesUpDeadlyGangsAndServices) {
  CrashPlan Plan;
  Plan.HasDeadlyTasks = true;
  Plan.HasGangs = true;
  Plan.HasServices = true;
  runScenarios(Plan);
}

// Guards against jobs that fail because racks lose power while they run there.
TEST(RandomCrashesTest, FailsNoJobWhenRacksCrash) {
  CrashPlan Plan;
  Plan.CrashesRacks = true;
  Plan.HasGangs = true;
  Plan.HasServices = true;
  runScenarios(Plan);
}

// The same beside tasks that crash their endpoints.
TEST(RandomCrashesTest, FailsNoOtherJobWhenRacksCrash) {
  CrashPlan Plan;
  Plan.CrashesRacks = true;
  Plan.HasDeadlyTasks = true;
  runScenarios(Plan);
}

// Guards against counts of crashes that are lost when the owner is killed right
// after a start, or between a crash and its count.
TEST(RandomCrashesTest, CountsCrashesWhenOwnersAreKilled) {
  CrashPlan Plan;
  Plan.HasDeadlyTasks = true;
  Plan.KillsOwners = true;
  runScenarios(Plan);
}

} // namespace
} // namespace teaselwalk::cell::testing
