#include "teaselwalk/schedule/endpoint_health.hpp"

#include <algorithm>

namespace teaselwalk::schedule {

std::string EndpointHealth::keyOf(const TaskId &Task, const JobId &Job) {
  return Job.empty() ? Task.str() : Job.str();
}

EndpointHealth::JobRecord &EndpointHealth::jobRecord(const std::string &Job) {
  auto [Found, Added] = Jobs.try_emplace(Job);
  if (!Added)
    return Found->second;
  Found->second.Sequence = NextSequence++;
  JobsBySequence.emplace(Found->second.Sequence, Job);
  if (JobsBySequence.size() > Options.MaxJobs) {
    Jobs.erase(JobsBySequence.begin()->second);
    JobsBySequence.erase(JobsBySequence.begin());
  }
  return Found->second;
}

bool EndpointHealth::isFaultyJob(const std::string &Job) const {
  auto Found = Jobs.find(Job);
  return Found != Jobs.end() &&
         Found->second.FailedOn.size() >= Options.EndpointsForFaultyJob;
}

bool EndpointHealth::shouldEject(const Record &Of) const {
  std::set<TaskId> Tasks;
  std::set<std::string> Distinct;
  bool SucceededElsewhere = false;
  for (const Failure &Seen : Of.Failures) {
    if (isFaultyJob(Seen.Job))
      continue;
    Tasks.insert(Seen.Task);
    Distinct.insert(Seen.Job);
    auto Found = Jobs.find(Seen.Job);
    SucceededElsewhere |= Found != Jobs.end() && Found->second.HasSucceeded;
  }
  return Tasks.size() >= Options.FailureThreshold &&
         (Distinct.size() > 1 || SucceededElsewhere);
}

void EndpointHealth::eject(Record &Of, TimePoint Now) const {
  Of.EjectionTime =
      Of.EjectionTime == Duration(0)
          ? Options.BaseEjectionTime
          : std::min(Of.EjectionTime * 2, Options.MaxEjectionTime);
  Of.EjectedUntil = Now + Of.EjectionTime;
  Of.IsProbing = false;
}

void EndpointHealth::failed(const EndpointId &Endpoint, const TaskId &Task,
                            const JobId &Job, TimePoint Now) {
  std::string Key = keyOf(Task, Job);
  jobRecord(Key).FailedOn.insert(Endpoint);
  Record &Of = Endpoints[Endpoint];
  if (Of.IsProbing) {
    // The failure of a faulty job says nothing about the endpoint, so the probe
    // is repeated.
    if (isFaultyJob(Key))
      Of.IsProbing = false;
    else
      eject(Of, Now);
    return;
  }
  if (Of.EjectedUntil)
    return; // The task was started before the endpoint was ejected.
  Of.Failures.push_back({Task, std::move(Key)});
  // Twice the threshold, because some failures may turn out not to count.
  if (Of.Failures.size() > 2 * Options.FailureThreshold)
    Of.Failures.pop_front();
  if (shouldEject(Of))
    eject(Of, Now);
}

void EndpointHealth::succeeded(const EndpointId &Endpoint, const TaskId &Task,
                               const JobId &Job) {
  JobRecord &Of = jobRecord(keyOf(Task, Job));
  Of.FailedOn.clear();
  Of.HasSucceeded = true;
  auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return;
  // Work that was started before the ejection does not end it.
  if (Found->second.EjectedUntil && !Found->second.IsProbing)
    return;
  Endpoints.erase(Found);
}

void EndpointHealth::probeStarted(const EndpointId &Endpoint, TimePoint Now) {
  auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end() || !Found->second.EjectedUntil)
    return;
  Found->second.IsProbing = true;
  Found->second.EjectedUntil = Now + Found->second.EjectionTime;
}

HealthState EndpointHealth::state(const EndpointId &Endpoint,
                                  TimePoint Now) const {
  auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end() || !Found->second.EjectedUntil)
    return HealthState::Healthy;
  return Now < *Found->second.EjectedUntil ? HealthState::Ejected
                                           : HealthState::ProbeDue;
}

std::optional<TimePoint> EndpointHealth::nextProbe() const {
  std::optional<TimePoint> Next;
  for (const auto &[Endpoint, Of] : Endpoints)
    if (Of.EjectedUntil)
      Next = Next ? std::min(*Next, *Of.EjectedUntil) : *Of.EjectedUntil;
  return Next;
}

void EndpointHealth::remove(const EndpointId &Endpoint) {
  Endpoints.erase(Endpoint);
}

} // namespace teaselwalk::schedule
