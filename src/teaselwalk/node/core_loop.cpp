#include "core_loop.hpp"

#include "teaselwalk/runtime/clock.hpp"
#include "teaselwalk/runtime/log.hpp"

#include <algorithm>
#include <ctime>
#include <thread>

namespace teaselwalk::node {
namespace {

constexpr Duration LongestSleep{1000};
constexpr std::chrono::milliseconds FullPause{1};
/// Timers run at least once after this much other work.
constexpr size_t WorkPerRound = 64;

} // namespace

TimePoint CoreLoop::now() const {
  // Unlike the steady clock it also counts the time of a suspended VM.
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return timeAt(static_cast<int64_t>(Value.tv_sec) * 1000 +
                Value.tv_nsec / 1000000);
}

int64_t CoreLoop::wallMillis() const { return runtime::wallMillis(); }

void CoreLoop::after(Duration Delay, std::function<void()> Work) {
  Timers.push({now() + Delay, NextNumber++, std::move(Work)});
}

bool CoreLoop::deliver(std::function<void()> Work) {
  // A push that fails leaves the work unchanged.
  while (!Ring.tryPush(std::move(Work))) { // NOLINT(bugprone-use-after-move)
    if (Ring.closed())
      return false;
    std::this_thread::sleep_for(FullPause);
  }
  return true;
}

bool CoreLoop::offer(std::function<void()> Work) {
  if (Ring.size() >= RingCapacity - ReservedForAnswers)
    return false;
  return Ring.tryPush(std::move(Work));
}

void CoreLoop::run() {
  while (!Ring.closed()) {
    Duration Sleep = LongestSleep;
    if (!Timers.empty())
      Sleep = std::clamp(Timers.top().At - now(), Duration(0), LongestSleep);
    auto Next = Ring.popUntil(std::chrono::steady_clock::now() + Sleep);
    for (size_t Done = 0; Next && Done < WorkPerRound; ++Done) {
      perform(*Next);
      Next = Ring.tryPop();
    }
    if (Next)
      perform(*Next);
    runTimers();
  }
}

void CoreLoop::runTimers() {
  TimePoint Now = now();
  while (!Timers.empty() && Timers.top().At <= Now) {
    std::function<void()> Work = Timers.top().Work;
    Timers.pop();
    perform(Work);
  }
}

void CoreLoop::perform(const std::function<void()> &Work) {
  try {
    Work();
  } catch (const std::exception &Failure) {
    // One bad message must not end the process.
    runtime::logEvent(runtime::Level::Error, EventName::ThreadFailed,
                      {{"duty", "core"}, {"reason", Failure.what()}});
  }
}

} // namespace teaselwalk::node
