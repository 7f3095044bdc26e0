#include "owner_limits.hpp"

#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <iterator>

namespace teaselwalk::cell {
namespace {

/// No record is added to a write that has this many bytes.
constexpr size_t MaxWriteBytes = 300000;

/// Entries of a write that are left for the removal of bundles.
constexpr size_t BundleRemovals = 2;

/// Records with a key of their own in one write. One more entry is left for a
/// bundle.
constexpr size_t RecordsPerWrite = FencedWriter::Capacity - BundleRemovals - 1;

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
  requestSchedulingPass();
}

void Owner::queueWrite(const JobId &Id) {
  if (InWriteQueue.insert(Id).second)
    WriteQueue.push_back(Id);
  requestWrite();
}

void Owner::requestWrite() {
  if (IsWriteRequested || !IsLoaded)
    return;
  IsWriteRequested = true;
  Clock.after(PassDelay, guarded([this] {
                IsWriteRequested = false;
                // A pass that is due adds its placements to the same write.
                bool IsPassNear =
                    IsPassRequested && NextPassAt - Clock.now() <= PassDelay;
                if (!IsPassNear)
                  writeChanged();
              }));
}

const JobProgress *Owner::takeNextChanged() {
  while (!WriteQueue.empty()) {
    JobId Id = std::move(WriteQueue.front());
    WriteQueue.pop_front();
    InWriteQueue.erase(Id);
    if (const JobProgress *Job = jobOf(Id))
      return Job;
  }
  return nullptr;
}

void Owner::writeChanged() {
  if (Writer.isBusy() || WriteQueue.empty())
    return;
  limitBundles();
  StoreTransaction Change;
  StoreWrite Next;
  size_t Bytes = 0;
  while (Change.Puts.size() < RecordsPerWrite && Bytes < MaxWriteBytes) {
    const JobProgress *Job = takeNextChanged();
    if (Job == nullptr)
      break;
    Change.Puts.push_back({stateKey(Job->Spec.Id), Job->encode(), 0});
    Bytes += Change.Puts.back().Value.size();
    Next.Separate.emplace_back(Job->Spec.Id, Job->Version);
  }
  if (!WriteQueue.empty() && Bytes < MaxWriteBytes) {
    std::string Value = encodeBundle(Next, MaxWriteBytes - Bytes);
    Change.Puts.push_back({Next.Bundle, std::move(Value), 0});
  }
  // Removals use what is left, so they cost no writes and delay none.
  addBundleRemovals(Change, FencedWriter::Capacity);
  addRemovals(Change, Next);
  Log.count("journal_writes");
  Log.count("journal_records",
            static_cast<int64_t>(Next.Separate.size() + Next.Bundled.size()));
  commitWrite(std::move(Change), std::move(Next));
}

void Owner::commitWrite(StoreTransaction Change, StoreWrite Next) {
  auto Done = [this, Next = std::move(Next)](bool IsDone) {
    if (!IsDone)
      return Hooks.OwnershipLost("the epoch record names another owner");
    onWritten(Next);
  };
  Writer.commit(std::move(Change), guarded(std::move(Done)));
}

void Owner::onWritten(const StoreWrite &Stored) {
  auto Note = [this](const RecordVersion &Row) {
    JobProgress *Job = jobOf(Row.first);
    if (Job == nullptr)
      return;
    Job->StoredVersion = Row.second;
    if (Row.second == Job->Version)
      Job->StoredStatus = Job->Status;
    sendAssignedStarts(*Job);
  };
  for (const RecordVersion &Row : Stored.Separate) {
    if (JobProgress *Job = jobOf(Row.first))
      Job->SeparateVersion = Row.second;
    Bundles.supersede(Row.first, Row.second);
    Note(Row);
  }
  for (const RecordVersion &Row : Stored.Bundled)
    Note(Row);
  if (!Stored.Bundle.empty())
    Bundles.add(Stored.Bundle, Stored.Bundled);
  for (auto It = WithUnacknowledgedEnds.begin();
       It != WithUnacknowledgedEnds.end();) {
    auto Found = Table.find(*It);
    bool IsDone = Found == Table.end() || acknowledgeStoredEnds(Found->second);
    It = IsDone ? WithUnacknowledgedEnds.erase(It) : std::next(It);
  }
  dropRemoved(Stored.Removed);
  if (!WriteQueue.empty())
    requestWrite();
}

bool Owner::acknowledgeStoredEnds(TrackedEndpoint &Endpoint) {
  std::deque<UnacknowledgedEnd> &Ends = Endpoint.UnacknowledgedEnds;
  while (!Ends.empty()) {
    const JobProgress *Job = jobOf(Ends.front().Job);
    if (Job != nullptr && Job->StoredVersion < Ends.front().Version)
      return false;
    Endpoint.LastStoredEnd = Ends.front().Number;
    Ends.pop_front();
  }
  return true;
}

void Owner::endJob(JobProgress &Job, JobPhase Status, const std::string &Why) {
  if (Job.isEnded())
    return;
  Job.Status = Status;
  Job.EndedMs = Clock.wallMillis();
  Open.remove(Job);
  ToRemove.emplace(Job.EndedMs, Job.Spec.Id);
  for (size_t K = 0; K < Job.Occurrences.size(); ++K)
    for (size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
      StepKey Key{Job.Spec.Id, static_cast<int32_t>(K),
                  static_cast<int32_t>(S)};
      Backlog.erase(Key);
      StepAdvices.erase(Key);
    }
  Log.event(
      EventName::JobFinished,
      {{"job", Job.Spec.Id.str()},
       {"status", std::string(nameOf(StatusNames, Status))},
       {"age_ms", std::to_string(Clock.wallMillis() - Job.Spec.AcceptedMs)},
       {"late_ms", std::to_string((Clock.now() - Job.Objective).count())},
       {"reason", Why}});
  markChanged(Job);
  stopAllRuns(Job);
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

JobProgress *Owner::jobOf(const JobId &Id) {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : Found->second.get();
}

const QueuePolicy &Owner::policyOf(const JobProgress &Job) const {
  const Queue *Configured = Hooks.Desired->Config.queueNamed(Job.Spec.Queue);
  return Configured != nullptr ? Configured->Policy : Job.Spec.Policy;
}

} // namespace teaselwalk::cell
