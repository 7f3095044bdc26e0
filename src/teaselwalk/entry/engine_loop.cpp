#include "teaselwalk/entry/engine_loop.hpp"

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/runtime/clock.hpp"

#include <utility>

namespace teaselwalk::entry {
namespace {

constexpr Duration UsageInterval{1000};

/// Shown for a document that was never confirmed.
constexpr Duration UnknownAge{86400000};

} // namespace

EngineLoop::EngineLoop(const engine::EngineOptions &Options, Perform Do,
                       runtime::Metrics &Registry)
    : Core(Options, runtime::steadyNow()), TickInterval(Options.TickInterval),
      Do(std::move(Do)),
      HandleTime(Registry.timing("teaselwalk_engine_event_seconds",
                                 "Time to handle one event.")),
      Events(Registry.counter("teaselwalk_engine_events_total",
                              "Events handled by the engine.")),
      LostAnswers(Registry.counter("teaselwalk_engine_lost_answers_total",
                                   "Answers that found the ring full.")) {}

bool EngineLoop::offer(engine::Event Value) {
  if (Ring.size() >= RingCapacity - ReservedForAnswers)
    return false;
  return Ring.tryPush(std::move(Value));
}

void EngineLoop::deliver(engine::Event Value) {
  if (!Ring.tryPush(std::move(Value)))
    LostAnswers.add();
}

void EngineLoop::run() {
  TimePoint NextTick = runtime::steadyNow();
  while (!Ring.closed()) {
    auto Value = Ring.popUntil(runtime::toSteady(NextTick));
    if (Value)
      handle(*Value);
    TimePoint Now = runtime::steadyNow();
    if (Now < NextTick)
      continue;
    handle(engine::Tick{});
    publish(Now);
    NextTick = runtime::steadyNow() + TickInterval;
  }
}

void EngineLoop::stop() { Ring.close(); }

void EngineLoop::handle(const engine::Event &Value) {
  auto Start = std::chrono::steady_clock::now();
  Core.handle(Value, runtime::steadyNow(), Steps);
  std::chrono::duration<double> Spent =
      std::chrono::steady_clock::now() - Start;
  HandleTime.record(Spent.count());
  Events.add();
  for (engine::Action &Step : Steps)
    Do(std::move(Step));
  Steps.clear();
}

void EngineLoop::publish(TimePoint Now) {
  Ready = Core.isReady(Now);
  Drained = Core.isDrained(Now);
  const engine::DocumentFollower &Follower = Core.documents();
  auto Age = Follower.freshness().age(Now);
  std::lock_guard<std::mutex> Lock(Mutex);
  PublishedAt = Now;
  Follows.DataCentre = Core.dataCentre();
  Follows.Revision = Follower.revision();
  Follows.Age = Age.value_or(UnknownAge);
  bool IsNew =
      Follower.revision() > 0 &&
      (!Published || Published->Snapshot.Revision != Follower.revision());
  if (IsNew && Follower.head().Revision == Follower.revision())
    Published = std::make_shared<operators::CurrentConfig>(
        operators::CurrentConfig{Follower.head(), Follower.snapshot()});
  if (Now < NextUsage)
    return;
  NextUsage = Now + UsageInterval;
  Usage = Core.running();
}

std::shared_ptr<const operators::CurrentConfig> EngineLoop::config() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Published;
}

config::RunningUsage EngineLoop::running() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Usage;
}

operators::InForce EngineLoop::inForce(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  operators::InForce Value = Follows;
  Value.Age += Now - PublishedAt;
  return Value;
}

} // namespace teaselwalk::entry
