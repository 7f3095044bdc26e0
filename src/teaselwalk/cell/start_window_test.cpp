#include "teaselwalk/cell/start_window.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace teaselwalk::cell {
namespace {

/// Answers one start every 10 ms for a second, after \p Delays in turn.
void answer(StartWindow &Window, TimePoint From,
            const std::vector<Duration> &Delays) {
  for (int I = 0; I < 100; ++I) {
    Window.recordHeldBack();
    Window.recordAnswer(From + Duration(10 * I),
                        Delays[static_cast<size_t>(I) % Delays.size()]);
  }
}

// Guards against more and more starts on their way while all answers are late.
TEST(StartWindowTest, ShrinksWhileAllAnswersAreLate) {
  StartWindow Window;
  size_t Before = Window.limit();
  answer(Window, timeAt(1000), {Duration(400), Duration(800)});
  EXPECT_LT(Window.limit(), Before / 4);
  EXPECT_GT(Window.limit(), 0U);
}

// Guards against a few slow endpoints that slow down the starts on all others.
TEST(StartWindowTest, SlowEndpointsDoNotShrinkIt) {
  StartWindow Window;
  size_t Before = Window.limit();
  answer(Window, timeAt(1000), {Duration(800), Duration(700), Duration(20)});
  EXPECT_GE(Window.limit(), Before);
}

// Guards against a limit that stays low after the process has caught up, and
// one that rises although nothing waits.
TEST(StartWindowTest, GrowsOnlyWhileTasksWait) {
  StartWindow Window;
  answer(Window, timeAt(1000), {Duration(400)});
  size_t Low = Window.limit();
  for (int I = 0; I < 100; ++I)
    Window.recordAnswer(timeAt(3000 + 10 * I), Duration(5));
  EXPECT_EQ(Window.limit(), Low);
  answer(Window, timeAt(5000), {Duration(5)});
  EXPECT_GT(Window.limit(), Low * 4);
}

// Guards against starts without an answer that count as hung endpoints although
// it is this process that is late.
TEST(StartWindowTest, NoStartIsOverdueWhileAllAnswersAreLate) {
  StartWindow Window;
  answer(Window, timeAt(1000), {Duration(5)});
  EXPECT_TRUE(Window.isOverdue(Duration(400)));
  EXPECT_FALSE(Window.isOverdue(Duration(50)));
  answer(Window, timeAt(3000), {Duration(400)});
  EXPECT_FALSE(Window.isOverdue(Duration(400)));
}

} // namespace
} // namespace teaselwalk::cell
