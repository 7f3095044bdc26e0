#pragma once

#include "teaselwalk/engine/commands.hpp"

#include <functional>
#include <string>

namespace teaselwalk::engine {

enum class WriteOutcome {
  Applied,    ///< The value is in the store.
  Conflict,   ///< Another value is there; this one is not and never will be.
  NotApplied, ///< The write surely had no effect.
  Unknown,    ///< It may have taken effect, or may still.
};

struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  protocol::StoreVersion Version = 0; ///< Of the value in the store.
  std::string Value;                  ///< In the store after a conflict.
};

/// Writes \p Value under \p Key if the key has version \p Expected. If the
/// answer is lost or a conflict is reported, the key is read back before
/// \p Then is called, so that a write that took effect is recognised by its
/// value. A repeated write of the same value is therefore safe.
void writeDurably(Commands &Out, const std::string &Key,
                  const std::string &Value, protocol::StoreVersion Expected,
                  Duration Timeout,
                  std::function<void(const WriteResult &, TimePoint)> Then);

} // namespace teaselwalk::engine
