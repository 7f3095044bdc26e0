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
  Found->second.Age = NextAge++;
  JobsByAge.emplace(Found->second.Age, Job);
  if (JobsByAge.size() > Options.MaxJobs) {
    Jobs.erase(JobsByAge.begin()->second);
    JobsByAge.erase(JobsByAge.begin());
  }
  return Found->second;
}

bool EndpointHealth::isBlamed(const std::string &Job) const {
  auto Found = Jobs.find(Job);
  return Found != Jobs.end() &&
         Found->second.FailedOn.size() >= Options.EndpointsForBlame;
}

bool EndpointHealth::isEvidence(const Record &Of) const {
  std::set<TaskId> Tasks;
  std::set<std::string> Distinct;
  bool SucceededElsewhere = false;
  for (const Failure &Seen : Of.Failures) {
    if (isBlamed(Seen.Job))
      continue;
    Tasks.insert(Seen.Task);
    Distinct.insert(Seen.Job);
    auto Found = Jobs.find(Seen.Job);
    SucceededElsewhere |= Found != Jobs.end() && Found->second.Succeeded;
  }
  return Tasks.size() >= Options.Failures &&
         (Distinct.size() > 1 || SucceededElsewhere);
}

void EndpointHealth::takeOut(Record &Of, TimePoint Now) const {
  Of.Out = Of.Out == Duration(0) ? Options.FirstOut
                                 : std::min(Of.Out * 2, Options.MaxOut);
  Of.OutUntil = Now + Of.Out;
  Of.OnTrial = false;
}

void EndpointHealth::failed(const EndpointId &Endpoint, const TaskId &Task,
                            const JobId &Job, TimePoint Now) {
  std::string Key = keyOf(Task, Job);
  jobRecord(Key).FailedOn.insert(Endpoint);
  Record &Of = Endpoints[Endpoint];
  if (Of.OnTrial) {
    // The failure of a faulty job says nothing about the endpoint, so the probe
    // is repeated.
    if (isBlamed(Key))
      Of.OnTrial = false;
    else
      takeOut(Of, Now);
    return;
  }
  if (Of.OutUntil)
    return; // The task was started before the endpoint was ejected.
  Of.Failures.push_back({Task, std::move(Key)});
  // Twice the threshold, because some failures may turn out not to count.
  if (Of.Failures.size() > 2 * Options.Failures)
    Of.Failures.pop_front();
  if (isEvidence(Of))
    takeOut(Of, Now);
}

void EndpointHealth::succeeded(const EndpointId &Endpoint, const TaskId &Task,
                               const JobId &Job) {
  JobRecord &Of = jobRecord(keyOf(Task, Job));
  Of.FailedOn.clear();
  Of.Succeeded = true;
  auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return;
  // Work that was started before the ejection does not end it.
  if (Found->second.OutUntil && !Found->second.OnTrial)
    return;
  Endpoints.erase(Found);
}

void EndpointHealth::trialStarted(const EndpointId &Endpoint, TimePoint Now) {
  auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end() || !Found->second.OutUntil)
    return;
  Found->second.OnTrial = true;
  Found->second.OutUntil = Now + Found->second.Out;
}

HealthState EndpointHealth::state(const EndpointId &Endpoint,
                                  TimePoint Now) const {
  auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end() || !Found->second.OutUntil)
    return HealthState::InUse;
  return Now < *Found->second.OutUntil ? HealthState::Out : HealthState::Trial;
}

std::optional<TimePoint> EndpointHealth::nextTrial() const {
  std::optional<TimePoint> Next;
  for (const auto &[Endpoint, Of] : Endpoints)
    if (Of.OutUntil)
      Next = Next ? std::min(*Next, *Of.OutUntil) : *Of.OutUntil;
  return Next;
}

void EndpointHealth::remove(const EndpointId &Endpoint) {
  Endpoints.erase(Endpoint);
}

} // namespace teaselwalk::schedule
