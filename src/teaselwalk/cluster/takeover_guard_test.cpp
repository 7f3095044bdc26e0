#include "teaselwalk/cluster/takeover_guard.hpp"

#include <gtest/gtest.h>

using namespace teaselwalk;
using namespace teaselwalk::cluster;

namespace {

const EndpointId E1("e1");
const EndpointId E2("e2");
const ProcessId P("p");

// Guards against a second run of a task that a former owner still renews on an
// endpoint which the new owner cannot reach.
TEST(TakeoverGuard, UnreachedEndpointsCountAsRunning) {
  TakeoverGuard Guard;
  Guard.begin({E1, E2}, {P});
  Guard.onReached(E1);
  EXPECT_EQ(Guard.knowledge(E1, timeAt(0)), TaskKnowledge::Reported);
  EXPECT_EQ(Guard.knowledge(E2, timeAt(900000)), TaskKnowledge::Unknown);
  EXPECT_FALSE(Guard.mayRestartMissing(timeAt(900000)));
  Guard.onRemovedFromList(E2);
  EXPECT_TRUE(Guard.mayRestartMissing(timeAt(900000)));
  // A list that lagged: the endpoint exists after all.
  Guard.onAddedToList(E2);
  EXPECT_FALSE(Guard.mayRestartMissing(timeAt(900000)));
}

// Guards against tasks that count as ended before their lease has ended after
// the former owner's VM has gone; the lease may run 2% slow.
TEST(TakeoverGuard, LeaseEndsAfterAllFormerOwnersAreGone) {
  TakeoverGuard Guard;
  Guard.begin({E1}, {P});
  Guard.addFormerOwner(ProcessId("q"));
  Guard.onOwnerGone(P, timeAt(0));
  EXPECT_FALSE(Guard.allKnown(timeAt(100000)));
  Guard.onOwnerGone(ProcessId("q"), timeAt(100000));
  EXPECT_FALSE(Guard.allKnown(timeAt(130599)));
  EXPECT_TRUE(Guard.allKnown(timeAt(130600)));
  Guard.onOwnerBack(P);
  EXPECT_FALSE(Guard.allKnown(timeAt(130600)));
}

// Guards against an unknown former owner that counts as gone.
TEST(TakeoverGuard, NobodyKnownProvesNothing) {
  TakeoverGuard Guard;
  Guard.begin({E1}, {});
  EXPECT_FALSE(Guard.allKnown(timeAt(900000)));
}

} // namespace
