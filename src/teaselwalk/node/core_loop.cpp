#include "core_loop.hpp"

#include "teaselwalk/runtime/clock.hpp"
#include "teaselwalk/runtime/log.hpp"

#include <algorithm>
#include <ctime>
#include <thread>

namespace teaselwalk::node {
namespace {

constexpr Duration MaxSleep{1000};
/// Between two attempts to push into a full ring.
constexpr std::chrono::milliseconds RetryInterval{1};
/// Due timers run after at most this many queued items plus one, also while the
/// ring stays full.
constexpr size_t MaxItemsPerRound = 64;

} // namespace

TimePoint CoreLoop::now() const {
  // Unlike the steady clock, CLOCK_BOOTTIME also advances while the VM is
  // suspended.
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return timeAt(static_cast<int64_t>(Value.tv_sec) * 1000 +
                Value.tv_nsec / 1000000);
}

int64_t CoreLoop::wallMillis() const { return runtime::wallMillis(); }

void CoreLoop::after(Duration Delay, std::function<void()> Work) {
  Timers.push({now() + Delay, NextSequence++, std::move(Work)});
}

bool CoreLoop::post(std::function<void()> Work) {
  Item Next{std::move(Work), now()};
  // A push that fails does not move from the item.
  while (!Ring.tryPush(std::move(Next))) { // NOLINT(bugprone-use-after-move)
    if (Ring.closed())
      return false;
    std::this_thread::sleep_for(RetryInterval);
  }
  return true;
}

bool CoreLoop::tryPost(std::function<void()> Work) {
  if (Ring.size() >= RingCapacity - ReservedForAnswers)
    return false;
  return Ring.tryPush({std::move(Work), now()});
}

Duration CoreLoop::stalledFor() const {
  int64_t StartedMs = ItemStartedMs;
  return StartedMs == 0 ? Duration(0) : now() - timeAt(StartedMs);
}

void CoreLoop::run() {
  while (!Ring.closed()) {
    Duration Sleep = MaxSleep;
    if (!Timers.empty())
      Sleep = std::clamp(Timers.top().At - now(), Duration(0), MaxSleep);
    auto Next = Ring.popUntil(std::chrono::steady_clock::now() + Sleep);
    for (size_t Done = 0; Next && Done < MaxItemsPerRound; ++Done) {
      runItem(*Next);
      Next = Ring.tryPop();
    }
    if (Next)
      runItem(*Next);
    runTimers();
  }
}

void CoreLoop::runItem(const Item &Next) {
  ++Load.Items;
  Load.MaxQueueTime = std::max(Load.MaxQueueTime, now() - Next.PostedAt);
  invoke(Next.Work);
}

void CoreLoop::runTimers() {
  TimePoint Now = now();
  while (!Timers.empty() && Timers.top().At <= Now) {
    std::function<void()> Work = Timers.top().Work;
    ++Load.Items;
    Load.MaxTimerDelay = std::max(Load.MaxTimerDelay, Now - Timers.top().At);
    Timers.pop();
    invoke(Work);
  }
}

void CoreLoop::invoke(const std::function<void()> &Work) {
  ItemStartedMs = now().time_since_epoch().count();
  try {
    Work();
  } catch (const std::exception &Failure) {
    // A fault in the handling of one message must not end the process.
    runtime::logEvent(runtime::Level::Error, EventName::ThreadFailed,
                      {{"duty", "core"}, {"reason", Failure.what()}});
  }
  ItemStartedMs = 0;
}

} // namespace teaselwalk::node
