#include "teaselwalk/base/error.hpp"
#include "teaselwalk/bench/capacity.hpp"
#include "teaselwalk/bench/decisions.hpp"
#include "teaselwalk/bench/schedule_bench.hpp"
#include "teaselwalk/cli/command.hpp"

#include <iostream>

namespace teaselwalk::cli {

namespace {

constexpr const char *Usage =
    R"(Measure scheduling decisions and the cost of control.

Usage:
  teaselwalk bench decisions [--seed N]
  teaselwalk bench schedule [--seed N] [--policy P]
  teaselwalk bench capacity [--seed N]

Options:
  --seed N    Seed of the workload [default: 1].
  --policy P  fair or first_fit_fcfs; both when absent.
)";

int runSchedule(uint64_t Seed, const docopt::value &PolicyName) {
  bench::ScheduleBenchOptions Options;
  Options.Seed = Seed;
  if (PolicyName) {
    Options.Only = valueOf(schedule::PolicyNames, PolicyName.asString());
    if (!Options.Only)
      throw InvalidInput("--policy", "must be fair or first_fit_fcfs");
  }
  bench::benchSchedule(Options, std::cout);
  return ExitOk;
}

int run(const Arguments &Args) {
  auto Seed = static_cast<uint64_t>(Args.at("--seed").asLong());
  if (Args.at("schedule").asBool())
    return runSchedule(Seed, Args.at("--policy"));
  if (Args.at("capacity").asBool()) {
    bench::measureCapacity(Seed, std::cout);
    return ExitOk;
  }
  bench::DecisionsOptions Options;
  Options.Seed = Seed;
  bench::measureDecisions(Options, std::cout);
  return ExitOk;
}

} // namespace

extern const Command BenchCommand;
const Command BenchCommand = {"bench", Usage, run};

} // namespace teaselwalk::cli
