#pragma once

#include "teaselwalk/base/time.hpp"

#include <string>

namespace teaselwalk::cell {

/// Time since \p Then in ms, as a field of a log line; "never" if it is not
/// set.
inline std::string ageOf(TimePoint Then, TimePoint Now) {
  return Then == TimePoint() ? "never" : std::to_string((Now - Then).count());
}

} // namespace teaselwalk::cell
