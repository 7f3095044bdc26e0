#include "teaselwalk/base/error.hpp"
#include "teaselwalk/bench/capacity.hpp"
#include "teaselwalk/bench/decisions.hpp"
#include "teaselwalk/bench/schedule_bench.hpp"
#include "teaselwalk/cli/command.hpp"

#include <charconv>
#include <cstdint>
#include <iostream>
#include <string>
#include <system_error>

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

uint64_t parseSeed(const std::string &Text) {
  uint64_t Seed = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Problem] = std::from_chars(Text.data(), End, Seed);
  if (Problem != std::errc() || Stop != End)
    throw InvalidInput("--seed", "must be a whole number from 0 to 2^64 - 1");
  return Seed;
}

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
  uint64_t Seed = parseSeed(Args.at("--seed").asString());
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
