#include "probe_responder.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace teaselwalk::node {
namespace {

/// Runs the loop of \p Body on a thread of its own.
template <typename Loop> class Running {
public:
  explicit Running(Loop &Body) : Body(Body), Thread([&Body] { Body.run(); }) {}
  ~Running() {
    Body.stop();
    Thread.join();
  }
  Running(const Running &) = delete;
  Running &operator=(const Running &) = delete;

private:
  Loop &Body;
  std::thread Thread;
};

cell::ProbeAnswer ask(ProbeResponder &Responder, Duration Wait) {
  std::promise<cell::ProbeAnswer> Answered;
  Responder.answer(Wait, [&Answered](const cell::ProbeAnswer &Answer) {
    Answered.set_value(Answer);
  });
  return Answered.get_future().get();
}

// Guards against a probe that waits for the scheduler's thread, so that a busy
// process passes for a dead one, and against a stuck scheduler that passes for
// a busy one.
TEST(ProbeResponderTest, AnswersWhileTheSchedulerIsBusyAndShowsForHowLong) {
  CoreLoop Core;
  ProbeResponder Responder("p#1", Core);
  Running<ProbeResponder> Probes(Responder);
  EXPECT_EQ(ask(Responder, Duration(0)).StalledFor, Duration(0));

  Running<CoreLoop> Scheduler(Core);
  std::promise<void> IsBusy;
  std::promise<void> MayEnd;
  std::promise<void> IsOver;
  Core.post([&] {
    IsBusy.set_value();
    MayEnd.get_future().wait();
  });
  IsBusy.get_future().wait();
  cell::ProbeAnswer Answer = ask(Responder, Duration(20));
  EXPECT_EQ(Answer.ProcessId, "p#1");
  EXPECT_GE(Answer.StalledFor, Duration(19));

  MayEnd.set_value();
  Core.post([] {});
  Core.post([&] { IsOver.set_value(); });
  IsOver.get_future().wait();
  EXPECT_LT(ask(Responder, Duration(0)).StalledFor, Answer.StalledFor);
}

} // namespace
} // namespace teaselwalk::node
