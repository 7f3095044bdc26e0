#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <algorithm>
#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::cell::testing {

/// Virtual clock and event queue of a simulation. Work runs in the order of its
/// due time, work due at the same time in the order in which it was added.
class FakeClock : public Executor {
public:
  TimePoint now() const override { return Now; }
  int64_t wallMillis() const override {
    return WallOrigin + Now.time_since_epoch().count() + WallStep.count();
  }
  void after(Duration Delay, std::function<void()> Work) override {
    Queue.emplace(std::make_pair(Now + Delay, Number++), std::move(Work));
  }

  void runFor(Duration Length) { runUntil(Now + Length); }

  void runUntil(TimePoint End) {
    while (!Queue.empty() && Queue.begin()->first.first <= End) {
      auto Next = Queue.extract(Queue.begin());
      Now = std::max(Now, Next.key().first);
      Next.mapped()();
    }
    Now = End;
  }

  Duration WallStep{0}; ///< Added to the wall clock to make it jump.

private:
  static constexpr int64_t WallOrigin = 1700000000000;
  TimePoint Now = timeAt(1000);
  uint64_t Number = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> Queue;
};

/// The clock as seen by one process. Its work is held back while the process is
/// paused or its scheduler's thread is blocked, and dropped once it is dead.
/// Work that takes processor time runs one after the other, in the order in
/// which it became due.
class FakeProcessClock : public Executor {
public:
  explicit FakeProcessClock(FakeClock &Shared) : Shared(Shared) {}

  using ProcessorTime = std::chrono::microseconds;
  ProcessorTime WorkTime{0};    ///< Time of each piece of work.
  ProcessorTime RequestTime{0}; ///< Time to send a request.
  ProcessorTime StartTime{0};   ///< Time to store and send a start, beyond it.
  ProcessorTime Used{0};        ///< Time that was used so far.

  void chargeRequest() { Pending += RequestTime; }
  void chargeStart() { Pending += StartTime; }
  /// Lets \p Time pass in the work that is being done. What it sends later
  /// still leaves at once.
  void spend(ProcessorTime Time) {
    Pending += Time;
    Spent += Time;
  }

  TimePoint now() const override {
    return Shared.now() + std::chrono::duration_cast<Duration>(Spent);
  }
  int64_t wallMillis() const override { return Shared.wallMillis(); }
  void after(Duration Delay, std::function<void()> Work) override {
    Shared.after(Delay, [this, Work = std::move(Work)] { perform(Work); });
  }

  /// The clock whose work does not wait for a backlog.
  Executor &control() { return Control; }

  /// Runs \p Work on another thread of the process than the scheduler's.
  void afterElsewhere(Duration Delay, std::function<void()> Work) {
    Shared.after(Delay, [this, Work = std::move(Work)] {
      if (Paused)
        Waiting.push_back(Work);
      else if (!Dead)
        Work();
    });
  }

  /// Drops all work of the process. Messages in flight to others still arrive.
  void die() { Dead = true; }

  void pause() { Paused = true; }
  void resume() {
    Paused = false;
    performLate();
  }

  /// Makes the scheduler's thread work on one item until `unblock`. The other
  /// threads of the process go on.
  void block() { BlockedAt = now(); }
  void unblock() {
    BlockedAt.reset();
    performLate();
  }

  /// As in a real process, an exception ends only the piece of work that throws
  /// it. Otherwise it fails the test.
  bool CatchesExceptions = false;

  /// For how long the scheduler's thread has worked on its current item.
  Duration stalledFor() const {
    if (BlockedAt)
      return now() - *BlockedAt;
    return IsBusy ? Shared.now() - ItemStartedAt : Duration(0);
  }

  /// Makes all work but that of `control()` wait until `endBacklog`, as behind
  /// a long queue.
  void beginBacklog() { HasBacklog = true; }
  void endBacklog() {
    HasBacklog = false;
    std::vector<std::function<void()>> Late;
    Late.swap(Queued);
    for (const auto &Work : Late)
      perform(Work);
  }

private:
  class ControlClock : public Executor {
  public:
    explicit ControlClock(FakeProcessClock &Owner) : Owner(Owner) {}
    TimePoint now() const override { return Owner.now(); }
    int64_t wallMillis() const override { return Owner.wallMillis(); }
    void after(Duration Delay, std::function<void()> Work) override {
      Owner.Shared.after(Delay, [this, Work = std::move(Work)] {
        Owner.performControl(Work);
      });
    }

  private:
    FakeProcessClock &Owner;
  };

  void perform(const std::function<void()> &Work) {
    if (HasBacklog && !Dead)
      Queued.push_back(Work);
    else
      performControl(Work);
  }

  void performControl(const std::function<void()> &Work) {
    if (Dead)
      return;
    if (Paused || BlockedAt)
      return Waiting.push_back(Work);
    if (WorkTime.count() == 0)
      return invoke(Work);
    Due.push_back(Work);
    if (!IsBusy)
      runNext();
  }

  void invoke(const std::function<void()> &Work) {
    if (!CatchesExceptions)
      return Work();
    try {
      Work();
    } catch (const std::exception &) {
      return;
    }
  }

  void runNext() {
    IsBusy = true;
    while (!Due.empty() && !Dead && Pending < Duration(1)) {
      auto Work = std::move(Due.front());
      Due.pop_front();
      ItemStartedAt = Shared.now();
      ProcessorTime Before = Pending;
      Pending += WorkTime;
      invoke(Work);
      Spent = ProcessorTime(0);
      Used += Pending - Before;
    }
    IsBusy = Pending >= Duration(1);
    if (!IsBusy)
      return;
    auto Whole = std::chrono::duration_cast<Duration>(Pending);
    Pending -= Whole;
    Shared.after(Whole, [this] { runNext(); });
  }

  void performLate() {
    std::vector<std::function<void()>> Late;
    Late.swap(Waiting);
    for (const auto &Work : Late)
      performControl(Work);
  }

  FakeClock &Shared;
  std::deque<std::function<void()>> Due; ///< Waits for the processor.
  bool IsBusy = false;
  TimePoint ItemStartedAt;  ///< Start of the latest work.
  ProcessorTime Pending{0}; ///< Time until the processor is free.
  ProcessorTime Spent{0};   ///< By `spend` in the work that is being done.
  bool Paused = false;
  std::optional<TimePoint> BlockedAt;
  std::vector<std::function<void()>> Waiting;
  bool HasBacklog = false;
  std::vector<std::function<void()>> Queued;
  bool Dead = false;
  ControlClock Control{*this};
};

/// Counts events and counters by name; keeps the log lines only on demand.
class FakeRecorder : public Recorder {
public:
  void event(EventName Name, EventFields Fields) override {
    ++Events[Name];
    if (OnEvent)
      OnEvent(Name, Fields);
    if (KeepsLines)
      Lines.emplace_back(Name, std::move(Fields));
  }
  void count(const char *Name, int64_t Amount) override {
    Counts[Name] += Amount;
    if (OnCount)
      OnCount(Name, Amount);
  }
  void time(const char *, Duration) override {}

  std::map<EventName, int> Events;
  std::map<std::string, int64_t> Counts;
  std::function<void(const std::string &Name, int64_t Amount)> OnCount;
  std::function<void(EventName, const EventFields &)> OnEvent;
  bool KeepsLines = false; ///< Keeps the log lines in `Lines`.
  std::vector<std::pair<EventName, EventFields>> Lines;
};

} // namespace teaselwalk::cell::testing
