#include "teaselwalk/cell/decisions/step_run_times.hpp"

namespace teaselwalk::cell {

std::optional<double> StepRunTimes::add(Duration Length) {
  if (Length.count() <= 0)
    return std::nullopt;
  auto LengthMs = static_cast<double>(Length.count());
  std::optional<double> Ratio;
  if (Count >= MinOthers)
    Ratio = LengthMs * Count / SumMs;
  ++Count;
  SumMs += LengthMs;
  return Ratio;
}

} // namespace teaselwalk::cell
