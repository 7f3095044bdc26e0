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
  size_t TwoThirds = (2 * Links.size() + 2) / 3;
  return std::max(TwoThirds, LongestList / 3 + 1);
}

bool ShardOwnership::isCounted(const EndpointLink &Link, TimePoint Now) const {
  return Link.IsAttached && Now < Link.Confirmed + Options.Authority &&
         Now >= Link.HeldSince + withDrift(Options.Authority) + Rounding;
}

bool ShardOwnership::isUnreachable(const EndpointLink &Link,
                                   TimePoint Now) const {
  return Now - Link.LastAnswer >= Options.UnreachableAfter;
}

bool ShardOwnership::hasAuthority(TimePoint Now) const {
  return Now < authorityEnd(Now);
}

TimePoint ShardOwnership::authorityEnd(TimePoint Now) const {
  if (Role != Mode::Owning || IsReleased)
    return Now;
  std::vector<TimePoint> Ends;
  for (const auto &[Id, Link] : Links)
    if (isCounted(Link, Now))
      Ends.push_back(Link.Confirmed + Options.Authority);
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
  auto AttachedCount =
      std::count_if(Links.begin(), Links.end(), [&](const auto &Row) {
        return Row.second.IsAttached &&
               Now < Row.second.Confirmed + Options.Authority;
      });
  return static_cast<size_t>(AttachedCount) >= quorum()
             ? OwnershipState::Waiting
             : OwnershipState::Attaching;
}

bool ShardOwnership::mayStartOn(const EndpointId &Endpoint,
                                TimePoint Now) const {
  auto It = Links.find(Endpoint);
  if (It == Links.end() || !hasAuthority(Now))
    return false;
  const EndpointLink &Link = It->second;
  return Link.IsAttached && !Link.Info.Leaving && !Link.ReportsLeaving &&
         Now < Link.Confirmed + Options.Authority;
}

bool ShardOwnership::isAttached(const EndpointId &Endpoint) const {
  auto It = Links.find(Endpoint);
  return It != Links.end() && It->second.IsAttached;
}

std::vector<EndpointId> ShardOwnership::unreachable(TimePoint Now) const {
  std::vector<EndpointId> Result;
  for (const auto &[Id, Link] : Links)
    if (Role != Mode::Idle && isUnreachable(Link, Now))
      Result.push_back(Id);
  return Result;
}

std::optional<TimePoint>
ShardOwnership::leasesEndBy(const EndpointId &Endpoint) const {
  auto It = Links.find(Endpoint);
  if (It == Links.end() || !It->second.LeaseSent)
    return std::nullopt;
  return *It->second.LeaseSent + Options.MaxDeliveryDelay +
         withDrift(Options.TaskLease);
}

} // namespace teaselwalk::cluster
