#pragma once

#include "teaselwalk/engine/command_dispatcher.hpp"

#include <functional>
#include <string>

namespace teaselwalk::engine {

/// What is known about a compare-and-swap write.
enum class WriteOutcome {
  Applied,    ///< The value is in the store.
  Conflict,   ///< Another value is there; this write can have no effect later.
  NotApplied, ///< The write certainly had no effect.
  Unknown,    ///< It may have taken effect or may still do so.
};

struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  protocol::StoreVersion Version = 0; ///< Version of the value in the store.
  std::string Value;                  ///< On Conflict, the value in the store.
};

/// Writes \p Value under \p Key if the key has version \p Expected, and calls
/// \p Then with the outcome. After a lost answer or a conflict the key is read
/// back first: if it holds \p Value, the write counts as applied. It is
/// therefore safe to repeat a write of the same value.
void writeDurably(CommandDispatcher &Commands, const std::string &Key,
                  const std::string &Value, protocol::StoreVersion Expected,
                  Duration Timeout,
                  std::function<void(const WriteResult &, TimePoint)> Then);

} // namespace teaselwalk::engine
