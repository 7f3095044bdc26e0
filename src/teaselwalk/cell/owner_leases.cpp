#include "owner_limits.hpp"

#include "teaselwalk/cell/log_fields.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <iterator>

namespace teaselwalk::cell {

int64_t Owner::leaseEndMs(const TrackedEndpoint &Endpoint,
                          TimePoint Now) const {
  int64_t EndpointNowMs = Endpoint.Reading.at(Now);
  return EndpointNowMs == 0 ? 0 : EndpointNowMs + LeaseTime.count();
}

void Owner::boundMisdirectedCalls(TrackedEndpoint &Endpoint,
                                  int64_t IncarnationMs) {
  TimePoint Now = Clock.now();
  // Those of former owners, or of this one before the endpoint was removed
  // from the table and listed again.
  TimePoint Latest;
  if (Epoch != FirstEpoch)
    Latest = GainedAt + MaxConfirmationAgeToExtend;
  auto Removed = RemovedEndpoints.find(Endpoint.Info.Id);
  if (Removed != RemovedEndpoints.end())
    Latest = std::max(Latest, Removed->second);
  bool IsFirst = Endpoint.IncarnationMs == 0;
  bool IsOutlasted =
      Latest == TimePoint() || Now >= Latest + MaxCallDelay + Lengths.Longest;
  bool IsUsual = Endpoint.UsualLeaseIncarnations.count(IncarnationMs) != 0;
  if (!IsFirst || (!IsOutlasted && !IsUsual))
    Endpoint.Leases.misdirect(Now);
}

void Owner::rememberRemoval(const TrackedEndpoint &Endpoint) {
  TimePoint Now = Clock.now();
  for (auto It = RemovedEndpoints.begin(); It != RemovedEndpoints.end();)
    It = It->second + MaxCallDelay + Lengths.Longest < Now
             ? RemovedEndpoints.erase(It)
             : std::next(It);
  TimePoint Extended = Endpoint.Leases.extendedAt();
  if (Extended != TimePoint())
    RemovedEndpoints[Endpoint.Info.Id] = Extended;
}

void Owner::releaseIfLeasesEnded(TrackedEndpoint &Endpoint, TimePoint Now) {
  bool IsSilent = Endpoint.LastAnswerAt == TimePoint() ||
                  Now - Endpoint.LastAnswerAt > ContactTimeout;
  if (!IsSilent || Endpoint.Tasks.empty() ||
      Now < Endpoint.Leases.usualEnd(Lengths) + LeaseEndMargin)
    return;
  std::vector<TaskKey> Expired;
  for (const TaskKey &Key : Endpoint.Tasks) {
    const TaskProgress &Task = *jobOf(Key.Job)->find(Key);
    if (Task.IsStartSent && Now >= releaseTime(Endpoint, Task))
      Expired.push_back(Key);
  }
  if (Expired.empty())
    return;
  Log.event(EventName::EndpointLost,
            {{"endpoint", Endpoint.Info.Id.str()},
             {"silent_ms", ageOf(Endpoint.LastAnswerAt, Now)},
             {"extended_ms", ageOf(Endpoint.Leases.extendedAt(), Now)},
             {"tasks", std::to_string(Expired.size())}});
  if (!Endpoint.Info.Draining)
    suspectCrash(Endpoint);
  for (const TaskKey &Key : Expired)
    releaseTask(Key, "the lease has ended");
}

TimePoint Owner::releaseTime(const TrackedEndpoint &Endpoint,
                             const TaskProgress &Task) const {
  TimePoint End =
      Endpoint.leaseEnd(Task.IncarnationMs, Lengths) + LeaseEndMargin;
  if (Task.IsIncarnationProven)
    return End;
  // The start may have reached an incarnation that has never answered.
  bool IsOtherListed = Endpoint.IsListed && Endpoint.Info.IncarnationMs != 0 &&
                       Task.IncarnationMs != 0 &&
                       Endpoint.Info.IncarnationMs != Task.IncarnationMs;
  if (IsOtherListed || Endpoint.HasUnreadIncarnation ||
      Task.StartConfirmedAt != TimePoint())
    return std::max(End,
                    Endpoint.Leases.endElsewhere(Lengths) + LeaseEndMargin);
  // A start without an answer may be carried out late.
  return Endpoint.IsListed ? std::max(End, Task.AssignedAt + MaxCallDelay)
                           : End;
}

} // namespace teaselwalk::cell
