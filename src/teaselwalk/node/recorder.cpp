#include "recorder.hpp"

#include "teaselwalk/runtime/log.hpp"

#include <algorithm>

namespace teaselwalk::node {
namespace {

constexpr double MsPerSecond = 1000;

} // namespace

void EventRecorder::event(EventName Name, cell::EventFields Fields) {
  runtime::Fields Values;
  Values.reserve(Fields.size());
  for (auto &[Key, Value] : Fields)
    Values.emplace_back(std::move(Key), std::move(Value));
  runtime::logEvent(runtime::Level::Info, Name, std::move(Values));
}

void EventRecorder::count(const char *Name, int64_t Amount) {
  Interval.Counts[Name] += Amount;
  runtime::Counter *&Cached = Counters[Name];
  if (Cached == nullptr)
    Cached =
        &Registry.counter(std::string("teaselwalk_") + Name + "_total", Name);
  Cached->add(static_cast<uint64_t>(Amount));
}

void EventRecorder::time(const char *Name, Duration Length) {
  Duration &Longest = Interval.LongestTimes[Name];
  Longest = std::max(Longest, Length);
  runtime::Timing *&Cached = Timings[Name];
  if (Cached == nullptr)
    Cached =
        &Registry.timing(std::string("teaselwalk_") + Name + "_seconds", Name);
  Cached->record(static_cast<double>(Length.count()) / MsPerSecond);
}

} // namespace teaselwalk::node
