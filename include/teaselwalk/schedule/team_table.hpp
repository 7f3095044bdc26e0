#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/schedule/task.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::schedule {

/// Weight and limits of a team in one scheduler.
struct TeamSettings {
  double Weight = 1; ///< Relative to the other teams.
  /// Upper limit of what this scheduler runs for the team: the part of the
  /// team's fleet-wide limit that the scheduler's shard holds now. Components
  /// without a limit are `Unlimited`.
  Resources Allowance{Unlimited, Unlimited, Unlimited, Unlimited, Unlimited};
  /// The same for the number of running tasks.
  int64_t MaxRunningTasks = Unlimited;
  /// Upper limit over the whole fleet. A unit above it is refused, because it
  /// could not start even with all of the team's allowance in one shard.
  Resources FleetLimit{Unlimited, Unlimited, Unlimited, Unlimited, Unlimited};
  /// The same for the number of tasks.
  int64_t MaxFleetRunningTasks = Unlimited;
};

/// What a team has running and queued.
struct TeamAccount {
  TeamId Id;
  TeamSettings Settings;
  bool IsPresent = false; ///< False once removed; running tasks still count.
  /// Sum over running tasks of the larger of declared size and usage.
  Resources Charged;
  Resources Declared;  ///< Sum over running tasks of the declared sizes.
  int64_t Running = 0; ///< Number of tasks.
  int64_t Queued = 0;  ///< Number of tasks.
  std::array<int64_t, TaskClassCount> QueuedUnits{};
  /// Dominant share divided by the weight, plus a correction that pays back
  /// `Surplus`. Teams are served in ascending order of it.
  double Share = 0;
  /// Time integral, in seconds, of the weighted share less the mean share.
  /// Decays, and is negative if the team was below the mean share.
  double Surplus = 0;
  int64_t QueuedGangs = 0;
  /// For each tier, `UnplaceableSizes::Version` when the team was found unable
  /// to start anything. It still cannot while the version is the same. 0 if not
  /// known.
  std::array<uint64_t, 2> BlockedVersion{};
};

/// Accounts of all teams, ordered by weighted dominant share.
class TeamTable {
public:
  using Index = uint32_t;
  /// Teams with queued work, by share: the order of service.
  using Order = std::set<std::pair<double, Index>>;

  /// Urgent work has an order of its own, which is served first.
  enum Tier : size_t { UrgentTier, NormalTier, TierCount };

  Index update(const TeamId &Id, const TeamSettings &Settings);
  void markRemoved(Index Team);
  std::optional<Index> find(const TeamId &Id) const;
  /// The index of \p Id. An unknown team is added with default settings and
  /// without being present.
  Index findOrAdd(const TeamId &Id);

  const TeamAccount &at(Index Team) const { return Accounts[Team]; }
  size_t size() const { return Accounts.size(); }
  const Order &order(Tier Which) const { return Orders[Which]; }

  /// Whether the team stays within its allowance with \p Count more running
  /// tasks of \p Size.
  bool allows(Index Team, const Resources &Size, int64_t Count) const;

  /// Adds to what the team has running; all amounts may be negative.
  void charge(Index Team, const Resources &Declared, const Resources &Charged,
              int64_t Tasks);
  /// Adds \p Units queued units (1 or -1), which have \p Tasks tasks.
  void queue(Index Team, TaskClass Class, int64_t Units, int64_t Tasks);
  void setBlocked(Index Team, Tier Which, uint64_t Version) {
    Accounts[Team].BlockedVersion[Which] = Version;
  }

  /// Weighted mean of the shares of all teams that have other than urgent work
  /// queued: the share that each would have if they were equal.
  double meanShare() const;

  /// Updates the surplus of all teams. Without this correction, teams that run
  /// gangs, or small tasks in gaps that no other team can use, would stay above
  /// their share on average.
  void updateSurplus(TimePoint Now);

  /// Sets the total that dominant shares are relative to.
  void setCapacity(const Resources &Capacity);
  /// Dominant share of \p Team with \p Extra added, divided by its weight.
  /// Without the correction for the surplus.
  double shareWith(Index Team, const Resources &Extra) const;

private:
  void updateShare(Index Team);
  void addToOrders(Index Team);
  void removeFromOrders(Index Team);

  std::vector<TeamAccount> Accounts;
  std::unordered_map<TeamId, Index> Lookup;
  std::array<Order, TierCount> Orders;
  Resources Capacity;
  std::optional<TimePoint> SurplusUpdatedAt;
};

} // namespace teaselwalk::schedule
