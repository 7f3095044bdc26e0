#include "scheduler_fixture.hpp"

#include <map>
#include <random>
#include <set>

namespace teaselwalk::schedule {
namespace {

const Resources Half{32000, 1000, 0, 1, 1};
const Resources Small{8000, 1000, 0, 1, 1};

struct PolicyTest : SchedulerTest {
  /// Running tasks by their actual end, whatever run time they declared.
  std::multimap<TimePoint, TaskId> Ends;

  void startFor(const std::vector<Placement> &Starts, Duration Length) {
    for (const Placement &Start : Starts) {
      S.started(Start.Task, Now);
      Ends.emplace(Now + Length, Start.Task);
    }
  }

  /// Ends what is due at `Now`.
  void endDue() {
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      S.ended(Ends.begin()->second);
      Ends.erase(Ends.begin());
    }
  }

  /// Obeys stop commands at once and ignores checkpoint commands.
  void obeyStops() {
    for (const ReclaimStep &Step : S.reclaim(Now))
      if (Step.Mode == protocol::StopMode::Stop)
        S.ended(Step.Task);
  }
};

// Guards against a deadlock of two gangs that each hold half of the endpoints
// and wait for the other half.
TEST_F(PolicyTest, TwoGangsDoNotDeadlock) {
  endpoints(4);
  for (const TaskId &Task : taskIds("filler", 8))
    ASSERT_TRUE(S.admit(Task, work("blue", Half, 10000), Now));
  startFor(decide(), Duration(10000));
  ASSERT_TRUE(S.admitGang(taskIds("a", 6), work("blue", Half, 5000), Now));
  ASSERT_TRUE(S.admitGang(taskIds("b", 6), work("red", Half, 5000), Now));
  std::vector<std::string> Started;
  for (; Now < timeAt(40000); Now += Duration(100)) {
    // The fillers end one by one, so that room appears piece by piece.
    if (Now.time_since_epoch().count() % 1000 == 0 && !Ends.empty()) {
      S.ended(Ends.begin()->second);
      Ends.erase(Ends.begin());
    }
    std::vector<Placement> Starts = decide();
    if (Starts.empty())
      continue;
    EXPECT_EQ(Starts.size(), 6U) << "a gang started in part";
    Started.push_back(Starts[0].Task.str());
    startFor(Starts, Duration(5000));
  }
  EXPECT_EQ(Started, (std::vector<std::string>{"a/0", "b/0"}));
}

// Guards against backfill that delays the gang with the reservation: backfilled
// work that runs longer than declared must be preempted at the reserved start,
// so that the gang starts within 3 s of it.
TEST_F(PolicyTest, BackfillDelaysTheReservedGangByAtMostThreeSeconds) {
  endpoints(2);
  ASSERT_TRUE(
      S.admit(TaskId("long/0"), work("red", EndpointCapacity, 20000), Now));
  startFor(decide(), Duration(20000));
  ASSERT_TRUE(S.admitGang(taskIds("gang", 2),
                          work("blue", EndpointCapacity, 5000), Now));
  EXPECT_TRUE(decide().empty());
  ASSERT_TRUE(S.admit(TaskId("late"), work("red", Small, 30000), Now));
  ASSERT_TRUE(S.admit(TaskId("service"), work("red", Small, 0), Now));
  ASSERT_TRUE(S.admit(TaskId("fits"), work("red", Small, 15000), Now));
  std::vector<Placement> Backfilled = decide();
  ASSERT_EQ(Backfilled.size(), 1U);
  EXPECT_EQ(Backfilled[0].Task, TaskId("fits"));
  // "fits" declared 15 s but never ends by itself.
  std::optional<TimePoint> GangStart;
  for (; Now < timeAt(40000) && !GangStart; Now += Duration(100)) {
    endDue();
    obeyStops();
    for (const Placement &Start : decide())
      if (Start.Task == TaskId("gang/0"))
        GangStart = Now;
  }
  ASSERT_TRUE(GangStart);
  EXPECT_GE(*GangStart, timeAt(20000));
  EXPECT_LE(*GangStart, timeAt(23000));
}

// Guards against a gang that is never tried again: it finds no room, waits for
// its retry delay, room appears during the delay and none after it.
TEST_F(PolicyTest, GangIsTriedAgainWithoutFurtherChange) {
  endpoints(4);
  ASSERT_TRUE(
      S.admit(TaskId("short"), work("red", EndpointCapacity, 5000), Now));
  ASSERT_TRUE(
      S.admit(TaskId("long"), work("red", EndpointCapacity, 9000), Now));
  ASSERT_EQ(decide().size(), 2U);
  // Takes the reservation on the two free endpoints and that of "short".
  ASSERT_TRUE(
      S.admitGang(taskIds("a", 3), work("blue", EndpointCapacity, 1000), Now));
  EXPECT_TRUE(decide().empty());
  ASSERT_TRUE(S.admitGang(taskIds("b", 2), work("red", Half, 9000), Now));
  EXPECT_TRUE(decide().empty());
  Now = timeAt(50);
  S.ended(TaskId("long"));
  size_t Started = 0;
  for (; Now < timeAt(1000); Now += Duration(100))
    Started += decide().size();
  EXPECT_EQ(Started, 2U);
}

// Guards against a gang packed into one rack although other racks have room.
TEST_F(PolicyTest, GangSpreadsOverRacks) {
  endpoints(32);
  ASSERT_TRUE(S.admitGang(taskIds("gang", 4), work("blue", Small, 1000), Now));
  std::set<std::string> Racks;
  for (const Placement &Start : decide())
    Racks.insert(
        S.endpoints().info(*S.endpoints().find(Start.Endpoint)).Rack.str());
  EXPECT_EQ(Racks.size(), 4U);
}

// Guards against work that needs no accelerator on endpoints that have one
// while others have room.
TEST_F(PolicyTest, AcceleratorsStayFreeForWorkThatNeedsThem) {
  S.setEndpoint({EndpointId("a"),
                 DataCentreId("d"),
                 RackId("r"),
                 {64000, 131072, 2, 8, 60}});
  S.setEndpoint(
      {EndpointId("b"), DataCentreId("d"), RackId("r"), EndpointCapacity});
  for (const TaskId &Task : taskIds("plain", 8))
    ASSERT_TRUE(S.admit(Task, work("blue", {1000, 10, 0, 1, 1}), Now));
  decide();
  for (const TaskId &Task : taskIds("plain", 8))
    EXPECT_EQ(S.endpointOf(Task), EndpointId("b"));
  ASSERT_TRUE(S.admit(TaskId("x"), work("red", {64000, 10, 2, 1, 1}), Now));
  EXPECT_EQ(decide().size(), 1U);
}

// Guards against a team that has to wait behind another team's long queue.
TEST_F(PolicyTest, FloodOfOneTeamDoesNotDelayAnother) {
  endpoints(2);
  for (const TaskId &Task : taskIds("flood", 10000))
    ASSERT_TRUE(S.admit(Task, work("blue", Small, 1000), Now));
  EXPECT_EQ(decide().size(), 16U);
  ASSERT_TRUE(S.admit(TaskId("other"), work("red", Small, 1000), Now));
  S.ended(TaskId("flood/3"));
  std::vector<Placement> Next = decide();
  ASSERT_EQ(Next.size(), 1U);
  EXPECT_EQ(Next[0].Task, TaskId("other"));
}

// Guards against cancelled tasks that still start, and against a mass
// cancellation that removes other work from the queue.
TEST_F(PolicyTest, WaveOfCancellationsLeavesTheRest) {
  endpoints(1);
  for (const TaskId &Task : taskIds("wave", 9999)) {
    WorkSpec Spec = work("blue", Small, 1000);
    Spec.Job = JobId("wave");
    ASSERT_TRUE(S.admit(Task, Spec, Now));
  }
  ASSERT_TRUE(S.admit(TaskId("kept"), work("blue", Small, 1000), Now));
  EXPECT_EQ(S.cancel(TaskId("wave/17")).size(), 1U);
  EXPECT_TRUE(S.cancel(TaskId("wave/17")).empty());
  EXPECT_EQ(S.cancelJob(JobId("wave")).size(), 9998U);
  EXPECT_EQ(S.queuedTasks(), 1);
  std::vector<Placement> Starts = decide();
  ASSERT_EQ(Starts.size(), 1U);
  EXPECT_EQ(Starts[0].Task, TaskId("kept"));
}

// Guards against urgent work that waits for running tasks to end on a full
// cluster: batch tasks must be preempted so that it starts within 4.4 s.
TEST_F(PolicyTest, UrgentWorkStartsWithinBoundOnFullCluster) {
  endpoints(10);
  for (const TaskId &Task : taskIds("fill", 80))
    ASSERT_TRUE(S.admit(Task, work("blue", Small, 3600000), Now));
  EXPECT_EQ(decide().size(), 80U);
  for (const TaskId &Task : taskIds("queue", 100))
    ASSERT_TRUE(S.admit(Task, work("red", Small, 3600000), Now));
  Now = timeAt(100000);
  WorkSpec Urgent = work("red", {24000, 1000, 0, 1, 1}, 60000);
  Urgent.Urgent = true;
  ASSERT_TRUE(S.admit(TaskId("urgent"), Urgent, Now));
  WorkSpec Gang = work("blue", Small, 60000);
  Gang.Urgent = true;
  ASSERT_TRUE(S.admitGang(taskIds("urgent-gang", 12), Gang, Now));
  std::multimap<TimePoint, TaskId> Stops;
  for (; Now < timeAt(104400); Now += Duration(200)) {
    // Endpoints carry out a stop command in 1 s.
    while (!Stops.empty() && Stops.begin()->first <= Now) {
      S.ended(Stops.begin()->second);
      Stops.erase(Stops.begin());
    }
    decide();
    for (const ReclaimStep &Step : S.reclaim(Now))
      if (Step.Mode == protocol::StopMode::Stop)
        Stops.emplace(Now + Duration(1000), Step.Task);
  }
  EXPECT_TRUE(S.isRunning(TaskId("urgent")));
  EXPECT_TRUE(S.isRunning(TaskId("urgent-gang/11")));
}

// Guards against shares that depend on task sizes on a full cluster: small
// tasks fit into every gap, so that their teams would stay above their weighted
// share, and teams with large tasks below it.
TEST_F(PolicyTest, SharesFollowWeightsWithUnequalSizes) {
  endpoints(20);
  const std::vector<std::pair<std::string, Resources>> Teams = {
      {"t1", {4000, 4096, 0, 1, 1}},
      {"t2", {30000, 8192, 0, 1, 1}},
      {"t3", {8000, 50000, 0, 1, 1}},
      {"t4", {16000, 16384, 0, 1, 1}}};
  double Weight = 0;
  for (const auto &[Name, Size] : Teams) {
    TeamSettings Settings;
    Settings.Weight = ++Weight;
    S.setTeam(TeamId(Name), Settings);
    for (const TaskId &Task : taskIds(Name, 9000))
      ASSERT_TRUE(S.admit(Task, work(Name.c_str(), Size, 20000), Now));
  }
  std::mt19937_64 Random(7);
  std::uniform_int_distribution<int64_t> Length(5000, 60000);
  std::map<std::string, double> Share;
  double Sum = 0;
  for (; Now < timeAt(1800000); Now += Duration(250)) {
    endDue();
    obeyStops();
    for (const Placement &Start : decide())
      Ends.emplace(Now + Duration(Length(Random)), Start.Task);
    if (Now < timeAt(300000))
      continue;
    for (const auto &[Name, Size] : Teams) {
      double Part = dominantShare(S.team(TeamId(Name))->Charged,
                                  S.endpoints().totalCapacity());
      Share[Name] += Part;
      Sum += Part;
    }
  }
  Weight = 0;
  for (const auto &[Name, Size] : Teams)
    EXPECT_NEAR(Share[Name] / Sum / (++Weight / 10), 1, 0.05) << Name;
}

// Guards against a restarted task that is stopped because its earlier run,
// which ended by itself, was being preempted.
TEST_F(PolicyTest, RestartedTaskDoesNotInheritAStop) {
  endpoints(1);
  ASSERT_TRUE(
      S.admit(TaskId("a"), work("blue", EndpointCapacity, 3600000), Now));
  decide();
  WorkSpec Urgent = work("red", EndpointCapacity, 1000);
  Urgent.Urgent = true;
  ASSERT_TRUE(S.admit(TaskId("urgent"), Urgent, Now));
  ASSERT_EQ(S.reclaim(Now).size(), 1U);
  S.ended(TaskId("a"));
  ASSERT_EQ(decide().size(), 1U);
  S.ended(TaskId("urgent"));
  ASSERT_TRUE(
      S.admit(TaskId("a"), work("blue", EndpointCapacity, 3600000), Now));
  ASSERT_EQ(decide().size(), 1U);
  Now = timeAt(60000);
  EXPECT_TRUE(S.reclaim(Now).empty());
}

} // namespace
} // namespace teaselwalk::schedule
