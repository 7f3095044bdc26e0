#include "teaselwalk/cluster/sharding.hpp"

#include "teaselwalk/base/error.hpp"

#include <xxhash.h>

namespace teaselwalk::cluster {
namespace {

uint64_t hashText(const std::string &Text, uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

} // namespace

uint32_t shardOf(const EndpointId &Endpoint, ShardCount Count) {
  if (Count.Value < 1 || Count.Value > MaxShards)
    throw InvalidInput("shards", "must be 1 to 64");
  return static_cast<uint32_t>(hashText(Endpoint.str(), 0) % Count.Value);
}

std::optional<ProcessId> preferredOwner(const ShardId &Shard,
                                        const std::vector<ProcessId> &Live) {
  uint64_t ShardHash = hashText(Shard.DataCentre.str(), Shard.Number);
  std::optional<ProcessId> Best;
  uint64_t BestWeight = 0;
  for (const ProcessId &Process : Live) {
    uint64_t Weight = hashText(Process.str(), ShardHash);
    if (Best &&
        (Weight < BestWeight || (Weight == BestWeight && !(*Best < Process))))
      continue;
    Best = Process;
    BestWeight = Weight;
  }
  return Best;
}

} // namespace teaselwalk::cluster
