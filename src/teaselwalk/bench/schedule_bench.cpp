#include "teaselwalk/bench/schedule_bench.hpp"

#include "teaselwalk/bench/report.hpp"
#include "teaselwalk/bench/simulation.hpp"

#include <string>

namespace teaselwalk::bench {

namespace {

using schedule::Policy;

void printWaits(const std::string &Prefix, const SimulationResult &Result,
                std::ostream &Out) {
  for (const auto &Row : WorkKindNames) {
    const auto &Waits = Result.Waits[static_cast<size_t>(Row.Value)];
    std::string Name = Prefix + "wait_" + std::string(Row.Name);
    printLine(Out, Name + "_p50", percentile(Waits, 0.5), "s");
    printLine(Out, Name + "_p99", percentile(Waits, 0.99), "s");
  }
  printLine(Out, Prefix + "wait_batch_without_burst_p99",
            percentile(Result.SteadyBatchWaits, 0.99), "s");
}

void runPolicy(Policy Which, uint64_t Seed, std::ostream &Out) {
  std::string Prefix = std::string(nameOf(schedule::PolicyNames, Which)) + "_";
  SimulationResult Mixed = simulate(mixedScenario(Seed), Which, Seed);
  printLine(Out, Prefix + "mixed_busy", 100 * Mixed.Packing, "%");
  printLine(Out, Prefix + "mixed_reclaimed",
            100 * static_cast<double>(Mixed.Reclaimed) /
                static_cast<double>(Mixed.Starts),
            "%_of_starts");
  printWaits(Prefix, Mixed, Out);
  SimulationResult Full = simulate(fullScenario(Seed), Which, Seed);
  printLine(Out, Prefix + "full_packing", 100 * Full.Packing, "%_of_bound");
  printLine(Out, Prefix + "full_useful_work", 100 * Full.UsefulWork,
            "%_of_bound");
  printLine(Out, Prefix + "full_share_distance", 100 * Full.ShareDistance, "%");
  SimulationResult Change = simulate(changeScenario(Seed), Which, Seed);
  printLine(Out, Prefix + "change_packing", 100 * Change.Packing, "%_of_bound");
  printLine(Out, Prefix + "change_useful_work", 100 * Change.UsefulWork,
            "%_of_bound");
}

} // namespace

void benchSchedule(const ScheduleBenchOptions &Options, std::ostream &Out) {
  printLine(Out, "teams",
            static_cast<double>(mixedScenario(Options.Seed).Weights.size()),
            "teams");
  for (const auto &Row : schedule::PolicyNames)
    if (!Options.Only || *Options.Only == Row.Value)
      runPolicy(Row.Value, Options.Seed, Out);
}

} // namespace teaselwalk::bench
