#include "teaselwalk/runtime/bounded_ring.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <thread>

namespace teaselwalk::runtime {
namespace {

using Clock = std::chrono::steady_clock;

// Guards against elements lost, duplicated or reordered within one producer.
TEST(BoundedRingTest, SeveralProducersKeepTheirOrder) {
  constexpr int Producers = 4;
  constexpr int PerProducer = 20000;
  BoundedRing<std::pair<int, int>> Ring(64);
  std::vector<std::thread> Threads;
  Threads.reserve(Producers);
  for (int Producer = 0; Producer < Producers; ++Producer)
    Threads.emplace_back([&Ring, Producer] {
      for (int I = 0; I < PerProducer; ++I)
        while (!Ring.tryPush({Producer, I}))
          std::this_thread::yield();
    });
  std::map<int, int> Next;
  for (int I = 0; I < Producers * PerProducer; ++I) {
    auto Item = Ring.pop();
    ASSERT_TRUE(Item);
    ASSERT_EQ(Item->second, Next[Item->first]++);
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  EXPECT_EQ(Ring.size(), 0U);
}

// Guards against a full ring that grows, blocks or destroys what it refuses.
TEST(BoundedRingTest, FullRingRefusesAndLeavesTheValue) {
  BoundedRing<std::unique_ptr<int>> Ring(2);
  EXPECT_TRUE(Ring.tryPush(std::make_unique<int>(1)));
  EXPECT_TRUE(Ring.tryPush(std::make_unique<int>(2)));
  auto Third = std::make_unique<int>(3);
  EXPECT_FALSE(Ring.tryPush(std::move(Third)));
  ASSERT_NE(Third, nullptr); // NOLINT(bugprone-use-after-move)
  EXPECT_EQ(Ring.refused(), 1U);
  EXPECT_EQ(**Ring.tryPop(), 1);
  EXPECT_TRUE(Ring.tryPush(std::move(Third)));
}

// Guards against a wake-up that is lost because the consumer does not wait yet,
// and against one that takes effect twice.
TEST(BoundedRingTest, WakeEndsOneWait) {
  BoundedRing<int> Ring(2);
  const Clock::time_point Late = Clock::now() + std::chrono::hours(1);
  Ring.wake();
  EXPECT_FALSE(Ring.popUntil(Late));
  std::thread Waker([&] { Ring.wake(); });
  EXPECT_FALSE(Ring.popUntil(Late));
  Waker.join();
  EXPECT_LT(Clock::now(), Late);
  Ring.wake();
  EXPECT_FALSE(Ring.popUntil(Late));
  const Clock::time_point Soon = Clock::now() + std::chrono::milliseconds(2);
  EXPECT_FALSE(Ring.popUntil(Soon));
  EXPECT_GE(Clock::now(), Soon) << "the wake-up took effect twice";
}

// Guards against a consumer that waits beyond its deadline or forever.
TEST(BoundedRingTest, PopEndsAtDeadlineAndAtClose) {
  BoundedRing<int> Ring(2);
  EXPECT_FALSE(Ring.popUntil(Clock::now()));
  std::thread Closer([&] { Ring.close(); });
  EXPECT_FALSE(Ring.pop());
  Closer.join();
  EXPECT_FALSE(Ring.tryPush(1));
}

// Guards against elements lost at shutdown.
TEST(BoundedRingTest, ClosedRingStillYieldsItsElements) {
  BoundedRing<int> Ring(2);
  EXPECT_TRUE(Ring.tryPush(7));
  Ring.close();
  EXPECT_EQ(Ring.pop(), 7);
  EXPECT_FALSE(Ring.pop());
}

} // namespace
} // namespace teaselwalk::runtime
