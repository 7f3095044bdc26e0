#include "probe_responder.hpp"

#include <algorithm>

namespace teaselwalk::node {
namespace {

/// Longest delay that another process may request for the answer to its probe
/// of this one.
constexpr Duration MaxAnswerDelay{1000};

} // namespace

void ProbeResponder::answer(Duration Wait, Answer Done) {
  Duration Delay = std::clamp(Wait, Duration(0), MaxAnswerDelay);
  Timers.tryPost([this, Delay, Done = std::move(Done)] {
    Timers.after(Delay, [this, Done] {
      Done({ProcessId, Scheduler.stalledFor()});
    });
  });
}

} // namespace teaselwalk::node
