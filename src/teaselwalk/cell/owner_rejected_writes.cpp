#include "owner_limits.hpp"

#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <algorithm>
#include <utility>

/// A write that the store takes for invalid never succeeds. Its records are
/// written again one at a time, so that all but the invalid one are stored. The
/// job of that one is set aside: its runs go on, but it starts no tasks for a
/// while, as each one would make the record larger.
namespace teaselwalk::cell {
namespace {

/// A job whose record cannot be stored starts no tasks for this time.
constexpr Duration SetAsidePause{10000};

} // namespace

void Owner::onRejected(const StoreWrite &Write) {
  size_t Records = Write.Separate.size() + Write.Bundled.size();
  Log.count("journal_rejections");
  Log.event(EventName::StoreCallFailed,
            {{"call", "commit"},
             {"outcome",
              std::string(nameOf(StoreOutcomeNames, StoreOutcome::Invalid))},
             {"records", std::to_string(Records)},
             {"removed_jobs", std::to_string(Write.Removed.size())}});
  for (const std::string &Key : Write.RemovedBundles)
    Bundles.keepUnneeded(Key);
  for (const JobId &Id : Write.Removed)
    if (const JobProgress *Job = jobOf(Id))
      ToRemove.emplace(Job->EndedMs, Id);
  if (Records == 1 && Write.Separate.size() == 1) {
    if (JobProgress *Job = jobOf(Write.Separate.front().first))
      setAside(*Job, Job->encode().size());
  } else {
    for (const RecordVersion &Row : Write.Separate)
      queueSeparateWrite(Row.first);
    for (const RecordVersion &Row : Write.Bundled)
      queueSeparateWrite(Row.first);
  }
  requestNextWrite();
}

void Owner::queueSeparateWrite(const JobId &Id) {
  if (std::find(SeparateWrites.begin(), SeparateWrites.end(), Id) ==
      SeparateWrites.end())
    SeparateWrites.push_back(Id);
  requestWrite();
}

void Owner::writeSeparately() {
  while (!SeparateWrites.empty()) {
    JobId Id = std::move(SeparateWrites.front());
    SeparateWrites.pop_front();
    JobProgress *Job = jobOf(Id);
    std::optional<std::string> Record;
    if (Job != nullptr)
      Record = encodeRecord(*Job);
    if (!Record)
      continue;
    StoreTransaction Change;
    Change.Puts.push_back({stateKey(Id), std::move(*Record), 0});
    StoreWrite Next;
    Next.Separate.emplace_back(Id, Job->Version);
    return commitWrite(std::move(Change), std::move(Next));
  }
  requestNextWrite();
}

void Owner::setAside(JobProgress &Job, size_t RecordBytes) {
  bool IsFirst = !std::exchange(Job.IsRecordRejected, true);
  Job.SetAsideUntil = Clock.now() + SetAsidePause;
  if (IsFirst) {
    Log.count("jobs_set_aside");
    Log.event(EventName::JobSetAside,
              {{"job", Job.Spec.Id.str()},
               {"record_bytes", std::to_string(RecordBytes)},
               {"limit_bytes", std::to_string(Options.MaxRecordBytes)},
               {"stored_version", std::to_string(Job.StoredVersion)},
               {"version", std::to_string(Job.Version)},
               {"checkpoints", Job.StoresCheckpoints ? "stored" : "left out"},
               {"reason", "the store rejects the record of its progress"}});
  }
  // The checkpoints are the only part of a record that endpoints determine.
  if (std::exchange(Job.StoresCheckpoints, false))
    return queueSeparateWrite(Job.Spec.Id);
  std::vector<TaskKey> Unsent;
  for (const auto &[Number, Occurrence] : Job.Occurrences)
    for (size_t S = 0; S < Occurrence.Steps.size(); ++S)
      for (size_t T = 0; T < Occurrence.Steps[S].Tasks.size(); ++T) {
        const TaskProgress &Task = Occurrence.Steps[S].Tasks[T];
        if (Task.Phase == TaskPhase::Assigned && !Task.IsStartSent)
          Unsent.push_back({Job.Spec.Id, Number, static_cast<int32_t>(S),
                            static_cast<int32_t>(T)});
      }
  // Gives back the room; the smaller record is written again.
  for (const TaskKey &Key : Unsent)
    releaseTask(Key, "the record of the job cannot be stored");
}

} // namespace teaselwalk::cell
