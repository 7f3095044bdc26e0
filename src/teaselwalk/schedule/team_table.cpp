#include "teaselwalk/schedule/team_table.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace teaselwalk::schedule {

namespace {

constexpr Duration SurplusInterval{250};
// Time constant of the surplus's exponential decay, in seconds: the surplus
// falls to about a third (1/e) in this time.
constexpr double SurplusDecaySeconds = 600;
// Seconds over which a surplus is paid back. A shorter time reacts to single
// tasks, a longer one leaves the surplus of a gang unpaid.
constexpr double SurplusRepaySeconds = 60;
// Bound of the surplus, in seconds at the mean share, so that no team is kept
// from starting work for much longer than this time.
constexpr double MaxSurplusSeconds = 120;

} // namespace

TeamTable::Index TeamTable::findOrAdd(const TeamId &Id) {
  auto [Found, Added] = Lookup.emplace(Id, static_cast<Index>(Accounts.size()));
  if (Added) {
    Accounts.emplace_back();
    Accounts.back().Id = Id;
  }
  return Found->second;
}

TeamTable::Index TeamTable::update(const TeamId &Id,
                                   const TeamSettings &Settings) {
  Index Team = findOrAdd(Id);
  Accounts[Team].Settings = Settings;
  Accounts[Team].IsPresent = true;
  Accounts[Team].BlockedVersion = {};
  updateShare(Team);
  return Team;
}

void TeamTable::markRemoved(Index Team) { Accounts[Team].IsPresent = false; }

std::optional<TeamTable::Index> TeamTable::find(const TeamId &Id) const {
  auto Found = Lookup.find(Id);
  if (Found == Lookup.end())
    return std::nullopt;
  return Found->second;
}

bool TeamTable::allows(Index Team, const Resources &Size, int64_t Count) const {
  const TeamAccount &Account = Accounts[Team];
  if (Account.Running + Count > Account.Settings.MaxRunningTasks)
    return false;
  for (int64_t Resources::*Field : ResourceFields)
    if (Size.*Field > 0 && Account.Charged.*Field + Size.*Field * Count >
                               Account.Settings.Allowance.*Field)
      return false;
  return true;
}

void TeamTable::charge(Index Team, const Resources &Declared,
                       const Resources &Charged, int64_t Tasks) {
  TeamAccount &Account = Accounts[Team];
  Account.Declared += Declared;
  Account.Charged += Charged;
  Account.Running += Tasks;
  Account.BlockedVersion = {};
  updateShare(Team);
}

void TeamTable::queue(Index Team, TaskClass Class, int64_t Units,
                      int64_t Tasks) {
  removeFromOrders(Team);
  TeamAccount &Account = Accounts[Team];
  Account.Queued += Tasks;
  if (Tasks != Units)
    Account.QueuedGangs += Units;
  Account.QueuedUnits[static_cast<size_t>(Class)] += Units;
  Account.BlockedVersion = {};
  addToOrders(Team);
}

void TeamTable::setCapacity(const Resources &Total) {
  Capacity = Total;
  for (Index Team = 0; Team < Accounts.size(); ++Team)
    updateShare(Team);
}

double TeamTable::shareWith(Index Team, const Resources &Extra) const {
  const TeamAccount &Account = Accounts[Team];
  double Weight = Account.Settings.Weight > 0 ? Account.Settings.Weight : 1e-9;
  return dominantShare(Account.Charged + Extra, Capacity) / Weight;
}

double TeamTable::meanShare() const {
  double Sum = 0;
  double Weights = 0;
  for (const auto &[Share, Team] : Orders[NormalTier]) {
    double Weight = Accounts[Team].Settings.Weight;
    Sum += Share * Weight;
    Weights += Weight;
  }
  return Weights > 0 ? Sum / Weights : 0;
}

void TeamTable::updateSurplus(TimePoint Now) {
  if (SurplusUpdatedAt && Now - *SurplusUpdatedAt < SurplusInterval)
    return;
  const double Seconds =
      SurplusUpdatedAt
          ? std::chrono::duration<double>(Now - *SurplusUpdatedAt).count()
          : 0;
  SurplusUpdatedAt = Now;
  const double MeanShare = meanShare();
  const double Kept = std::exp(-Seconds / SurplusDecaySeconds);
  for (Index Team = 0; Team < Accounts.size(); ++Team) {
    TeamAccount &Account = Accounts[Team];
    Account.Surplus *= Kept;
    // A team without queued work gains no claim for the time.
    if (Account.Queued > 0)
      Account.Surplus += (shareWith(Team, Resources()) - MeanShare) * Seconds;
    const double Most = MaxSurplusSeconds * MeanShare;
    Account.Surplus = std::clamp(Account.Surplus, -Most, Most);
    updateShare(Team);
  }
}

void TeamTable::updateShare(Index Team) {
  removeFromOrders(Team);
  Accounts[Team].Share = shareWith(Team, Resources()) +
                         Accounts[Team].Surplus / SurplusRepaySeconds;
  addToOrders(Team);
}

void TeamTable::addToOrders(Index Team) {
  const TeamAccount &Account = Accounts[Team];
  int64_t Others = 0;
  for (size_t Class = 0; Class < TaskClassCount; ++Class)
    if (Class != static_cast<size_t>(TaskClass::Urgent))
      Others += Account.QueuedUnits[Class];
  if (Account.QueuedUnits[static_cast<size_t>(TaskClass::Urgent)] > 0)
    Orders[UrgentTier].emplace(Account.Share, Team);
  if (Others > 0)
    Orders[NormalTier].emplace(Account.Share, Team);
}

void TeamTable::removeFromOrders(Index Team) {
  for (Order &Which : Orders)
    Which.erase({Accounts[Team].Share, Team});
}

} // namespace teaselwalk::schedule
