#include "teaselwalk/cluster/sharding.hpp"

#include "teaselwalk/base/error.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using namespace teaselwalk;
using namespace teaselwalk::cluster;

// Guards against a hash that differs between processes, which would then own
// different endpoints under the same shard number, and against one that fills
// shards unevenly.
TEST(Sharding, SpreadsEndpointsEvenlyAndStably) {
  std::vector<int> Count(4);
  for (int I = 0; I < 4000; ++I)
    ++Count[shardOf(EndpointId("ep-" + std::to_string(I)), {4})];
  for (int N : Count)
    EXPECT_NEAR(N, 1000, 100);
  EXPECT_EQ(shardOf(EndpointId("brno-a-17"), {64}),
            shardOf(EndpointId("brno-a-17"), {64}));
  EXPECT_THROW(shardOf(EndpointId("x"), {0}), InvalidInput);
  EXPECT_THROW(shardOf(EndpointId("x"), {65}), InvalidInput);
}

// Guards against moving shards between the remaining processes when one process
// leaves.
TEST(Sharding, OnlyShardsOfTheMissingProcessMove) {
  std::vector<ProcessId> Live;
  Live.reserve(7);
  for (int I = 0; I < 7; ++I)
    Live.emplace_back("p" + std::to_string(I));
  std::vector<ProcessId> Fewer(Live.begin() + 1, Live.end());
  std::reverse(Fewer.begin(), Fewer.end());
  for (uint32_t N = 0; N < 64; ++N) {
    ShardId Shard{DataCentreId("brno-a"), N};
    ProcessId Before = *preferredOwner(Shard, Live);
    if (Before != Live.front()) {
      EXPECT_EQ(*preferredOwner(Shard, Fewer), Before);
    }
  }
  EXPECT_FALSE(preferredOwner({DataCentreId("brno-a"), 0}, {}));
}
