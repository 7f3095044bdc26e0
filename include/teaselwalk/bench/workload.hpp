#pragma once

#include "teaselwalk/schedule/task.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselwalk::bench {

/// Kinds of work in the seeded workload.
enum class WorkKind { Urgent, Call, Service, Batch, Gang };

constexpr std::array<EnumName<WorkKind>, 5> WorkKindNames = {{
    {WorkKind::Urgent, "urgent"},
    {WorkKind::Call, "call"},
    {WorkKind::Service, "service"},
    {WorkKind::Batch, "batch"},
    {WorkKind::Gang, "gang"},
}};

/// One request of the workload. What is true differs from what is declared.
struct WorkItem {
  std::string Name;
  WorkKind Kind = WorkKind::Batch;
  size_t Team = 0;
  TimePoint Arrival;
  int Tasks = 1; ///< More than 1 only for gangs.
  Resources Declared;
  Resources Used;           ///< What a task really uses.
  Duration DeclaredTime{0}; ///< Zero for services.
  Duration RunTime{0};      ///< How long a task really runs.
};

/// Time in which a data centre's endpoints are away.
struct Outage {
  size_t DataCentre = 0;
  TimePoint Leaving; ///< No new work from here on.
  TimePoint Gone;    ///< Work that is left is lost.
  TimePoint Back;
};

/// Input of one simulation.
struct Scenario {
  std::string Name;
  int Racks = 6; ///< 8 endpoints each, half of the racks in each data centre.
  std::vector<double> Weights; ///< One a team.
  std::vector<WorkItem> Items; ///< In order of arrival.
  std::vector<Outage> Outages;
  size_t BurstTeams = 0; ///< The first teams send bursts of batch work.
  TimePoint MeasureFrom;
  TimePoint End;
};

/// Arrivals below the capacity, with bursts: for waiting times.
Scenario mixedScenario(uint64_t Seed);
/// All teams have work waiting all the time: for shares and packing.
Scenario fullScenario(uint64_t Seed);
/// As `fullScenario`; a data centre leaves and returns.
Scenario changeScenario(uint64_t Seed);

/// Capacity of each endpoint of a scenario.
constexpr Resources EndpointCapacity{64000, 131072, 0, 8, 60};

} // namespace teaselwalk::bench
