#include "teaselwalk/bench/decisions.hpp"
#include "teaselwalk/cli/command.hpp"

#include <iostream>

namespace teaselwalk::cli {

namespace {

constexpr const char *Usage = R"(Measure scheduling decisions.

Usage:
  teaselwalk bench decisions [--seed N]

Options:
  --seed N  Seed of the workload [default: 1].
)";

int run(const Arguments &Args) {
  auto Seed = static_cast<uint64_t>(Args.at("--seed").asLong());
  bench::DecisionsOptions Options;
  Options.Seed = Seed;
  bench::measureDecisions(Options, std::cout);
  return ExitOk;
}

} // namespace

extern const Command BenchCommand;
const Command BenchCommand = {"bench", Usage, run};

} // namespace teaselwalk::cli
