#include "core_loop.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace teaselwalk::node {
namespace {

constexpr int EndpointAnswers = 10000;
/// Timers and items of the bulk lane that run in one round at most.
constexpr int MaxBulkPerRound = 32;

/// A loop with a queue of answers of endpoints, the `Trigger`-th of which adds
/// further work. The loop stops after the last answer.
class BusyLoopTest : public ::testing::Test {
protected:
  static constexpr int Trigger = 100;

  void run(const std::function<void()> &OnTrigger) {
    for (int I = 0; I < EndpointAnswers; ++I)
      Loop.post([this, OnTrigger] {
        if (++Done == Trigger)
          OnTrigger();
        if (Done == EndpointAnswers)
          Loop.stop();
      });
    Loop.run();
  }

  CoreLoop Loop;
  int Done = 0;
};

// Guards against an answer of the store, such as that to the renewal of the
// owner's lease, that waits behind thousands of answers of endpoints.
TEST_F(BusyLoopTest, AnAnswerOfTheStoreDoesNotWaitBehindAnswersOfEndpoints) {
  int DoneBefore = 0;
  run([&] { Loop.post([&] { DoneBefore = Done; }, Lane::Control); });
  EXPECT_GE(DoneBefore, Trigger);
  EXPECT_LE(DoneBefore, Trigger + MaxBulkPerRound);
}

// Guards against timers of the election, and others, that wait behind thousands
// of answers of endpoints.
TEST_F(BusyLoopTest, DueTimersDoNotWaitBehindAnswersOfEndpoints) {
  int DoneBeforeControl = 0;
  int DoneBeforeBulk = 0;
  run([&] {
    Loop.control().after(Duration(0), [&] { DoneBeforeControl = Done; });
    Loop.after(Duration(0), [&] { DoneBeforeBulk = Done; });
  });
  EXPECT_GE(DoneBeforeControl, Trigger);
  EXPECT_LE(DoneBeforeControl, Trigger + MaxBulkPerRound);
  EXPECT_GE(DoneBeforeBulk, Trigger);
  EXPECT_LE(DoneBeforeBulk, Trigger + MaxBulkPerRound);
}

// Guards against the renewal of the owner's lease and its answer that wait for
// thousands of due timers of endpoints.
TEST_F(BusyLoopTest, DueTimersOfEndpointsDoNotHoldUpTheRest) {
  int Timers = 0;
  int TimersBeforeControl = 0;
  int TimersBeforeStore = 0;
  run([&] {
    for (int I = 0; I < EndpointAnswers; ++I)
      Loop.after(Duration(0), [&] { ++Timers; });
    Loop.control().after(Duration(0), [&] { TimersBeforeControl = Timers; });
    Loop.post([&] { TimersBeforeStore = Timers; }, Lane::Control);
  });
  EXPECT_LE(TimersBeforeControl, MaxBulkPerRound);
  EXPECT_LE(TimersBeforeStore, MaxBulkPerRound);
  EXPECT_GT(Timers, EndpointAnswers / 2) << "timers get a share as well";
  EXPECT_LE(Timers, EndpointAnswers);
}

// Guards against requests and answers of endpoints that never run because the
// store's answers keep the loop busy.
TEST_F(BusyLoopTest, BulkWorkGetsAShareBesideEndlessControlWork) {
  int Control = 0;
  std::function<void()> Again = [&] {
    ++Control;
    Loop.post(Again, Lane::Control);
    Loop.control().after(Duration(0), [&] { ++Control; });
  };
  Loop.post(Again, Lane::Control);
  run([] {});
  EXPECT_EQ(Done, EndpointAnswers);
  EXPECT_LE(Control, EndpointAnswers * 16);
}

// Guards against new requests that take the slots kept for answers, and against
// a full lane that refuses the work of the other one.
TEST(CoreLoopTest, RequestsLeaveRoomForAnswersOnEachLane) {
  for (Lane Full : {Lane::Control, Lane::Bulk}) {
    CoreLoop Loop;
    size_t Requests = 0;
    while (Loop.tryPost([] {}, Full))
      ++Requests;
    EXPECT_GT(Requests, 1000U);
    std::atomic<int> Answers{0};
    for (size_t I = 0; I < Requests; ++I)
      EXPECT_TRUE(Loop.post([&] { ++Answers; }, Full));
    EXPECT_FALSE(Loop.tryPost([] {}, Full));
    Lane Other = Full == Lane::Control ? Lane::Bulk : Lane::Control;
    EXPECT_TRUE(Loop.tryPost([] {}, Other));
    std::thread Runner([&] { Loop.run(); });
    while (Answers < static_cast<int>(Requests))
      std::this_thread::yield();
    Loop.stop();
    Runner.join();
  }
}

// Guards against a loop that sleeps although control work has arrived.
TEST(CoreLoopTest, ControlWorkWakesTheLoop) {
  CoreLoop Loop;
  std::thread Runner([&] { Loop.run(); });
  TimePoint Begin = Loop.now();
  constexpr int Rounds = 200;
  for (int I = 0; I < Rounds; ++I) {
    std::atomic<bool> IsDone{false};
    Loop.post([&] { IsDone = true; }, Lane::Control);
    while (!IsDone)
      std::this_thread::yield();
  }
  EXPECT_LT(Loop.now() - Begin, Duration(30000))
      << "a loop that is not woken sleeps for 1 s each time";
  Loop.stop();
  Runner.join();
}

} // namespace
} // namespace teaselwalk::node
