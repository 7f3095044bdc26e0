#include "teaselwalk/bench/simulation.hpp"

#include "teaselwalk/base/error.hpp"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>

namespace teaselwalk::bench {

namespace {

using namespace schedule;

constexpr Duration Tick{100};
constexpr Duration UsageDelay{5000};
// Work left on a leaving endpoint is asked to checkpoint so long before the
// endpoint goes.
constexpr Duration LeaveNotice{3000};
constexpr double CheckpointSuccess = 0.7;

enum class EventKind { Arrival, End, Usage, Tick, Leave, Notice, Gone, Back };

struct SimEvent {
  TimePoint When;
  uint64_t Order;
  EventKind Kind;
  size_t Subject; ///< Item, task or outage.
  uint32_t Run;   ///< Run of the task that the event belongs to.

  friend bool operator>(const SimEvent &A, const SimEvent &B) {
    return std::tie(A.When, A.Order) > std::tie(B.When, B.Order);
  }
};

struct SimTask {
  size_t Item = 0;
  Duration Left{0}; ///< Of the true run time.
  uint32_t Run = 0; ///< Counts starts, so that old events are dropped.
  bool Running = false;
  bool Begun = false;
  bool Kept = false; ///< The checkpoint succeeded; progress is kept.
  TimePoint Start;
  EndpointId Endpoint;
  Resources Charged;
};

/// Real amounts, for integrals over time.
struct Amount {
  std::array<double, std::size(ResourceFields)> Values{};

  void add(const Resources &Size, double Factor) {
    for (size_t I = 0; I < Values.size(); ++I)
      Values[I] += static_cast<double>(Size.*ResourceFields[I]) * Factor;
  }
  double largestRatio(const Amount &Whole) const {
    double Largest = 0;
    for (size_t I = 0; I < Values.size(); ++I)
      if (Whole.Values[I] > 0)
        Largest = std::max(Largest, Values[I] / Whole.Values[I]);
    return Largest;
  }
};

class Simulation {
public:
  Simulation(const Scenario &Input, Policy Which, uint64_t Seed)
      : Input(Input), S(optionsFor(Which)), Random(Seed) {
    setUp();
  }

  SimulationResult run();

private:
  static SchedulerOptions optionsFor(Policy Which) {
    SchedulerOptions Options;
    Options.SchedulingPolicy = Which;
    // The scenarios keep long backlogs; refusals are not measured here.
    Options.MaxQueuedPerTeam = 1000000;
    Options.MaxQueuedTotal = 1000000;
    return Options;
  }

  void setUp();
  void setDataCentre(size_t Number, bool Leaving);
  void push(TimePoint When, EventKind Kind, size_t Subject, uint32_t Run = 0) {
    Events.push({When, NextOrder++, Kind, Subject, Run});
  }
  void handle(const SimEvent &E);
  void arrive(size_t Item);
  void end(size_t Task);
  void lose(size_t Task);
  void requeue(size_t Task);
  void decide();
  void reclaim();
  void askToEnd(size_t Task, protocol::StopMode Mode);
  void notice(const Outage &Of);
  void gone(const Outage &Of);
  void noteWait(const WorkItem &Item, TimePoint Until);
  void integrate(TimePoint To);
  WorkSpec specOf(const WorkItem &Item) const;
  std::string endpointName(size_t DataCentre, int Number) const;
  double uniform(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(Random);
  }

  const Scenario &Input;
  Scheduler S;
  std::mt19937_64 Random;
  TimePoint Now = timeAt(0);
  std::priority_queue<SimEvent, std::vector<SimEvent>, std::greater<>> Events;
  uint64_t NextOrder = 0;
  std::vector<SimTask> Tasks;
  std::unordered_map<TaskId, size_t> TaskNumbers;
  std::vector<size_t> FirstTask; ///< Of each item.
  std::vector<Placement> Starts;
  SimulationResult Result;
  Amount Possible;
  Amount Taken;
  Amount Lost;
  std::vector<double> Shares;
};

TeamId teamId(size_t Number) {
  return TeamId("team-" + std::to_string(Number));
}

QueueId queueId(WorkKind Kind) {
  return QueueId(Kind == WorkKind::Call      ? "call"
                 : Kind == WorkKind::Service ? "service"
                                             : "batch");
}

std::string Simulation::endpointName(size_t DataCentre, int Number) const {
  return "d" + std::to_string(DataCentre) + "-e" + std::to_string(100 + Number);
}

void Simulation::setDataCentre(size_t Number, bool Leaving) {
  for (int I = 0; I < Input.Racks / 2 * 8; ++I) {
    SchedulableEndpoint Info;
    Info.Id = EndpointId(endpointName(Number, I));
    Info.DataCentre = DataCentreId("d" + std::to_string(Number));
    Info.Rack =
        RackId("d" + std::to_string(Number) + "-r" + std::to_string(I / 8));
    Info.Capacity = EndpointCapacity;
    Info.Leaving = Leaving;
    S.setEndpoint(Info);
  }
}

void Simulation::setUp() {
  setDataCentre(0, false);
  setDataCentre(1, false);
  for (size_t I = 0; I < Input.Weights.size(); ++I) {
    TeamSettings Settings;
    Settings.Weight = Input.Weights[I];
    S.setTeam(teamId(I), Settings);
  }
  Shares.resize(Input.Weights.size());
  S.setQueue(QueueId("call"), TaskClass::Call);
  S.setQueue(QueueId("service"), TaskClass::Service);
  S.setQueue(QueueId("batch"), TaskClass::Batch);
  for (size_t I = 0; I < Input.Items.size(); ++I) {
    FirstTask.push_back(Tasks.size());
    for (int Part = 0; Part < Input.Items[I].Tasks; ++Part) {
      TaskNumbers.emplace(
          TaskId(Input.Items[I].Name + "/" + std::to_string(Part)),
          Tasks.size());
      Tasks.emplace_back();
      Tasks.back().Item = I;
      Tasks.back().Left = Input.Items[I].RunTime;
    }
    push(Input.Items[I].Arrival, EventKind::Arrival, I);
  }
  for (size_t I = 0; I < Input.Outages.size(); ++I) {
    push(Input.Outages[I].Leaving, EventKind::Leave, I);
    push(Input.Outages[I].Gone - LeaveNotice, EventKind::Notice, I);
    push(Input.Outages[I].Gone, EventKind::Gone, I);
    push(Input.Outages[I].Back, EventKind::Back, I);
  }
  push(Now, EventKind::Tick, 0);
}

WorkSpec Simulation::specOf(const WorkItem &Item) const {
  WorkSpec Spec;
  Spec.Job = JobId(Item.Name);
  Spec.Team = teamId(Item.Team);
  Spec.Queue = queueId(Item.Kind);
  Spec.Size = Item.Declared;
  Spec.RunTime = Item.DeclaredTime;
  Spec.Urgent = Item.Kind == WorkKind::Urgent;
  return Spec;
}

TaskId taskId(const WorkItem &Item, size_t Part) {
  return TaskId(Item.Name + "/" + std::to_string(Part));
}

void Simulation::arrive(size_t Item) {
  const WorkItem &New = Input.Items[Item];
  std::vector<TaskId> Ids;
  Ids.reserve(static_cast<size_t>(New.Tasks));
  for (int Part = 0; Part < New.Tasks; ++Part)
    Ids.push_back(taskId(New, static_cast<size_t>(Part)));
  Admission Answer = S.admitGang(Ids, specOf(New), Now);
  if (!Answer)
    throw Error("simulation: " + Answer.Message);
}

void Simulation::requeue(size_t Task) {
  SimTask &T = Tasks[Task];
  const WorkItem &Item = Input.Items[T.Item];
  WorkSpec Spec = specOf(Item);
  Spec.Attempt = T.Run + 1;
  if (Spec.RunTime > Duration(0))
    Spec.RunTime = std::max(Duration(100), Spec.RunTime * T.Left.count() /
                                               Item.RunTime.count());
  S.admit(taskId(Item, Task - FirstTask[T.Item]), Spec, Now);
}

void Simulation::end(size_t Task) {
  SimTask &T = Tasks[Task];
  T.Running = false;
  S.ended(taskId(Input.Items[T.Item], Task - FirstTask[T.Item]));
  Duration Ran = Now - T.Start;
  if (Ran >= T.Left)
    return;
  // Stopped early: only a successful checkpoint keeps the progress.
  ++Result.Reclaimed;
  if (T.Kept)
    T.Left -= Ran;
  else if (Now >= Input.MeasureFrom)
    Lost.add(T.Charged, static_cast<double>(Ran.count()));
  requeue(Task);
}

void Simulation::askToEnd(size_t Task, protocol::StopMode Mode) {
  SimTask &T = Tasks[Task];
  if (!T.Running)
    return;
  if (Mode == protocol::StopMode::Stop)
    push(Now + Duration(static_cast<int64_t>(uniform(200, 900))),
         EventKind::End, Task, T.Run);
  else if (uniform(0, 1) < CheckpointSuccess) {
    T.Kept = true;
    push(Now + Duration(static_cast<int64_t>(uniform(300, 1500))),
         EventKind::End, Task, T.Run);
  }
}

void Simulation::notice(const Outage &Of) {
  for (size_t Task = 0; Task < Tasks.size(); ++Task)
    if (Tasks[Task].Running &&
        Tasks[Task].Endpoint.str().rfind(
            "d" + std::to_string(Of.DataCentre) + "-", 0) == 0)
      askToEnd(Task, protocol::StopMode::Checkpoint);
}

void Simulation::gone(const Outage &Of) {
  for (int I = 0; I < Input.Racks / 2 * 8; ++I)
    for (const TaskId &Id :
         S.removeEndpoint(EndpointId(endpointName(Of.DataCentre, I)))) {
      size_t Task = TaskNumbers.at(Id);
      Tasks[Task].Kept = false;
      end(Task);
    }
}

void Simulation::handle(const SimEvent &E) {
  switch (E.Kind) {
  case EventKind::Arrival:
    arrive(E.Subject);
    break;
  case EventKind::End:
    if (Tasks[E.Subject].Running && Tasks[E.Subject].Run == E.Run)
      end(E.Subject);
    break;
  case EventKind::Usage:
    if (SimTask &T = Tasks[E.Subject]; T.Running && T.Run == E.Run) {
      const WorkItem &Item = Input.Items[T.Item];
      S.reportUsage(taskId(Item, E.Subject - FirstTask[T.Item]), Item.Used);
    }
    break;
  case EventKind::Tick:
    push(Now + Tick, EventKind::Tick, 0);
    reclaim();
    break;
  case EventKind::Leave:
    setDataCentre(Input.Outages[E.Subject].DataCentre, true);
    break;
  case EventKind::Notice:
    notice(Input.Outages[E.Subject]);
    break;
  case EventKind::Gone:
    gone(Input.Outages[E.Subject]);
    break;
  case EventKind::Back:
    setDataCentre(Input.Outages[E.Subject].DataCentre, false);
    break;
  }
}

void Simulation::reclaim() {
  for (const ReclaimStep &Step : S.reclaim(Now))
    askToEnd(TaskNumbers.at(Step.Task), Step.Mode);
}

void Simulation::decide() {
  Starts.clear();
  while (S.decide(Now, Starts))
    continue;
  for (const Placement &Start : Starts) {
    size_t Number = TaskNumbers.at(Start.Task);
    SimTask &T = Tasks[Number];
    const WorkItem &Item = Input.Items[T.Item];
    if (!T.Begun && Number == FirstTask[T.Item])
      noteWait(Item, Now);
    T.Begun = T.Running = true;
    T.Kept = false;
    T.Start = Now;
    T.Endpoint = Start.Endpoint;
    T.Charged = Item.Declared;
    ++T.Run;
    S.started(Start.Task, Now);
    push(Now + T.Left, EventKind::End, Number, T.Run);
    push(Now + UsageDelay, EventKind::Usage, Number, T.Run);
  }
  Result.Starts += Starts.size();
}

void Simulation::noteWait(const WorkItem &Item, TimePoint Until) {
  double Seconds = static_cast<double>((Until - Item.Arrival).count()) / 1000;
  Result.Waits[static_cast<size_t>(Item.Kind)].push_back(Seconds);
  if (Item.Kind == WorkKind::Batch && Item.Team >= Input.BurstTeams)
    Result.SteadyBatchWaits.push_back(Seconds);
}

void Simulation::integrate(TimePoint To) {
  TimePoint From = std::max(Now, Input.MeasureFrom);
  if (To <= From)
    return;
  auto Length = static_cast<double>((To - From).count());
  const EndpointTable &Table = S.endpoints();
  for (const auto &[Id, At] : Table.all()) {
    if (!Table.isOpen(At))
      continue;
    const Resources &Capacity = Table.info(At).Capacity;
    Resources Used = Table.allocated(At);
    for (int64_t Resources::*Field : ResourceFields)
      Used.*Field = std::min(Used.*Field, Capacity.*Field);
    Possible.add(Capacity, Length);
    Taken.add(Used, Length);
  }
  for (size_t I = 0; I < Shares.size(); ++I)
    Shares[I] += Length * dominantShare(S.team(teamId(I))->Charged,
                                        Table.totalCapacity());
}

SimulationResult Simulation::run() {
  while (!Events.empty() && Events.top().When < Input.End) {
    TimePoint Next = Events.top().When;
    integrate(Next);
    Now = Next;
    while (!Events.empty() && Events.top().When == Now) {
      SimEvent E = Events.top();
      Events.pop();
      handle(E);
    }
    decide();
  }
  integrate(Input.End);
  for (size_t I = 0; I < Input.Items.size(); ++I)
    if (!Tasks[FirstTask[I]].Begun && Input.Items[I].Arrival < Input.End)
      noteWait(Input.Items[I], Input.End);
  Result.Packing = Taken.largestRatio(Possible);
  for (size_t I = 0; I < Taken.Values.size(); ++I)
    Taken.Values[I] -= Lost.Values[I];
  Result.UsefulWork = Taken.largestRatio(Possible);
  double AllShares = 0;
  double AllWeights = 0;
  for (size_t I = 0; I < Shares.size(); ++I) {
    AllShares += Shares[I];
    AllWeights += Input.Weights[I];
  }
  for (size_t I = 0; I < Shares.size(); ++I)
    Result.ShareDistance = std::max(
        Result.ShareDistance,
        std::abs(Shares[I] / AllShares / (Input.Weights[I] / AllWeights) - 1));
  return std::move(Result);
}

} // namespace

SimulationResult simulate(const Scenario &Input, Policy Which, uint64_t Seed) {
  return Simulation(Input, Which, Seed).run();
}

} // namespace teaselwalk::bench
