#pragma once

#include <cstdint>
#include <ostream>

namespace teaselwalk::bench {

/// Run engines in virtual time and print the bytes of control traffic, the
/// messages, the CPU time, the memory and the store calls of one process over
/// endpoints, tasks, peers, data centres and teams, with fitted slopes. Bytes
/// are JSON bodies plus `HttpOverhead`, both directions, without TCP and IP.
void measureCapacity(uint64_t Seed, std::ostream &Out);

} // namespace teaselwalk::bench
