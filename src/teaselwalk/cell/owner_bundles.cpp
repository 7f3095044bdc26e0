#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstring>

/// A write can set only a few keys. While the store is slow, more records
/// change than one write has keys for; those beyond it are stored together
/// under one key, as a bundle. A bundle is removed once the store holds the
/// same or later versions of its records elsewhere. While there are many, what
/// is left of the smallest one is written again, so that a takeover reads few.
namespace teaselwalk::cell {
namespace {

using Json = nlohmann::json;

/// Records of a bundle that are written under their own keys at a time.
constexpr size_t RecordsPerCompaction = 20;
/// With more bundles, the one with the fewest needed records is emptied.
/// Records of running jobs are soon outdated, so a lower limit would move many
/// in vain.
constexpr size_t MaxBundles = 64;
/// A longer record gets a key of its own; also one of more than this part of
/// the largest value that the store takes.
constexpr size_t MaxBundledRecordBytes = 65536;
constexpr size_t ValuePartOfRecord = 8;
/// The largest value is this many times the records in a bundle: quoted within
/// it they may be twice as long, and some room is left for their keys.
constexpr double ValuePerBundle = 2.25;
/// Records that one write moves from such a bundle to a new one.
constexpr size_t RecordsPerMove = 200;

} // namespace

std::string Owner::encodeBundle(StoreWrite &Next, size_t MaxBytes) {
  Next.Bundle =
      BundlePrefix + std::to_string(Epoch) + '-' + std::to_string(NextBundle++);
  Json Records = Json::object();
  size_t Bytes = 0;
  while (Bytes < MaxBytes) {
    JobProgress *Job = takeNextChanged();
    if (Job == nullptr)
      break;
    std::optional<std::string> Encoded = encodeRecord(*Job);
    if (!Encoded)
      continue;
    std::string &Record = *Encoded;
    if (Record.size() > maxBundledRecordBytes()) {
      returnToQueue(Job->Spec.Id);
      break;
    }
    Bytes += Record.size();
    Next.Bundled.emplace_back(Job->Spec.Id, Job->Version);
    Records[Job->Spec.Id.str()] = std::move(Record);
  }
  if (Next.Bundled.empty())
    Next.Bundle.clear();
  return Records.dump();
}

size_t Owner::maxBundledRecordBytes() const {
  return std::min(MaxBundledRecordBytes,
                  Options.MaxRecordBytes / ValuePartOfRecord);
}

size_t Owner::maxBundleBytes() const {
  // The last record is added before the limit is reached.
  auto Most = static_cast<size_t>(static_cast<double>(Options.MaxRecordBytes) /
                                  ValuePerBundle);
  return Most - maxBundledRecordBytes();
}

bool Owner::isBundleKey(const std::string &Key) {
  return Key.compare(0, std::strlen(BundlePrefix), BundlePrefix) == 0;
}

void Owner::loadBundle(const std::string &Key, const std::string &Value) {
  try {
    std::vector<RecordVersion> Rows;
    const Json Records = Json::parse(Value);
    for (const auto &[Id, Record] : Records.items()) {
      std::string Text = Record.get<std::string>();
      int64_t Version = JobProgress::versionOf(Text);
      Rows.emplace_back(Id, Version);
      StoredRecords &Known = RecordsToRestore[JobId(Id)];
      if (Version <= Known.BundledVersion)
        continue;
      Known.Bundled = std::move(Text);
      Known.BundledVersion = Version;
    }
    Bundles.add(Key, Rows);
  } catch (const Json::exception &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"key", Key}, {"reason", Failure.what()}});
  }
}

void Owner::forgetUnusedBundles() {
  for (const JobId &Id : Bundles.neededJobs()) {
    const JobProgress *Job = jobOf(Id);
    if (Job == nullptr)
      Bundles.drop(Id);
    else
      Bundles.supersede(Id, Job->SeparateVersion);
  }
}

void Owner::compactBundles() {
  if (Writer.isBusy() || !WriteQueue.empty())
    return;
  for (const JobId &Id : Bundles.smallest(RecordsPerCompaction))
    queueWrite(Id);
  if (!WriteQueue.empty() || !Bundles.hasUnneeded())
    return;
  StoreTransaction Change;
  addBundleRemovals(Change, FencedWriter::Capacity);
  commitWrite(std::move(Change), {});
}

void Owner::limitBundles() {
  if (Bundles.size() <= MaxBundles)
    return;
  for (const JobId &Id : Bundles.smallest(RecordsPerMove))
    queueWrite(Id);
}

void Owner::addBundleRemovals(StoreTransaction &Change, size_t Capacity) {
  while (Bundles.hasUnneeded() &&
         Change.Puts.size() + Change.Removes.size() < Capacity)
    Change.Removes.push_back(Bundles.takeUnneeded());
}

} // namespace teaselwalk::cell
