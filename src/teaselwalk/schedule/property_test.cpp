#include "scheduler_fixture.hpp"

#include <rapidcheck.h>

#include <map>
#include <set>
#include <sstream>

// Random sequences of operations, checked against a small independent model.
namespace teaselwalk::schedule {
namespace {

constexpr int EndpointCount = 5;
constexpr int TeamCount = 3;

/// The expected state, computed independently of the scheduler by plain sums.
struct Model {
  struct Task {
    int Team = 0;
    Resources Size;
    Resources Charged;
    std::string Endpoint; ///< Empty while queued.
  };
  std::map<std::string, Task> Tasks;
  std::map<std::string, Resources> Capacity;
  std::set<std::string> Closed;
  std::array<TeamSettings, TeamCount> Teams;

  Resources on(const std::string &Endpoint) const {
    Resources Sum;
    for (const auto &[Id, Value] : Tasks)
      if (Value.Endpoint == Endpoint)
        Sum += Value.Charged;
    return Sum;
  }
  Resources of(int Team, int64_t &Running) const {
    Resources Sum;
    for (const auto &[Id, Value] : Tasks)
      if (Value.Team == Team && !Value.Endpoint.empty()) {
        Sum += Value.Charged;
        ++Running;
      }
    return Sum;
  }
};

bool exceeds(const Resources &Sum, const Resources &Added,
             const Resources &Bound) {
  for (int64_t Resources::*Field : ResourceFields)
    if (Added.*Field > 0 && Sum.*Field > Bound.*Field)
      return true;
  return false;
}

class RandomOperations {
public:
  RandomOperations() {
    for (int I = 0; I < EndpointCount; ++I)
      setEndpoint(I, true);
    for (int I = 0; I < TeamCount; ++I) {
      TeamSettings &Settings = M.Teams[static_cast<size_t>(I)];
      Settings.Weight = I + 1;
      setTeam(I, {6 + 2 * I, 12 + 4 * I, 2, 20, 20});
    }
    S.setQueue(QueueId("batch"), TaskClass::Batch);
    S.setQueue(QueueId("call"), TaskClass::Call);
  }

  void step() {
    Now += Duration(number(0, 3000));
    switch (number(0, 12)) {
    case 0:
    case 1:
    case 2:
    case 3:
      admit(1);
      break;
    case 4:
      admit(number(2, 4));
      break;
    case 5:
      cancel();
      break;
    case 6:
    case 7:
      endRandomTask();
      break;
    case 8:
      adopt();
      break;
    case 9:
      reportRandomUsage();
      break;
    case 10:
      setEndpoint(number(0, EndpointCount - 1), number(0, 3) > 0);
      break;
    case 11:
      reclaim();
      break;
    default:
      for (const TaskId &Id : S.expire(Now))
        RC_ASSERT(M.Tasks.erase(Id.str()) == 1U);
    }
    decide();
    compareSums();
  }

private:
  static int number(int Low, int High) {
    return *rc::gen::resize(100, rc::gen::inRange(Low, High + 1));
  }
  static TeamId teamId(int Number) {
    return TeamId("team" + std::to_string(Number));
  }
  static Resources size() {
    return {number(0, 4), number(0, 8), number(0, 9) == 0 ? 1 : 0, 1,
            number(0, 2)};
  }

  void setTeam(int Number, const Resources &Allowance) {
    TeamSettings &Settings = M.Teams[static_cast<size_t>(Number)];
    Settings.Allowance = Allowance;
    Settings.MaxRunningTasks = 8;
    S.setTeam(teamId(Number), Settings);
  }

  void setEndpoint(int Number, bool Open) {
    std::string Name = "e" + std::to_string(Number);
    M.Capacity[Name] = {6, 12, Number == 0 ? 2 : 0, 4, 8};
    if (Open)
      M.Closed.erase(Name);
    else
      M.Closed.insert(Name);
    S.setEndpoint({EndpointId(Name), DataCentreId("d"),
                   RackId("r" + std::to_string(Number % 2)), M.Capacity[Name],
                   false, Open});
  }

  void admit(int Count) {
    WorkSpec Spec;
    int Team = number(0, TeamCount - 1);
    Spec.Team = teamId(Team);
    Spec.Queue = QueueId(number(0, 1) == 0 ? "batch" : "call");
    Spec.Urgent = number(0, 5) == 0;
    Spec.Size = size();
    Spec.RunTime = Duration(number(0, 5) * 1000);
    if (number(0, 3) == 0)
      Spec.Deadline = Now + Duration(number(1, 20000));
    std::vector<TaskId> Ids;
    Ids.reserve(static_cast<size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Ids.emplace_back("t" + std::to_string(Next++));
    if (S.admitGang(Ids, Spec, Now))
      for (const TaskId &Id : Ids)
        M.Tasks[Id.str()] = {Team, Spec.Size, Spec.Size, ""};
  }

  std::string randomTask(bool Running) {
    std::vector<std::string> Found;
    for (const auto &[Id, Value] : M.Tasks)
      if (Value.Endpoint.empty() != Running)
        Found.push_back(Id);
    if (Found.empty())
      return "";
    return Found[static_cast<size_t>(
        number(0, static_cast<int>(Found.size()) - 1))];
  }

  void cancel() {
    std::string Id = randomTask(false);
    for (const TaskId &Removed : S.cancel(TaskId(Id)))
      RC_ASSERT(M.Tasks.erase(Removed.str()) == 1U);
    RC_ASSERT(M.Tasks.count(Id) == 0U);
  }

  void endRandomTask() {
    std::string Id = randomTask(true);
    RC_ASSERT(S.ended(TaskId(Id)) == !Id.empty());
    M.Tasks.erase(Id);
  }

  void adopt() {
    AdoptedTask Found;
    std::string Id = number(0, 1) == 0 ? randomTask(false) : "";
    Found.Task = TaskId(Id.empty() ? "t" + std::to_string(Next++) : Id);
    int Team = Id.empty() ? number(0, TeamCount - 1) : M.Tasks[Id].Team;
    Found.Team = teamId(Team);
    Found.Endpoint = EndpointId("e" + std::to_string(number(0, 4)));
    Found.Size = size();

    // The other tasks of a gang leave the queue with the adopted one.
    for (const TaskId &Removed : S.cancel(Found.Task))
      M.Tasks.erase(Removed.str());
    RC_ASSERT(S.adopt(Found, Now));
    RC_ASSERT(!S.adopt(Found, Now));
    M.Tasks[Found.Task.str()] = {Team, Found.Size, Found.Size,
                                 Found.Endpoint.str()};
  }

  void reportRandomUsage() {
    std::string Id = randomTask(true);
    if (Id.empty())
      return;
    Resources Used = size();
    S.reportUsage(TaskId(Id), Used);
    Model::Task &Task = M.Tasks[Id];
    for (int64_t Resources::*Field : ResourceFields)
      Task.Charged.*Field = std::max(Task.Size.*Field, Used.*Field);
  }

  void reclaim() {
    for (const ReclaimStep &Step : S.reclaim(Now)) {
      RC_ASSERT(!M.Tasks.at(Step.Task.str()).Endpoint.empty());
      if (Step.Mode != protocol::StopMode::Stop)
        continue;
      RC_ASSERT(S.ended(Step.Task));
      M.Tasks.erase(Step.Task.str());
    }
  }

  void decide() {
    std::vector<Placement> Starts;
    S.decide(Now, Starts);
    for (const Placement &Start : Starts) {
      auto Found = M.Tasks.find(Start.Task.str());
      RC_ASSERT(Found != M.Tasks.end());
      Model::Task &Task = Found->second;
      RC_ASSERT(Task.Endpoint.empty());
      Task.Endpoint = Start.Endpoint.str();
      RC_ASSERT(M.Closed.count(Task.Endpoint) == 0U);
      Resources Added = Task.Size;
      Added.Slots = std::max<int64_t>(Added.Slots, 1);
      RC_ASSERT(
          !exceeds(M.on(Task.Endpoint), Added, M.Capacity.at(Task.Endpoint)));
      int64_t Running = 0;
      Resources Sum = M.of(Task.Team, Running);
      const TeamSettings &Settings = M.Teams[static_cast<size_t>(Task.Team)];
      RC_ASSERT(!exceeds(Sum, Added, Settings.Allowance));
      RC_ASSERT(Running <= Settings.MaxRunningTasks);
    }
  }

  /// Compares the scheduler's sums with those of the model.
  void compareSums() {
    for (const auto &[Name, Capacity] : M.Capacity)
      RC_ASSERT(S.endpoints().allocated(
                    *S.endpoints().find(EndpointId(Name))) == M.on(Name));
    int64_t Queued = 0;
    for (const auto &[Id, Value] : M.Tasks)
      Queued += Value.Endpoint.empty() ? 1 : 0;
    RC_ASSERT(S.queuedTasks() == Queued);
    for (int Team = 0; Team < TeamCount; ++Team) {
      int64_t Running = 0;
      Resources Sum = M.of(Team, Running);
      const TeamAccount *Account = S.team(teamId(Team));
      RC_ASSERT(Account->Charged == Sum);
      RC_ASSERT(Account->Running == Running);
    }
  }

  Scheduler S;
  Model M;
  TimePoint Now = timeAt(0);
  int Next = 0;
};

// Guards against placements that exceed a capacity or an allowance, that use
// closed endpoints, or that start a task twice (invariants I1, I4, I9 and I2).
TEST(SchedulerPropertyTest, NeverExceedsCapacityOrAllowanceNorPlacesTwice) {
  rc::detail::TestParams Params;
  Params.seed = 20260504;
  Params.maxSuccess = 300;
  rc::detail::TestMetadata Metadata;
  Metadata.id = "scheduler";
  auto Result = rc::detail::checkTestable(
      [] {
        RandomOperations Subject;
        const int Steps = *rc::gen::inRange(1, 120);
        for (int I = 0; I < Steps; ++I)
          Subject.step();
      },
      Metadata, Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  EXPECT_TRUE(Result.is<rc::detail::SuccessResult>()) << Text.str();
}

} // namespace
} // namespace teaselwalk::schedule
