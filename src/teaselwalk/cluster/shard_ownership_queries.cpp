#include "teaselwalk/cluster/shard_ownership.hpp"

#include <algorithm>

/// The const member functions of `ShardOwnership`: quorum, authority, leases.
namespace teaselwalk::cluster {
namespace {

/// Time points are rounded down to whole milliseconds, so the difference of two
/// may be wrong by up to 1 ms for each of them.
constexpr Duration Rounding{2};

} // namespace

size_t ShardOwnership::quorum() const {
  size_t TwoThirds = (2 * Peers.size() + 2) / 3;
  return std::max(TwoThirds, LongestList / 3 + 1);
}

bool ShardOwnership::isCounted(const Peer &Item, TimePoint Now) const {
  return Item.Attached && Now < Item.Confirmed + Options.Authority &&
         Now >= Item.HeldSince + withDrift(Options.Authority) + Rounding;
}

bool ShardOwnership::isUnreachable(const Peer &Item, TimePoint Now) const {
  return Now - Item.LastAnswer >= Options.Unreachable;
}

bool ShardOwnership::hasAuthority(TimePoint Now) const {
  return Now < authorityEnd(Now);
}

TimePoint ShardOwnership::authorityEnd(TimePoint Now) const {
  if (Role != Mode::Owning || Released)
    return Now;
  std::vector<TimePoint> Ends;
  for (const auto &[Id, Item] : Peers)
    if (isCounted(Item, Now))
      Ends.push_back(Item.Confirmed + Options.Authority);
  size_t Needed = quorum();
  if (Ends.size() < Needed)
    return Now;
  auto Last = Ends.begin() + static_cast<std::ptrdiff_t>(Needed - 1);
  std::nth_element(Ends.begin(), Last, Ends.end(), std::greater<>());
  return *Last;
}

OwnershipState ShardOwnership::state(TimePoint Now) const {
  if (Role == Mode::Idle)
    return OwnershipState::Idle;
  if (Role == Mode::GivenUp)
    return OwnershipState::Lost;
  if (hasAuthority(Now))
    return OwnershipState::Holding;
  auto Attached =
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Row) {
        return Row.second.Attached &&
               Now < Row.second.Confirmed + Options.Authority;
      });
  return static_cast<size_t>(Attached) >= quorum() ? OwnershipState::Waiting
                                                   : OwnershipState::Attaching;
}

bool ShardOwnership::mayStartOn(const EndpointId &Endpoint,
                                TimePoint Now) const {
  auto It = Peers.find(Endpoint);
  if (It == Peers.end() || !hasAuthority(Now))
    return false;
  const Peer &Item = It->second;
  return Item.Attached && !Item.Info.Leaving && !Item.SaysLeaving &&
         Now < Item.Confirmed + Options.Authority;
}

bool ShardOwnership::isAttached(const EndpointId &Endpoint) const {
  auto It = Peers.find(Endpoint);
  return It != Peers.end() && It->second.Attached;
}

std::vector<EndpointId> ShardOwnership::unreachable(TimePoint Now) const {
  std::vector<EndpointId> Result;
  for (const auto &[Id, Item] : Peers)
    if (Role != Mode::Idle && isUnreachable(Item, Now))
      Result.push_back(Id);
  return Result;
}

std::optional<TimePoint>
ShardOwnership::leasesEndBy(const EndpointId &Endpoint) const {
  auto It = Peers.find(Endpoint);
  if (It == Peers.end() || !It->second.LeaseSent)
    return std::nullopt;
  return *It->second.LeaseSent + Options.Transit + withDrift(Options.TaskLease);
}

} // namespace teaselwalk::cluster
