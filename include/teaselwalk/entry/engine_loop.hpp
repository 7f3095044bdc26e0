#pragma once

#include "teaselwalk/engine/engine.hpp"
#include "teaselwalk/operators/backend.hpp"
#include "teaselwalk/runtime/bounded_ring.hpp"
#include "teaselwalk/runtime/metrics.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace teaselwalk::entry {

/// The engine's thread: takes events from a ring, gives them and the ticks to
/// the engine and hands its actions on. Never waits for anything but events.
class EngineLoop {
public:
  using Perform = std::function<void(engine::Action &&)>;

  EngineLoop(const engine::EngineOptions &Options, Perform Do,
             runtime::Metrics &Registry);

  /// New work from outside. False if too much is waiting; the event was not
  /// taken. Answers to own messages keep a part of the ring for themselves.
  bool offer(engine::Event Value);

  /// An answer, a report or a command of the process itself.
  void deliver(engine::Event Value);

  void run();
  void stop();

  /// The configuration as of the last tick; null before the first document.
  std::shared_ptr<const operators::CurrentConfig> config() const;
  /// What the teams have running here, as of the last second.
  config::RunningUsage running() const;
  /// Revision and age of the document at \p Now.
  operators::InForce inForce(TimePoint Now) const;

  bool isReady() const { return Ready; }
  bool isDrained() const { return Drained; }

private:
  void handle(const engine::Event &Value);
  void publish(TimePoint Now);

  static constexpr size_t RingCapacity = 65536;
  static constexpr size_t ReservedForAnswers = 32768;

  engine::Engine Core;
  Duration TickInterval;
  Perform Do;
  runtime::Timing &HandleTime;
  runtime::Counter &Events;
  runtime::Counter &LostAnswers;
  runtime::BoundedRing<engine::Event> Ring{RingCapacity};
  engine::Actions Steps;
  std::atomic<bool> Ready{false};
  std::atomic<bool> Drained{false};
  mutable std::mutex Mutex; ///< Guards what follows.
  std::shared_ptr<const operators::CurrentConfig> Published;
  config::RunningUsage Usage;
  operators::InForce Follows;
  TimePoint PublishedAt;
  TimePoint NextUsage;
};

} // namespace teaselwalk::entry
