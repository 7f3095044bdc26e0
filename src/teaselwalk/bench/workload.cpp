#include "teaselwalk/bench/workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace teaselwalk::bench {

namespace {

using Random = std::mt19937_64;

constexpr int EndpointsPerRack = 8;

struct KindRow {
  WorkKind Kind;
  double Part; ///< Of the requests.
  Resources Low;
  Resources High;
  double MeanSeconds;
};

// Sizes give about five tasks to an endpoint, as in the design target.
constexpr KindRow Kinds[] = {
    {WorkKind::Call, 0.55, {250, 256, 0, 1, 1}, {2000, 4096, 0, 1, 1}, 2},
    {WorkKind::Urgent,
     0.06,
     {2000, 2048, 0, 1, 1},
     {16000, 32768, 0, 1, 1},
     30},
    {WorkKind::Service,
     0.02,
     {2000, 2048, 0, 1, 1},
     {12000, 24576, 0, 1, 1},
     900},
    {WorkKind::Batch, 0.33, {2000, 2048, 0, 1, 1}, {24000, 49152, 0, 1, 1}, 60},
    {WorkKind::Gang, 0.04, {4000, 4096, 0, 1, 1}, {16000, 32768, 0, 1, 1}, 60},
};

double uniform(Random &From, double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(From);
}

double logNormal(Random &From, double Sigma) {
  return std::lognormal_distribution<double>(-Sigma * Sigma / 2, Sigma)(From);
}

int64_t scaled(int64_t Value, double Factor) {
  return static_cast<int64_t>(
      std::llround(static_cast<double>(Value) * Factor));
}

const KindRow &anyKind(Random &From) {
  double Left = uniform(From, 0, 1);
  for (const KindRow &Row : Kinds) {
    if (Left < Row.Part)
      return Row;
    Left -= Row.Part;
  }
  return Kinds[0];
}

WorkItem randomItem(Random &From, const KindRow &Row, size_t Team,
                    size_t Index) {
  WorkItem Item;
  Item.Name = std::string(nameOf(WorkKindNames, Row.Kind)) + "-" +
              std::to_string(Index);
  Item.Kind = Row.Kind;
  Item.Team = Team;
  Item.Declared = Row.Low;
  for (auto Field : {&Resources::MilliCpu, &Resources::MemoryMb})
    Item.Declared.*Field =
        scaled(1, uniform(From, static_cast<double>(Row.Low.*Field),
                          static_cast<double>(Row.High.*Field)));
  if (Row.Kind == WorkKind::Gang)
    Item.Tasks = static_cast<int>(uniform(From, 4, 17));
  // Most tasks use less than declared, one in ten uses up to twice as much.
  double Factor =
      uniform(From, 0, 1) < 0.1 ? uniform(From, 1, 2) : uniform(From, 0.3, 1);
  Item.Used = Item.Declared;
  Item.Used.MilliCpu = scaled(Item.Declared.MilliCpu, Factor);
  Item.Used.MemoryMb = scaled(Item.Declared.MemoryMb, Factor);
  double Seconds = Row.MeanSeconds * logNormal(From, 0.8);
  Item.RunTime = Duration(std::max<int64_t>(100, scaled(1000, Seconds)));
  // Declared run times are wrong by a factor of two in both directions.
  if (Row.Kind != WorkKind::Service)
    Item.DeclaredTime = Duration(std::max<int64_t>(
        100, scaled(Item.RunTime.count(), 1.2 * logNormal(From, 0.7))));
  return Item;
}

/// Seconds that the whole cluster needs for the item.
double clusterSeconds(const WorkItem &Item, const Scenario &Of) {
  double Endpoints = Of.Racks * EndpointsPerRack;
  return dominantShare(Item.Declared, EndpointCapacity) / Endpoints *
         Item.Tasks * static_cast<double>(Item.RunTime.count()) / 1000;
}

void sortByArrival(Scenario &Of) {
  std::stable_sort(Of.Items.begin(), Of.Items.end(),
                   [](const WorkItem &A, const WorkItem &B) {
                     return A.Arrival < B.Arrival;
                   });
}

void drawTeams(Random &From, Scenario &Into) {
  auto Count = static_cast<size_t>(uniform(From, 6, 25));
  for (size_t I = 0; I < Count; ++I)
    Into.Weights.push_back(static_cast<double>(1 + I % 4));
}

/// Work of one kind that arrives at once.
void addBurst(Random &From, Scenario &Into, const KindRow &Row, size_t Team,
              int Count, TimePoint When) {
  for (int I = 0; I < Count; ++I) {
    Into.Items.push_back(randomItem(From, Row, Team, Into.Items.size()));
    Into.Items.back().Arrival = When;
  }
}

} // namespace

Scenario mixedScenario(uint64_t Seed) {
  // Sum of dominant shares over time; the busiest resource is at about 80%.
  constexpr double Load = 0.92;
  Random From(Seed);
  Scenario Result;
  Result.Name = "mixed";
  Result.MeasureFrom = timeAt(0);
  Result.End = timeAt(3600000);
  drawTeams(From, Result);
  double Seconds = 0;
  while (Seconds < 3600) {
    auto Team = static_cast<size_t>(
        uniform(From, 0, static_cast<double>(Result.Weights.size())));
    Result.Items.push_back(
        randomItem(From, anyKind(From), Team, Result.Items.size()));
    Result.Items.back().Arrival = timeAt(scaled(1000, Seconds));
    Seconds += clusterSeconds(Result.Items.back(), Result) / Load *
               uniform(From, 0.2, 1.8);
  }
  Result.BurstTeams = 2;
  addBurst(From, Result, Kinds[3], 0, 300, timeAt(1200000));
  addBurst(From, Result, Kinds[3], 1, 300, timeAt(2400000));
  sortByArrival(Result);
  return Result;
}

Scenario fullScenario(uint64_t Seed) {
  Random From(Seed);
  Scenario Result;
  Result.Name = "full";
  Result.MeasureFrom = timeAt(300000);
  Result.End = timeAt(2400000);
  drawTeams(From, Result);
  for (size_t Team = 0; Team < Result.Weights.size(); ++Team) {
    // Sizes differ between teams by up to a factor of four.
    KindRow Own = Kinds[3];
    double Factor = 0.25 * static_cast<double>(1 + Team % 4);
    Own.High.MilliCpu = scaled(Own.High.MilliCpu, Factor);
    Own.High.MemoryMb = scaled(Own.High.MemoryMb, Factor);
    double Seconds = 0;
    // Every team has twice what its share can do, as one backlog.
    double Sum = 0;
    for (double Weight : Result.Weights)
      Sum += Weight;
    while (Seconds < 2 * 2400 * Result.Weights[Team] / Sum) {
      bool Gang = uniform(From, 0, 1) < 0.02;
      Result.Items.push_back(
          randomItem(From, Gang ? Kinds[4] : Own, Team, Result.Items.size()));
      Seconds += clusterSeconds(Result.Items.back(), Result);
    }
  }
  std::shuffle(Result.Items.begin(), Result.Items.end(), From);
  return Result;
}

Scenario changeScenario(uint64_t Seed) {
  Scenario Result = fullScenario(Seed);
  Result.Name = "change";
  Result.Outages.push_back(
      {1, timeAt(900000), timeAt(930000), timeAt(1500000)});
  Result.MeasureFrom = timeAt(900000);
  Result.End = timeAt(1560000);
  return Result;
}

} // namespace teaselwalk::bench
