#pragma once

#include "teaselwalk/cell/owner.hpp"

namespace teaselwalk::cell {

class Owner::StepRules : public PlacementRules {
public:
  StepRules(const Owner &Parent, const JobProgress &Job, const StepKey &Key)
      : Parent(Parent), Job(Job), Key(Key),
        Service(Parent.policyOf(Job).Service), Now(Parent.Clock.now()) {}

  bool mayStartOn(const TrackedEndpoint &Endpoint) const override {
    return Parent.mayStartOn(Endpoint, Service, Now);
  }
  bool isIsolated(const TrackedEndpoint &Endpoint) const override {
    return Parent.isIsolated(Endpoint, Job.Spec.Id);
  }
  int32_t countTasksOn(const TrackedEndpoint &Endpoint) const override {
    return Parent.countTasksOn(Endpoint, Key);
  }
  double score(const TrackedEndpoint &Endpoint) const override {
    return Parent.score(Endpoint, Job, Key);
  }
  Resources keptRoom(const EndpointId &Endpoint) const override {
    // What open requests may use is claimed already.
    return Parent.AllowedRoom.isEmpty()
               ? Resources()
               : Parent.AllowedRoom.keptFrom(Key, Endpoint);
  }

private:
  const Owner &Parent;
  const JobProgress &Job;
  const StepKey &Key;
  const std::string &Service;
  const TimePoint Now;
};

} // namespace teaselwalk::cell
