#pragma once

#include "teaselwalk/world/world.hpp"

#include <string>
#include <vector>

/// Checks of the invariants I1 to I11, from what endpoints ran, what callers
/// were told and what the store took. The bounds are those of the
/// specification.
namespace teaselwalk::world {

struct Violation {
  int Invariant = 0;
  std::string Text;
};

/// Everything that \p W has done so far against every invariant.
std::vector<Violation> findViolations(const World &W);

} // namespace teaselwalk::world
