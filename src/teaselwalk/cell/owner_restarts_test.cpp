#include "testing/fake_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace teaselwalk::cell::testing {
namespace {

constexpr int ProcessCount = 8;
constexpr int EndpointCount = 60;
constexpr Resources Capacity{64000, 128000, 0, 0, 0};
/// A task of a service needs more than a quarter of an endpoint.
constexpr int64_t ServiceCpu = 18000;
constexpr int64_t ServiceMemory = 33000;
constexpr int ServiceTasks = 20;
constexpr Duration ServiceAdviceBase{340};
constexpr double ServiceAdvicePerEndpointMs = 4.9;
/// One in three endpoints is allowed to a service.
constexpr uint64_t AllowedOneIn = 3;
/// Short jobs take all room that is free, without advice. Each third one takes
/// longer.
constexpr int64_t ShortCpu = 13000;
constexpr Duration ShortTime{640};
constexpr Duration LongTime{4800};
constexpr int WaitingShortJobs = 120;
constexpr int ShortTasks = 4;
constexpr Duration StepTime{20};
/// A lasting task that has ended runs again within this time.
constexpr Duration LongestAbsence{3000};

bool isAllowed(const StepKey &Step, const EndpointId &Id) {
  uint64_t Mixed =
      (std::stoull(Id.str().substr(1)) + 1) * 0x9E3779B97F4A7C15ULL ^
      std::stoull(Step.Job.str(), nullptr, 16) * 0xBF58476D1CE4E5B9ULL;
  Mixed ^= Mixed >> 31U;
  Mixed *= 0x94D049BB133111EBULL;
  return (Mixed >> 33U) % AllowedOneIn == 0;
}

/// Services beside short jobs that use the whole fleet.
class OwnerRestartsTest : public ::testing::Test {
protected:
  OwnerRestartsTest() {
    World.Advisory.Base = ServiceAdviceBase;
    World.Advisory.PerEndpointMs = ServiceAdvicePerEndpointMs;
    World.Advisory.Allows = isAllowed;
    World.requireAdvice();
    Queue Short = World.Config.Queues.front();
    Short.Name = "short";
    Short.PathPrefix = "/short/";
    Short.Policy.NeedsAdvice = false;
    World.Config.Queues.push_back(Short);
    World.Config.index();
    World.Cluster.AcceptsTicket = [this](const StartRequest &Request,
                                         const EndpointId &Id) {
      const TaskKey &Task = Request.Task;
      return !isService(Task.Job) ||
             World.Advisory.accepts(Request.Ticket,
                                    {Task.Job, Task.Occurrence, Task.Step}, Id);
    };
    World.Cluster.DefaultWork.Length = ShortTime;
    World.addEndpoints(EndpointCount, Capacity);
    World.addProcesses(ProcessCount);
    World.Clock.runFor(Duration(1500));
  }

  bool isService(const JobId &Id) const {
    return std::any_of(Services.begin(), Services.end(),
                       [&](const JobSpec &Job) { return Job.Id == Id; });
  }

  void submitService(int Tasks) {
    StepSpec Step = FakeWorld::step(Tasks, ServiceCpu);
    Step.Need.MemoryMb = ServiceMemory;
    Step.Service = true;
    JobSpec Job = World.job(++JobCount, {Step});
    Services.push_back(Job);
    for (int T = 0; T < Tasks; ++T)
      World.Cluster.Work[{Job.Id, 0, 0, T}].RunsUntilStopped = true;
    World.QueuePath = "/batch/";
    World.send(0, CallerAction::Submit, Job);
  }

  bool isRunning(const TaskKey &Task) const {
    return std::any_of(
        World.Cluster.Machines.begin(), World.Cluster.Machines.end(),
        [&](const auto &Row) { return Row.second.Running.count(Task) != 0; });
  }

  /// Keeps as many short jobs open as use more than the fleet for \p Length.
  void load(Duration Length) {
    for (TimePoint End = World.Clock.now() + Length; World.Clock.now() < End;) {
      World.QueuePath = "/short/";
      ShortJobs.erase(std::remove_if(ShortJobs.begin(), ShortJobs.end(),
                                     [this](const JobId &Id) {
                                       return World.Cluster.isDone(Id, 0);
                                     }),
                      ShortJobs.end());
      while (ShortJobs.size() < WaitingShortJobs) {
        JobSpec Job =
            World.job(++JobCount, {FakeWorld::step(ShortTasks, ShortCpu)});
        ShortJobs.push_back(Job.Id);
        for (int T = 0; JobCount % 3 == 0 && T < ShortTasks; ++T)
          World.Cluster.Work[{Job.Id, 0, 0, T}].Length = LongTime;
        World.send(static_cast<size_t>(JobCount) % ProcessCount,
                   CallerAction::Submit, Job);
      }
      World.Clock.runFor(StepTime);
      watch();
    }
  }

  void watch() {
    for (const JobSpec &Job : Services)
      for (int T = 0; T < Job.Steps[0].Tasks; ++T) {
        TaskKey Task{Job.Id, 0, 0, T};
        if (isRunning(Task))
          SeenAt[Task] = World.Clock.now();
        else if (SeenAt.count(Task) != 0)
          Longest =
              std::max<Duration>(Longest, World.Clock.now() - SeenAt[Task]);
      }
  }

  size_t running() const { return SeenAt.size(); }

  FakeWorld World;
  std::vector<JobSpec> Services;
  std::vector<JobId> ShortJobs;
  std::map<TaskKey, TimePoint> SeenAt;
  Duration Longest{0};
  int JobCount = 0;
};

// Guards against lasting tasks that find no room because other work has taken
// it whenever their advice arrives (issue 44).
TEST_F(OwnerRestartsTest, FailedTasksRunAgainSoonOnAFullFleet) {
  submitService(ServiceTasks);
  World.Clock.runFor(Duration(3000));
  watch();
  ASSERT_EQ(running(), static_cast<size_t>(ServiceTasks));
  load(Duration(2000));
  for (int T = 0; T < ServiceTasks; T += 2) {
    World.Cluster.fail({Services[0].Id, 0, 0, T});
    load(Duration(100));
  }
  load(Duration(10000));
  EXPECT_LE(Longest, LongestAbsence);
  EXPECT_EQ(World.violations(), "");
}

// The same when all tasks of several services have ended at once, as after an
// outage of the store.
TEST_F(OwnerRestartsTest, WholeServicesRunAgainSoonOnAFullFleet) {
  constexpr int ServiceCount = 4;
  for (int I = 0; I < ServiceCount; ++I)
    submitService(ServiceTasks);
  World.Clock.runFor(Duration(4000));
  watch();
  ASSERT_EQ(running(), static_cast<size_t>(ServiceCount * ServiceTasks));
  load(Duration(2000));
  for (const JobSpec &Job : Services)
    for (int T = 0; T < ServiceTasks; ++T)
      World.Cluster.fail({Job.Id, 0, 0, T});
  load(Duration(10000));
  EXPECT_LE(Longest, LongestAbsence);
  EXPECT_EQ(World.violations(), "");
}

} // namespace
} // namespace teaselwalk::cell::testing
