#include "owner_limits.hpp"

#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
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

void Owner::requestNextWrite() {
  if (!WriteQueue.empty() || !SeparateWrites.empty())
    requestWrite();
}

JobProgress *Owner::takeNextChanged() {
  while (!WriteQueue.empty()) {
    JobId Id = std::move(WriteQueue.front());
    WriteQueue.pop_front();
    InWriteQueue.erase(Id);
    JobProgress *Job = jobOf(Id);
    if (Job != nullptr && Job->IsRecordRejected)
      queueSeparateWrite(Id);
    else if (Job != nullptr)
      return Job;
  }
  return nullptr;
}

void Owner::returnToQueue(const JobId &Id) {
  if (InWriteQueue.insert(Id).second)
    WriteQueue.push_front(Id);
}

std::optional<std::string> Owner::encodeRecord(JobProgress &Job) {
  std::string Record = Job.encode();
  if (Record.size() > Options.MaxRecordBytes) {
    setAside(Job, Record.size());
    return std::nullopt;
  }
  return Record;
}

void Owner::writeChanged() {
  if (Writer.isBusy())
    return;
  if (!SeparateWrites.empty())
    return writeSeparately();
  if (WriteQueue.empty())
    return;
  limitBundles();
  StoreTransaction Change;
  StoreWrite Next;
  size_t Bytes = 0;
  while (Change.Puts.size() < RecordsPerWrite && Bytes < MaxWriteBytes) {
    JobProgress *Job = takeNextChanged();
    if (Job == nullptr)
      break;
    std::optional<std::string> Record = encodeRecord(*Job);
    if (!Record)
      continue;
    Change.Puts.push_back({stateKey(Job->Spec.Id), std::move(*Record), 0});
    Bytes += Change.Puts.back().Value.size();
    Next.Separate.emplace_back(Job->Spec.Id, Job->Version);
  }
  if (!WriteQueue.empty() && Bytes < MaxWriteBytes) {
    std::string Value =
        encodeBundle(Next, std::min(MaxWriteBytes - Bytes, maxBundleBytes()));
    if (!Next.Bundle.empty())
      Change.Puts.push_back({Next.Bundle, std::move(Value), 0});
  }
  if (Change.Puts.empty())
    return;
  // Removals use what is left, so they cost no writes and delay none.
  addBundleRemovals(Change, FencedWriter::Capacity);
  addRemovals(Change, Next);
  Log.count("journal_writes");
  Log.count("journal_records",
            static_cast<int64_t>(Next.Separate.size() + Next.Bundled.size()));
  commitWrite(std::move(Change), std::move(Next));
}

void Owner::commitWrite(StoreTransaction Change, StoreWrite Next) {
  Next.RemovedBundles.clear();
  for (const std::string &Key : Change.Removes)
    if (isBundleKey(Key))
      Next.RemovedBundles.push_back(Key);
  auto Done = [this, Next = std::move(Next)](WriteOutcome Outcome) {
    if (Outcome == WriteOutcome::OwnershipLost)
      return Hooks.OwnershipLost("the epoch record names another owner");
    if (Outcome == WriteOutcome::Rejected)
      return onRejected(Next);
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
    Job->IsRecordRejected = false;
    if (Row.second == Job->Version)
      Job->StoredStatus = Job->Status;
    isolateFaults(*Job, [&] { sendAssignedStarts(*Job); });
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
  requestNextWrite();
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
  for (const auto &[Number, Occurrence] : Job.Occurrences)
    forgetSteps(Job, Number);
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
