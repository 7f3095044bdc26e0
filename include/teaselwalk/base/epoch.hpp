#pragma once

#include "teaselwalk/base/id.hpp"

#include <cstdint>

namespace teaselwalk {

/// Fencing epoch of an owner, ordered by counter and then by process. An
/// endpoint refuses commands that carry a lower epoch than it has accepted.
struct Epoch {
  uint64_t Counter = 0;
  ProcessId Process;

  friend bool operator==(const Epoch &A, const Epoch &B) {
    return A.Counter == B.Counter && A.Process == B.Process;
  }
  friend bool operator!=(const Epoch &A, const Epoch &B) { return !(A == B); }
  friend bool operator<(const Epoch &A, const Epoch &B) {
    return A.Counter != B.Counter ? A.Counter < B.Counter
                                  : A.Process < B.Process;
  }
};

} // namespace teaselwalk
