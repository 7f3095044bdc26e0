#include "teaselwalk/cluster/takeover_guard.hpp"

#include <gtest/gtest.h>

using namespace teaselwalk;
using namespace teaselwalk::cluster;

namespace {

const EndpointId E1("e1");
const EndpointId E2("e2");
const ProcessId P("p");

// Guards against a second run of a task that a former owner still renews on an
// endpoint that the new owner cannot reach.
TEST(TakeoverGuard, UnreachedEndpointsCountAsRunning) {
  TakeoverGuard Guard;
  Guard.startTakeover({E1, E2}, {P});
  Guard.onEndpointReached(E1);
  EXPECT_EQ(Guard.knowledge(E1, timeAt(0)), TaskKnowledge::Reported);
  EXPECT_EQ(Guard.knowledge(E2, timeAt(900000)), TaskKnowledge::Unknown);
  EXPECT_FALSE(Guard.mayRestartUnreported(timeAt(900000)));
  Guard.onRemovedFromList(E2);
  EXPECT_TRUE(Guard.mayRestartUnreported(timeAt(900000)));
  // The list was behind: the endpoint exists after all.
  Guard.onAddedToList(E2);
  EXPECT_FALSE(Guard.mayRestartUnreported(timeAt(900000)));
}

// Guards against counting tasks as ended before their leases have expired. A
// former owner may renew them until its VM is gone, and the endpoint's clock
// may be 2% slow.
TEST(TakeoverGuard, LeaseEndsAfterAllFormerOwnersAreGone) {
  TakeoverGuard Guard;
  Guard.startTakeover({E1}, {P});
  Guard.addFormerOwner(ProcessId("q"));
  Guard.onFormerOwnerGone(P, timeAt(0));
  EXPECT_FALSE(Guard.allKnown(timeAt(100000)));
  Guard.onFormerOwnerGone(ProcessId("q"), timeAt(100000));
  EXPECT_FALSE(Guard.allKnown(timeAt(130599)));
  EXPECT_TRUE(Guard.allKnown(timeAt(130600)));
  Guard.onFormerOwnerBack(P);
  EXPECT_FALSE(Guard.allKnown(timeAt(130600)));
}

// Guards against counting tasks as ended although the former owner is unknown
// and may still renew them.
TEST(TakeoverGuard, UnknownFormerOwnerNeverCountsAsGone) {
  TakeoverGuard Guard;
  Guard.startTakeover({E1}, {});
  EXPECT_FALSE(Guard.allKnown(timeAt(900000)));
}

} // namespace
