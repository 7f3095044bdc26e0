#pragma once

#include "teaselwalk/base/time.hpp"

#include <chrono>
#include <cstdint>

/// The clocks of the process, for code outside the decision modules.
namespace teaselwalk::runtime {

/// Now on the process's steady clock.
TimePoint steadyNow();

/// \p Point as a time point of the standard steady clock.
std::chrono::steady_clock::time_point toSteady(TimePoint Point);

/// Now on the wall clock, in ms since 1970-01-01 UTC. Can jump.
int64_t wallMillis();

} // namespace teaselwalk::runtime
