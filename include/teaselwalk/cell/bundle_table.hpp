#pragma once

#include "teaselwalk/cell/stored_records.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace teaselwalk::cell {

/// The bundles in the store and which of their records are needed. A record is
/// needed until the store holds the same or a later version of it elsewhere, or
/// its job is removed. A bundle without needed records may be removed.
class BundleTable {
public:
  /// The store holds the bundle \p Key. A record of the same version replaces
  /// that of an earlier bundle.
  void add(const std::string &Key, const std::vector<RecordVersion> &Records);
  /// The store holds \p Version of the record of \p Id under its own key.
  void supersede(const JobId &Id, int64_t Version);
  /// The records of \p Id are removed.
  void drop(const JobId &Id);

  size_t size() const { return Bundles.size(); }
  /// Jobs of which a bundle holds the needed record.
  std::vector<JobId> neededJobs() const;
  /// The jobs of the bundle with the fewest needed records, at most \p Most.
  std::vector<JobId> smallest(size_t Most) const;

  bool hasUnneeded() const { return !Unneeded.empty(); }
  /// Removes a bundle without needed records from the table; returns its key.
  std::string takeUnneeded();
  /// Takes back a bundle of `takeUnneeded` that was not removed from the store.
  void keepUnneeded(std::string Key) { Unneeded.push_back(std::move(Key)); }

private:
  struct NeededRecord {
    std::string Bundle;
    int64_t Version = 0;
  };

  void release(const JobId &Id, const std::string &Bundle);

  /// The jobs of the needed records, by key of the bundle.
  std::unordered_map<std::string, std::unordered_set<JobId>> Bundles;
  std::unordered_map<JobId, NeededRecord> Newest;
  std::vector<std::string> Unneeded;
};

} // namespace teaselwalk::cell
