#include "teaselwalk/runtime/timeline.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace teaselwalk::runtime {
namespace {

std::vector<std::string> describe(const std::vector<TimelineEvent> &Events) {
  std::vector<std::string> Out;
  Out.reserve(Events.size());
  for (const TimelineEvent &Event : Events)
    Out.push_back(Event.Process.str() + std::to_string(Event.Sequence));
  return Out;
}

// Guards against an effect shown before its cause when the receiver's wall
// clock is behind the sender's.
TEST(TimelineTest, MergePutsCauseBeforeEffect) {
  TimelineBuffer Sender(ProcessId("a"), 10);
  TimelineBuffer Receiver(ProcessId("b"), 10);
  Receiver.add(EventName::ProcessStarted, {}, 900);
  Sender.add(EventName::CallForwarded, {}, 5000);
  Receiver.observe(Sender.stamp(5000), 1000);
  Receiver.add(EventName::CallReceived, {}, 1000);
  Sender.observe(Receiver.stamp(1001), 5001);
  Sender.add(EventName::CallAnswered, {}, 5001);
  auto Merged = mergeTimelines({Receiver.after(0, 10), Sender.after(0, 10)});
  EXPECT_EQ(describe(Merged),
            (std::vector<std::string>{"b1", "a1", "b2", "a2"}));
}

// Guards against events that are listed twice when the same process is asked
// twice.
TEST(TimelineTest, MergeListsAnEventOnce) {
  TimelineBuffer Buffer(ProcessId("a"), 10);
  Buffer.add(EventName::ProcessStarted, {}, 1);
  auto Part = Buffer.after(0, 10);
  EXPECT_EQ(mergeTimelines({Part, Part}).size(), 1U);
}

// Guards against unbounded memory, and against wrong slices at the edges.
TEST(TimelineTest, BufferIsBounded) {
  TimelineBuffer Buffer(ProcessId("a"), 3);
  EXPECT_TRUE(Buffer.after(0, 10).empty());
  for (int I = 0; I < 10; ++I)
    Buffer.add(EventName::TaskStarted, {}, 1);
  EXPECT_EQ(Buffer.dropped(), 7U);
  EXPECT_EQ(describe(Buffer.after(0, 10)),
            (std::vector<std::string>{"a8", "a9", "a10"}));
  EXPECT_EQ(describe(Buffer.after(8, 1)), (std::vector<std::string>{"a9"}));
  EXPECT_TRUE(Buffer.after(10, 10).empty());
  EXPECT_TRUE(Buffer.after(UINT64_MAX, 10).empty());
}

// Guards against fields lost between process and command line.
TEST(TimelineTest, JsonRoundTrips) {
  TimelineBuffer Buffer(ProcessId("a"), 3);
  Buffer.add(EventName::TaskStarted, {{"request", "r1"}, {"attempt", 2}}, 77);
  TimelineEvent Event = Buffer.after(0, 1).at(0);
  auto Copy =
      nlohmann::json::parse(nlohmann::json(Event).dump()).get<TimelineEvent>();
  EXPECT_EQ(Copy.Name, "task_started");
  EXPECT_EQ(Copy.WallMs, 77);
  EXPECT_EQ(Copy.Time, Event.Time);
  ASSERT_EQ(Copy.Values.size(), 2U);
  EXPECT_EQ(Copy.Values[0], (Field{"attempt", "2"}));
}

// Guards against one process with a wrong clock moving the time of all.
TEST(HybridClockTest, FarFutureIsIgnored) {
  HybridClock Clock;
  EXPECT_FALSE(Clock.observe({INT64_MAX, 0}, 1000));
  EXPECT_EQ(Clock.tick(1000), (HybridTime{1000, 0}));
  EXPECT_TRUE(Clock.observe({2000, UINT32_MAX}, 1000));
  EXPECT_EQ(Clock.tick(1000), (HybridTime{2001, 0}));
}

} // namespace
} // namespace teaselwalk::runtime
