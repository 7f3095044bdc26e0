#pragma once

#include "fake_world.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace teaselwalk::cell::testing {

/// Processor time of what the owner counts, for one of each.
struct ItemCost {
  const char *Counter;
  std::chrono::nanoseconds Time;
};

/// Processor time of an owner, in the proportions of a profile with 1,100
/// endpoints (docs/incidents/owner-short-of-time.md). The normal load of a test
/// takes a little less than half of the processor.
struct ProcessorCosts {
  std::chrono::nanoseconds WorkItem{49000}; ///< A hand-over between threads.
  std::array<ItemCost, 5> Items{{
      {"steps_considered", std::chrono::nanoseconds(133000)},
      {"advice_endpoints_examined", std::chrono::nanoseconds(4200)},
      {"journal_records", std::chrono::nanoseconds(434000)},
      {"renewals", std::chrono::nanoseconds(350000)},
      {"starts", std::chrono::nanoseconds(161000)},
  }};
};

/// Makes the scheduler of \p Process need \p Factor times \p Costs.
inline void charge(FakeProcess &Process, const ProcessorCosts &Costs,
                   int Factor) {
  using std::chrono::duration_cast;
  using ProcessorTime = FakeProcessClock::ProcessorTime;
  Process.Clock.WorkTime =
      duration_cast<ProcessorTime>(Costs.WorkItem * Factor);
  Process.Log.OnCount = [&Process, Costs, Factor](const std::string &Name,
                                                  int64_t Amount) {
    for (const ItemCost &Item : Costs.Items)
      if (Name == Item.Counter)
        Process.Clock.spend(
            duration_cast<ProcessorTime>(Item.Time * Amount * Factor));
  };
}

} // namespace teaselwalk::cell::testing
