#include "teaselwalk/cell/bundle_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace teaselwalk::cell {

void BundleTable::add(const std::string &Key,
                      const std::vector<RecordVersion> &Records) {
  std::unordered_set<JobId> Needed;
  for (const auto &[Id, Version] : Records) {
    auto Known = Newest.find(Id);
    if (Known != Newest.end()) {
      if (Version < Known->second.Version)
        continue;
      release(Id, Known->second.Bundle);
    }
    Newest[Id] = {Key, Version};
    Needed.insert(Id);
  }
  if (Needed.empty())
    Unneeded.push_back(Key);
  else
    Bundles[Key] = std::move(Needed);
}

void BundleTable::supersede(const JobId &Id, int64_t Version) {
  auto Known = Newest.find(Id);
  if (Known == Newest.end() || Version < Known->second.Version)
    return;
  std::string Bundle = std::move(Known->second.Bundle);
  Newest.erase(Known);
  release(Id, Bundle);
}

void BundleTable::drop(const JobId &Id) {
  supersede(Id, std::numeric_limits<int64_t>::max());
}

void BundleTable::release(const JobId &Id, const std::string &Bundle) {
  auto Found = Bundles.find(Bundle);
  if (Found == Bundles.end())
    return;
  Found->second.erase(Id);
  if (!Found->second.empty())
    return;
  Unneeded.push_back(Bundle);
  Bundles.erase(Found);
}

std::vector<JobId> BundleTable::neededJobs() const {
  std::vector<JobId> Ids;
  Ids.reserve(Newest.size());
  for (const auto &[Id, Record] : Newest)
    Ids.push_back(Id);
  return Ids;
}

std::vector<JobId> BundleTable::smallest(size_t Most) const {
  std::vector<JobId> Ids;
  auto Smallest = std::min_element(
      Bundles.begin(), Bundles.end(), [](const auto &Left, const auto &Right) {
        return Left.second.size() < Right.second.size();
      });
  if (Smallest == Bundles.end())
    return Ids;
  for (const JobId &Id : Smallest->second) {
    if (Ids.size() == Most)
      break;
    Ids.push_back(Id);
  }
  return Ids;
}

std::string BundleTable::takeUnneeded() {
  std::string Key = std::move(Unneeded.back());
  Unneeded.pop_back();
  return Key;
}

} // namespace teaselwalk::cell
