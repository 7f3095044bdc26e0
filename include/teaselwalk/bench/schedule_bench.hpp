#pragma once

#include "teaselwalk/schedule/policy.hpp"

#include <cstdint>
#include <optional>
#include <ostream>

namespace teaselwalk::bench {

struct ScheduleBenchOptions {
  uint64_t Seed = 1;
  std::optional<schedule::Policy> Only; ///< Both policies when empty.
};

/// Run the seeded scenarios in virtual time and print waiting times, packing,
/// distance from share and work through the loss of a data centre.
///
/// The offline bound of packing is the fractional one: tasks of the same mix,
/// cut at will, fill the busiest resource of the open endpoints completely.
/// Packing is therefore the taken part of the busiest resource, averaged over
/// time. No packing of whole tasks can exceed it, and it may be out of reach.
void benchSchedule(const ScheduleBenchOptions &Options, std::ostream &Out);

} // namespace teaselwalk::bench
