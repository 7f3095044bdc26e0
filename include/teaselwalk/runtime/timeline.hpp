#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/runtime/event_name.hpp"
#include "teaselwalk/runtime/field.hpp"
#include "teaselwalk/runtime/hybrid_clock.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace teaselwalk::runtime {

/// One event of a process.
struct TimelineEvent {
  uint64_t Sequence = 0; ///< From 1, without gaps, per process.
  int64_t WallMs = 0;    ///< Wall time of the process, ms since 1970 UTC.
  HybridTime Time;       ///< Orders events of different processes.
  ProcessId Process;
  std::string Name; ///< A name of `EventNames`, or one of a newer process.
  Fields Values;
};

void to_json(nlohmann::json &Json, const TimelineEvent &Value);

/// Throws `nlohmann::json::exception` if a field is absent or of a wrong type.
void from_json(const nlohmann::json &Json, TimelineEvent &Value);

/// The latest events of a process. When full, the oldest is dropped.
/// Thread-safe.
class TimelineBuffer {
public:
  TimelineBuffer(ProcessId Process, size_t Capacity);

  /// Records an event at \p WallMs, at most one per call.
  void add(EventName Name, Fields Values, int64_t WallMs);

  /// Events with a sequence number above \p Sequence, the oldest first, at most
  /// \p Limit.
  std::vector<TimelineEvent> after(uint64_t Sequence, size_t Limit) const;

  /// The clock value to send along with a message.
  HybridTime stamp(int64_t WallMs);

  /// Takes note of the clock value that arrived with a message.
  void observe(HybridTime Remote, int64_t WallMs);

  /// Events dropped because the buffer was full.
  uint64_t dropped() const;

private:
  const ProcessId Process;
  const size_t Capacity;
  mutable std::mutex Mutex;
  HybridClock Clock;
  std::deque<TimelineEvent> Events;
  uint64_t Next = 1;
};

/// One list of all events: an effect stands behind its cause, and events of one
/// process stand in their order. Equal events (same process and sequence
/// number) appear once.
std::vector<TimelineEvent>
mergeTimelines(const std::vector<std::vector<TimelineEvent>> &Parts);

} // namespace teaselwalk::runtime
