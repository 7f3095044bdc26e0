#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/owner.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

/// A write can set only a few keys. While the store is slow, more records
/// change than one write has keys for; those beyond it are stored together
/// under one key, as a bundle. A bundle is removed once each of its jobs has a
/// record of the same or a later version under its own key.
namespace teaselwalk::cell {
namespace {

using Json = nlohmann::json;

/// Records of a bundle that are written under their own keys at a time.
constexpr size_t RecordsPerCompaction = 20;

} // namespace

std::string Owner::encodeBundle(StoreWrite &Next, size_t MaxBytes) {
  Next.Bundle =
      BundlePrefix + std::to_string(Epoch) + '-' + std::to_string(NextBundle++);
  Json Records = Json::object();
  size_t Bytes = 0;
  while (Bytes < MaxBytes) {
    const JobProgress *Job = takeNextChanged();
    if (Job == nullptr)
      break;
    std::string Record = Job->encode();
    Bytes += Record.size();
    Next.Bundled.emplace_back(Job->Spec.Id, Job->Version);
    Records[Job->Spec.Id.str()] = std::move(Record);
  }
  return Records.dump();
}

void Owner::loadBundle(const std::string &Key, const std::string &Value) {
  try {
    std::vector<RecordVersion> &Rows = Bundles[Key];
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
  } catch (const Json::exception &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"key", Key}, {"reason", Failure.what()}});
  }
}

void Owner::compactBundles() {
  if (Writer.isBusy() || !WriteQueue.empty() || Bundles.empty())
    return;
  auto Oldest = Bundles.begin();
  size_t Queued = 0;
  for (const auto &[Id, Version] : Oldest->second) {
    JobProgress *Job = jobOf(Id);
    if (Job == nullptr || Job->SeparateVersion >= Version)
      continue;
    queueWrite(Id);
    if (++Queued == RecordsPerCompaction)
      break;
  }
  if (Queued > 0)
    return;
  StoreTransaction Change;
  Change.Removes.push_back(Oldest->first);
  Bundles.erase(Oldest);
  Writer.commit(std::move(Change), guarded([this](bool IsDone) {
                  if (!IsDone)
                    return Hooks.OwnershipLost(
                        "the epoch record names another owner");
                  requestWrite();
                }));
}

} // namespace teaselwalk::cell
