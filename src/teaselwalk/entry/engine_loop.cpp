#include "teaselwalk/entry/engine_loop.hpp"

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/runtime/clock.hpp"

#include <utility>

namespace teaselwalk::entry {

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
  Core.setWallClock(runtime::wallMillis());
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
}

} // namespace teaselwalk::entry
