#include "describe_parts.hpp"

#include <algorithm>
#include <unordered_map>

/// Differences of teams.
namespace teaselwalk::config {
namespace {

struct LimitField {
  int64_t Resources::*Value;
  const char *Name;
  const char *Unit;
};

constexpr LimitField LimitFields[] = {
    {&Resources::MilliCpu, "processors", " millicores"},
    {&Resources::MemoryMb, "memory", " MB"},
    {&Resources::Accelerators, "accelerators", ""},
    {&Resources::Slots, "running tasks", ""},
};

std::string titleOf(const Team &Row) { return "team " + Row.Name.str(); }

/// The part of \p Share in \p Sum in percent, with one decimal.
std::string percentOf(int64_t Share, int64_t Sum) {
  int64_t Tenths = Sum > 0 ? (Share * 1000 + Sum / 2) / Sum : 0;
  return std::to_string(Tenths / 10) + "." + std::to_string(Tenths % 10) + "%";
}

Resources usageOf(const RunningUsage &Running, const TeamId &Team) {
  auto Found = Running.find(Team);
  return Found == Running.end() ? Resources{} : Found->second;
}

void describeLimit(const Team &Before, const Team &After,
                   const Resources &Running, DifferenceList &Out) {
  for (const LimitField &Field : LimitFields) {
    int64_t Old = Before.Limit.*Field.Value;
    int64_t New = After.Limit.*Field.Value;
    if (Old == New)
      continue;
    std::string Text = titleOf(After) + ": limit of " + Field.Name + " goes " +
                       (New < Old ? "down" : "up") + " from " +
                       std::to_string(Old) + " to " + std::to_string(New) +
                       Field.Unit;
    int64_t Runs = Running.*Field.Value;
    if (New < Old && Runs > New)
      Out.addDangerous(After.Name.str(),
                       Text + ": " + std::to_string(Runs) + Field.Unit +
                           " are in use, so the newest tasks above the limit "
                           "are stopped");
    else
      Out.add(After.Name.str(), Text);
  }
}

void describeKeys(const Team &Before, const Team &After, DifferenceList &Out) {
  std::unordered_map<KeyId, const SecretHash *> Old;
  for (const TeamKey &Key : Before.Keys)
    Old.emplace(Key.Id, &Key.Secret);
  std::string Name = After.Name.str();
  for (const TeamKey &Key : After.Keys) {
    auto Found = Old.find(Key.Id);
    if (Found == Old.end())
      Out.add(Name, titleOf(After) + " gets key " + Key.Id.str());
    else if (Found->second->Hash != Key.Secret.Hash ||
             Found->second->Salt != Key.Secret.Salt)
      Out.addDangerous(Name, titleOf(After) + ": key " + Key.Id.str() +
                                 " is replaced; the old text stops working "
                                 "within 3 s");
    if (Found != Old.end())
      Old.erase(Found);
  }
  for (const TeamKey &Key : Before.Keys)
    if (Old.count(Key.Id) > 0)
      Out.addDangerous(Name, titleOf(After) + ": key " + Key.Id.str() +
                                 " is withdrawn and stops working within 3 s");
  if (After.Keys.empty() && !Before.Keys.empty())
    Out.addDangerous(Name, titleOf(After) + " has no key left: all its "
                                            "requests are refused");
}

} // namespace

ShareSums::ShareSums(const Document &Before, const Document &After) {
  for (const Team &Row : Before.Teams)
    Old += Row.Share;
  for (const Team &Row : After.Teams)
    New += Row.Share;
}

void describeAdded(const Team &Row, const ShareSums &Sums,
                   DifferenceList &Out) {
  Out.add(Row.Name.str(), titleOf(Row) + " is added with share " +
                              std::to_string(Row.Share) + " (" +
                              percentOf(Row.Share, Sums.New) + ") and " +
                              std::to_string(Row.Keys.size()) + " keys");
}

void describeRemoved(const Team &Row, const RunningUsage &Running,
                     DifferenceList &Out) {
  int64_t Tasks = usageOf(Running, Row.Name).Slots;
  std::string Text = titleOf(Row) + " is removed: its keys stop working";
  if (Tasks > 0)
    Text += " and its " + std::to_string(Tasks) + " running tasks are stopped";
  Out.addDangerous(Row.Name.str(), Text);
}

void describeChanged(const Team &Before, const Team &After,
                     const ShareSums &Sums, const RunningUsage &Running,
                     DifferenceList &Out) {
  if (Before.Share != After.Share)
    Out.add(After.Name.str(), titleOf(After) + ": share goes from " +
                                  std::to_string(Before.Share) + " (" +
                                  percentOf(Before.Share, Sums.Old) + ") to " +
                                  std::to_string(After.Share) + " (" +
                                  percentOf(After.Share, Sums.New) + ")");
  describeLimit(Before, After, usageOf(Running, After.Name), Out);
  describeKeys(Before, After, Out);
}

} // namespace teaselwalk::config
