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
  addTimer(Bulk, Delay, std::move(Work));
}

void CoreLoop::addTimer(Queue &To, Duration Delay, std::function<void()> Work) {
  To.Timers.push({now() + Delay, NextSequence++, std::move(Work)});
}

bool CoreLoop::post(std::function<void()> Work, Lane To) {
  Queue &Target = queueOf(To);
  Item Next{std::move(Work), now()};
  // A push that fails does not move from the item.
  // NOLINTNEXTLINE(bugprone-use-after-move)
  while (!Target.Ring.tryPush(std::move(Next))) {
    if (Target.Ring.closed())
      return false;
    std::this_thread::sleep_for(RetryInterval);
  }
  // The loop waits at the ring of the bulk lane.
  if (To == Lane::Control)
    Bulk.Ring.wake();
  return true;
}

bool CoreLoop::tryPost(std::function<void()> Work, Lane To) {
  Queue &Target = queueOf(To);
  if (Target.Ring.size() >= Target.Ring.capacity() - Target.ReservedForAnswers)
    return false;
  if (!Target.Ring.tryPush({std::move(Work), now()}))
    return false;
  if (To == Lane::Control)
    Bulk.Ring.wake();
  return true;
}

Duration CoreLoop::stalledFor() const {
  int64_t StartedMs = ItemStartedMs;
  return StartedMs == 0 ? Duration(0) : now() - timeAt(StartedMs);
}

void CoreLoop::run() {
  while (!Bulk.Ring.closed()) {
    bool HasServed = serve(Control);
    HasServed |= serve(Bulk);
    if (!HasServed)
      wait();
  }
}

void CoreLoop::stop() {
  Control.Ring.close();
  Bulk.Ring.close();
}

bool CoreLoop::serve(Queue &From) {
  TimePoint Now = now();
  size_t Timers = 0;
  for (; Timers < From.PerRound && !From.Timers.empty() &&
         From.Timers.top().At <= Now;
       ++Timers) {
    std::function<void()> Work = From.Timers.top().Work;
    ++Load.Items;
    Load.MaxTimerDelay =
        std::max(Load.MaxTimerDelay, Now - From.Timers.top().At);
    From.Timers.pop();
    invoke(Work);
  }
  size_t Items = 0;
  for (; Items < From.PerRound; ++Items) {
    auto Next = From.Ring.tryPop();
    if (!Next)
      break;
    runItem(*Next);
  }
  return Timers + Items > 0;
}

void CoreLoop::wait() {
  Duration Sleep = MaxSleep;
  for (const Queue *Each : {&Control, &Bulk})
    if (!Each->Timers.empty())
      Sleep = std::min(Sleep, Each->Timers.top().At - now());
  auto Next = Bulk.Ring.popUntil(std::chrono::steady_clock::now() + Sleep);
  if (Next)
    runItem(*Next);
}

void CoreLoop::runItem(const Item &Next) {
  ++Load.Items;
  Load.MaxQueueTime = std::max(Load.MaxQueueTime, now() - Next.PostedAt);
  invoke(Next.Work);
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
