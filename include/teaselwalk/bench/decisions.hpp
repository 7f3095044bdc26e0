#pragma once

#include <cstdint>
#include <ostream>

namespace teaselwalk::bench {

struct DecisionsOptions {
  uint64_t Seed = 1;
  int Steps = 20000; ///< Measured decisions per cluster size and load.
};

/// Measure the time of single scheduling decisions for 50, 400 and 3,300
/// endpoints, single-threaded, and print it with the slope over the number of
/// endpoints. A step ends one random task, admits one and decides; the level
/// `backlog` has 5,000 queued tasks and 24 waiting gangs beside a full cluster.
void measureDecisions(const DecisionsOptions &Options, std::ostream &Out);

} // namespace teaselwalk::bench
