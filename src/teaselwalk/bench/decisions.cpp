#include "teaselwalk/bench/decisions.hpp"

#include "teaselwalk/bench/report.hpp"
#include "teaselwalk/schedule/scheduler.hpp"

#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::bench {

namespace {

using namespace schedule;
using SteadyClock = std::chrono::steady_clock;

constexpr int TeamCount = 24;
constexpr Duration StepLength{2};

struct Level {
  const char *Name;
  double Fill;
  int64_t Backlog;
};

constexpr Level Levels[] = {
    {"50", 0.50, 0}, {"95", 0.95, 0}, {"backlog", 1.0, 5000}};
constexpr int EndpointCounts[] = {50, 400, 3300};

double microseconds(SteadyClock::duration Length) {
  return std::chrono::duration<double, std::micro>(Length).count();
}

/// A cluster at a given load with random work.
class Cluster {
public:
  Cluster(int Endpoints, uint64_t Seed) : Random(Seed) {
    for (int I = 0; I < Endpoints; ++I) {
      SchedulableEndpoint Info;
      Info.Id = EndpointId("endpoint-" + std::to_string(I));
      Info.DataCentre = DataCentreId("d");
      Info.Rack = RackId("rack-" + std::to_string(I / 8));
      Info.Capacity = {64000, 131072, I % 20 == 0 ? 4 : 0, 8, 60};
      S.setEndpoint(Info);
    }
    for (int I = 0; I < TeamCount; ++I)
      S.setTeam(team(I), {});
    S.setQueue(QueueId("batch"), TaskClass::Batch);
    S.setQueue(QueueId("call"), TaskClass::Call);
  }

  /// Admit and place work until \p Fill of processors or slots is taken.
  void fill(double Fill) {
    Resources Total = S.endpoints().totalCapacity();
    while (dominantShare(Total - S.endpoints().totalRoom(), Total) < Fill) {
      admit();
      if (decide() == 0)
        return;
    }
  }

  void addBacklog(int64_t Tasks) {
    if (Tasks == 0)
      return;
    for (int I = 0; I < TeamCount; ++I)
      admitGang(I);
    while (S.queuedTasks() < Tasks)
      admit();
    while (decide() > 0)
      continue;
  }

  void admit() {
    WorkSpec Spec = randomSpec();
    S.admit(TaskId("task-" + std::to_string(Next++)), Spec, Now);
  }

  void endRandom() {
    if (Running.empty())
      return;
    std::swap(Running[Random() % Running.size()], Running.back());
    S.ended(Running.back());
    Running.pop_back();
  }

  size_t decide() {
    Starts.clear();
    S.decide(Now, Starts);
    for (const Placement &Start : Starts)
      Running.push_back(Start.Task);
    return Starts.size();
  }

  /// Dominant part of the capacity that is taken, in percent.
  double level() const {
    Resources Total = S.endpoints().totalCapacity();
    return 100 * dominantShare(Total - S.endpoints().totalRoom(), Total);
  }

  void advance() { Now += StepLength; }
  size_t reclaim() { return S.reclaim(Now).size(); }

private:
  static TeamId team(int Number) {
    return TeamId("team-" + std::to_string(Number));
  }

  int64_t between(int64_t Low, int64_t High) {
    return std::uniform_int_distribution<int64_t>(Low, High)(Random);
  }

  WorkSpec randomSpec() {
    WorkSpec Spec;
    Spec.Team = team(static_cast<int>(between(0, TeamCount - 1)));
    bool Call = between(0, 3) == 0;
    Spec.Queue = QueueId(Call ? "call" : "batch");
    Spec.Size = {between(1, Call ? 4 : 40) * 500, between(1, 64) * 512,
                 between(0, 49) == 0 ? 1 : 0, 1, 1};
    Spec.RunTime = Duration(between(100, 100000));
    return Spec;
  }

  void admitGang(int Team) {
    WorkSpec Spec = randomSpec();
    Spec.Team = team(Team);
    std::vector<TaskId> Tasks;
    Tasks.reserve(16);
    for (int I = 0; I < 16; ++I)
      Tasks.emplace_back("gang-" + std::to_string(Team) + "/" +
                         std::to_string(I));
    S.admitGang(Tasks, Spec, Now);
  }

  std::mt19937_64 Random;
  Scheduler S;
  TimePoint Now = timeAt(0);
  std::vector<TaskId> Running;
  std::vector<Placement> Starts;
  uint64_t Next = 0;
};

/// Measure one load; returns the mean time of a decision.
double measureLevel(int Endpoints, const Level &Load,
                    const DecisionsOptions &Options, std::ostream &Out) {
  Cluster Subject(Endpoints, Options.Seed);
  Subject.fill(Load.Fill);
  Subject.addBacklog(Load.Backlog);
  std::vector<double> Times;
  std::vector<double> ReclaimTimes;
  double Whole = 0;
  double Decided = 0;
  size_t Starts = 0;
  for (int Step = 0; Step < Options.Steps; ++Step) {
    Subject.advance();
    auto Begin = SteadyClock::now();
    Subject.endRandom();
    Subject.admit();
    auto Middle = SteadyClock::now();
    Starts += Subject.decide();
    auto End = SteadyClock::now();
    Times.push_back(microseconds(End - Middle));
    Decided += Times.back();
    Whole += microseconds(End - Begin);
    // The engine calls reclaim every 250 ms.
    if (Step % 125 == 0) {
      Subject.reclaim();
      ReclaimTimes.push_back(microseconds(SteadyClock::now() - End));
    }
  }
  std::string Prefix =
      "endpoints_" + std::to_string(Endpoints) + "_full_" + Load.Name + "_";
  printLine(Out, Prefix + "level", Subject.level(), "%");
  printLine(Out, Prefix + "rate", static_cast<double>(Starts) * 1e6 / Whole,
            "decisions/s");
  printLine(Out, Prefix + "p50", percentile(Times, 0.5), "us");
  printLine(Out, Prefix + "p99", percentile(Times, 0.99), "us");
  printLine(Out, Prefix + "max", percentile(Times, 1), "us");
  printLine(Out, Prefix + "reclaim_p99", percentile(ReclaimTimes, 0.99), "us");
  return Decided / Options.Steps;
}

/// Exponent of the cost as a power of the number of endpoints, by least
/// squares on logarithms. 1 is proportional growth.
double exponent(const std::vector<std::pair<double, double>> &Costs) {
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  for (const auto &[Endpoints, Cost] : Costs) {
    double X = std::log(Endpoints);
    double Y = std::log(Cost);
    SumX += X;
    SumY += Y;
    SumXX += X * X;
    SumXY += X * Y;
  }
  auto Count = static_cast<double>(Costs.size());
  return (Count * SumXY - SumX * SumY) / (Count * SumXX - SumX * SumX);
}

} // namespace

void measureDecisions(const DecisionsOptions &Options, std::ostream &Out) {
  for (const Level &Load : Levels) {
    std::vector<std::pair<double, double>> Costs;
    for (int Endpoints : EndpointCounts)
      Costs.emplace_back(Endpoints,
                         measureLevel(Endpoints, Load, Options, Out));
    printLine(Out, std::string("full_") + Load.Name + "_slope", exponent(Costs),
              "exponent");
  }
}

} // namespace teaselwalk::bench
