#include "owner_limits.hpp"

#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/owner.hpp"

namespace teaselwalk::cell {
namespace {

/// No record is added to a write that has this many bytes.
constexpr size_t MaxWriteBytes = 300000;

/// Records with a key of their own in one write. One more entry is left for a
/// bundle.
constexpr size_t RecordsPerWrite = FencedWriter::Capacity - 1;

constexpr std::array<EnumName<JobPhase>, 5> StatusNames = {{
    {JobPhase::Queued, "queued"},
    {JobPhase::Running, "running"},
    {JobPhase::Completed, "completed"},
    {JobPhase::Failed, "failed"},
    {JobPhase::Cancelled, "cancelled"},
}};

} // namespace

void Owner::markChanged(JobProgress &Job) {
  ++Job.Version;
  queueWrite(Job.Spec.Id);
  requestPass();
}

void Owner::queueWrite(const JobId &Id) {
  if (InChanged.insert(Id).second)
    Changed.push_back(Id);
}

const JobProgress *Owner::nextChanged() {
  while (!Changed.empty()) {
    JobId Id = std::move(Changed.front());
    Changed.pop_front();
    InChanged.erase(Id);
    if (const JobProgress *Job = jobOf(Id))
      return Job;
  }
  return nullptr;
}

void Owner::flush() {
  if (Writes.isBusy() || Changed.empty())
    return;
  StoreTransaction Change;
  Flush Next;
  size_t Bytes = 0;
  while (Change.Puts.size() < RecordsPerWrite && Bytes < MaxWriteBytes) {
    const JobProgress *Job = nextChanged();
    if (Job == nullptr)
      break;
    Change.Puts.push_back({stateKey(Job->Spec.Id), Job->encode(), 0});
    Bytes += Change.Puts.back().Value.size();
    Next.Alone.emplace_back(Job->Spec.Id, Job->Version);
  }
  if (!Changed.empty() && Bytes < MaxWriteBytes) {
    std::string Value = encodeBundle(Next, MaxWriteBytes - Bytes);
    Change.Puts.push_back({Next.Bundle, std::move(Value), 0});
  }
  Log.count("journal_writes");
  Log.count("journal_records",
            static_cast<int64_t>(Next.Alone.size() + Next.Bundled.size()));
  Writes.commit(std::move(Change), guarded([this, Next](bool IsDone) {
                  if (!IsDone)
                    return Hooks.Deposed(
                        "the epoch record names another owner");
                  onFlushed(Next);
                }));
}

void Owner::onFlushed(const Flush &Stored) {
  auto Note = [this](const Written &Row) {
    JobProgress *Job = jobOf(Row.first);
    if (Job == nullptr)
      return;
    Job->StoredVersion = Row.second;
    if (Row.second == Job->Version)
      Job->StoredStatus = Job->Status;
    orderAssigned(*Job);
  };
  for (const Written &Row : Stored.Alone) {
    if (JobProgress *Job = jobOf(Row.first))
      Job->AloneVersion = Row.second;
    Note(Row);
  }
  for (const Written &Row : Stored.Bundled)
    Note(Row);
  if (!Stored.Bundle.empty())
    Bundles[Stored.Bundle] = Stored.Bundled;
  for (auto &[Id, Endpoint] : Table)
    while (!Endpoint.Ends.empty()) {
      const UnacknowledgedEnd &End = Endpoint.Ends.front();
      JobProgress *Job = jobOf(End.Job);
      if (Job != nullptr && Job->StoredVersion < End.Version)
        break;
      Endpoint.StoredEnd = End.Number;
      Endpoint.Ends.pop_front();
    }
  if (!Changed.empty())
    requestPass();
}

void Owner::endJob(JobProgress &Job, JobPhase Status) {
  if (Job.isEnded())
    return;
  Job.Status = Status;
  Job.EndedMs = Clock.wallMillis();
  Open.erase(Job.Spec.Id);
  ToRemove.push_back(Job.Spec.Id);
  for (size_t K = 0; K < Job.Occurrences.size(); ++K)
    for (size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
      StepKey Key{Job.Spec.Id, static_cast<int32_t>(K),
                  static_cast<int32_t>(S)};
      Backlog.erase(Key);
      Advices.erase(Key);
    }
  Log.event(
      EventName::JobFinished,
      {{"job", Job.Spec.Id.str()},
       {"status", std::string(nameOf(StatusNames, Status))},
       {"age_ms", std::to_string(Clock.wallMillis() - Job.Spec.AcceptedMs)},
       {"late_ms", std::to_string((Clock.now() - Job.Objective).count())}});
  markChanged(Job);
  stopRuns(Job);
}

std::optional<Owner::JobView> Owner::find(const JobId &Id) const {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return std::nullopt;
  const JobProgress &Job = *Found->second;
  JobView View;
  View.Queue = Job.Spec.Queue;
  View.Team = Job.Spec.Team;
  View.Status = Job.StoredStatus;
  bool IsOpen = Job.StoredStatus == JobPhase::Queued ||
                Job.StoredStatus == JobPhase::Running;
  if (IsOpen)
    View.Status = Job.IsStarted ? JobPhase::Running : JobPhase::Queued;
  return View;
}

int64_t Owner::pending(const std::string &Queue) const {
  int64_t Count = 0;
  for (const JobId &Id : Open) {
    const JobProgress &Job = *Jobs.at(Id);
    if (Job.Spec.Queue == Queue && !Job.IsStarted)
      ++Count;
  }
  return Count;
}

JobProgress *Owner::jobOf(const JobId &Id) {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : Found->second.get();
}

const QueuePolicy &Owner::policyOf(const JobProgress &Job) const {
  const Queue *Configured = Hooks.Current->Config.queueNamed(Job.Spec.Queue);
  return Configured != nullptr ? Configured->Policy : Job.Spec.Policy;
}

} // namespace teaselwalk::cell
