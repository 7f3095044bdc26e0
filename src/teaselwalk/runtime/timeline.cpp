#include "teaselwalk/runtime/timeline.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace teaselwalk::runtime {
namespace {

auto orderOf(const TimelineEvent &Event) {
  return std::tie(Event.Time.WallMs, Event.Time.Logical, Event.Process,
                  Event.Sequence);
}

bool isSame(const TimelineEvent &A, const TimelineEvent &B) {
  return A.Process == B.Process && A.Sequence == B.Sequence;
}

} // namespace

void to_json(nlohmann::json &Json, const TimelineEvent &Value) {
  nlohmann::json Items = nlohmann::json::object();
  for (const Field &Item : Value.Values)
    Items[Item.Name] = Item.Value;
  Json = {{"sequence", Value.Sequence},
          {"wall_ms", Value.WallMs},
          {"time", {Value.Time.WallMs, Value.Time.Logical}},
          {"process", Value.Process.str()},
          {"event", Value.Name},
          {"fields", std::move(Items)}};
}

void from_json(const nlohmann::json &Json, TimelineEvent &Value) {
  Json.at("sequence").get_to(Value.Sequence);
  Json.at("wall_ms").get_to(Value.WallMs);
  Json.at("time").at(0).get_to(Value.Time.WallMs);
  Json.at("time").at(1).get_to(Value.Time.Logical);
  Value.Process = ProcessId(Json.at("process").get<std::string>());
  Json.at("event").get_to(Value.Name);
  Value.Values.clear();
  for (const auto &Item : Json.at("fields").items())
    Value.Values.emplace_back(Item.key(), Item.value().get<std::string>());
}

TimelineBuffer::TimelineBuffer(ProcessId Process, size_t Capacity)
    : Process(std::move(Process)), Capacity(std::max<size_t>(Capacity, 1)) {}

void TimelineBuffer::add(EventName Name, Fields Values, int64_t WallMs) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Events.size() == Capacity)
    Events.pop_front();
  Events.push_back({Next++, WallMs, Clock.tick(WallMs), Process,
                    std::string(nameOf(EventNames, Name)), std::move(Values)});
}

std::vector<TimelineEvent> TimelineBuffer::after(uint64_t Sequence,
                                                 size_t Limit) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  uint64_t Oldest = Next - Events.size();
  uint64_t First = std::max(Oldest, std::min(Sequence, Next - 1) + 1);
  size_t Count = std::min<size_t>(Limit, Next - First);
  auto Begin = Events.begin() + static_cast<ptrdiff_t>(First - Oldest);
  return {Begin, Begin + static_cast<ptrdiff_t>(Count)};
}

HybridTime TimelineBuffer::stamp(int64_t WallMs) {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Clock.tick(WallMs);
}

void TimelineBuffer::observe(HybridTime Remote, int64_t WallMs) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Clock.observe(Remote, WallMs);
}

uint64_t TimelineBuffer::dropped() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Next - 1 - Events.size();
}

std::vector<TimelineEvent>
mergeTimelines(const std::vector<std::vector<TimelineEvent>> &Parts) {
  std::vector<TimelineEvent> Out;
  for (const std::vector<TimelineEvent> &Part : Parts)
    Out.insert(Out.end(), Part.begin(), Part.end());
  std::sort(Out.begin(), Out.end(),
            [](const TimelineEvent &A, const TimelineEvent &B) {
              return orderOf(A) < orderOf(B);
            });
  Out.erase(std::unique(Out.begin(), Out.end(), isSame), Out.end());
  return Out;
}

} // namespace teaselwalk::runtime
