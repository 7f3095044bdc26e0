#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/config/head.hpp"
#include "teaselwalk/protocol/vm.hpp"

namespace teaselwalk::cli {

/// What became of writing the first head.
enum class BootstrapOutcome {
  Written,
  Exists,  ///< The store has a head already; it was not changed.
  Refused, ///< The store answered with another status; nothing was written.
  NotSent,
  Unknown, ///< The answer was lost and reading back did not settle it.
};

/// Writes the head of revision 1, without writers, into a store that has none.
/// After a lost answer the head is read back and compared.
BootstrapOutcome bootstrap(const protocol::Address &Store,
                           const config::Document &Document,
                           const config::ChangeNote &Note, Duration Timeout);

} // namespace teaselwalk::cli
