#include "teaselwalk/schedule/policy.hpp"

#include "state_functions.hpp"

#include <array>

namespace teaselwalk::schedule {

const PolicyFunctions &functionsOf(Policy Value) {
  static constexpr std::array<PolicyFunctions, 2> Table = {{
      {Policy::Fair, decideFair, true},
      {Policy::FirstFitFcfs, decideFirstFitFcfs, false},
  }};
  return Table[Value == Policy::Fair ? 0 : 1];
}

} // namespace teaselwalk::schedule
