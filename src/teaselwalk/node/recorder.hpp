#pragma once

#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/runtime/metrics.hpp"

#include <string>
#include <unordered_map>
#include <utility>

namespace teaselwalk::node {

/// What was recorded in an interval, by the address of the name, which has to
/// be a string literal.
struct IntervalFigures {
  std::unordered_map<const char *, int64_t> Counts;
  std::unordered_map<const char *, Duration> LongestTimes;
};

/// Writes events to the log of the process, and counters and durations to its
/// metrics.
class EventRecorder : public cell::Recorder {
public:
  explicit EventRecorder(runtime::Metrics &Registry) : Registry(Registry) {}

  void event(EventName Name, cell::EventFields Fields) override;
  void count(const char *Name, int64_t Amount) override;
  void time(const char *Name, Duration Length) override;

  /// The counts and longest durations since the last call.
  IntervalFigures takeInterval() { return std::exchange(Interval, {}); }

private:
  runtime::Metrics &Registry;
  /// By the address of the name, which has to be a string literal. Saves the
  /// search by text in the registry.
  std::unordered_map<const char *, runtime::Counter *> Counters;
  std::unordered_map<const char *, runtime::Timing *> Timings;
  IntervalFigures Interval;
};

} // namespace teaselwalk::node
