#pragma once

#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/runtime/metrics.hpp"

#include <string>
#include <unordered_map>

namespace teaselwalk::node {

/// Writes events to the log and figures to the metrics of the process.
class EventRecorder : public cell::Recorder {
public:
  explicit EventRecorder(runtime::Metrics &Registry) : Registry(Registry) {}

  void event(EventName Name, cell::EventFields Fields) override;
  void count(const char *Name, int64_t Amount) override;
  void time(const char *Name, Duration Length) override;

private:
  runtime::Metrics &Registry;
  /// By the address of the literal, which saves the search by name.
  std::unordered_map<const char *, runtime::Counter *> Counters;
  std::unordered_map<const char *, runtime::Timing *> Timings;
};

} // namespace teaselwalk::node
