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

/// Share and limits of a team in this process.
struct TeamSettings {
  double Weight = 1;
  /// Upper limit of what runs in this process's shards. Components without a
  /// limit are `Unlimited`.
  Resources Allowance{Unlimited, Unlimited, Unlimited, Unlimited, Unlimited};
  int64_t RunningTasks = Unlimited;
  /// Upper limit over the fleet. Work above it is refused, since no move of
  /// allowance can make it fit.
  Resources Limit{Unlimited, Unlimited, Unlimited, Unlimited, Unlimited};
  int64_t LimitTasks = Unlimited;
};

/// What a team has running and queued.
struct TeamAccount {
  TeamId Id;
  TeamSettings Settings;
  bool Present = false; ///< False once removed; running tasks still count.
  Resources Charged;    ///< The larger of declared size and usage.
  Resources Declared;
  int64_t Running = 0;
  int64_t Queued = 0;
  std::array<int64_t, TaskClassCount> QueuedUnits{};
  /// Weighted dominant share plus what it was above the level lately: the order
  /// of service.
  double Share = 0;
  double Surplus = 0; ///< Time integral of share less level, in seconds.
  int64_t QueuedGangs = 0;
  /// Nothing can start while this version is the same, by lane; 0 if unknown.
  std::array<uint64_t, 2> Blocked{};
};

/// Accounts of all teams, ordered by weighted dominant share.
class TeamTable {
public:
  using Index = uint32_t;
  /// Teams with queued work in order of service.
  using Order = std::set<std::pair<double, Index>>;

  /// Urgent work has an order of its own, which is served first.
  enum Lane : size_t { UrgentLane, OtherLane, LaneCount };

  Index update(const TeamId &Id, const TeamSettings &Settings);
  void markRemoved(Index Team);
  std::optional<Index> find(const TeamId &Id) const;
  /// The index of \p Id, as a team without settings if it is unknown.
  Index findOrAdd(const TeamId &Id);

  const TeamAccount &at(Index Team) const { return Accounts[Team]; }
  size_t size() const { return Accounts.size(); }
  const Order &order(Lane Which) const { return Orders[Which]; }

  /// Whether \p Count tasks of \p Size stay within the allowance.
  bool allows(Index Team, const Resources &Size, int64_t Count) const;

  /// Count \p Tasks more (or fewer, when negative) running tasks.
  void charge(Index Team, const Resources &Declared, const Resources &Charged,
              int64_t Tasks);
  /// Count \p Tasks of one unit more (or fewer) queued.
  void queue(Index Team, TaskClass Class, int64_t Units, int64_t Tasks);
  void setBlocked(Index Team, Lane Which, uint64_t Version) {
    Accounts[Team].Blocked[Which] = Version;
  }

  /// Weighted mean of the shares of all teams with other than urgent work
  /// queued: the share at which they would be equal.
  double level() const;

  /// Bring the surplus of all teams up to date. Without it, teams that run
  /// gangs or fill holes nobody else can use would stay above their share on
  /// average.
  void settle(TimePoint Now);

  /// Shares are relative to this amount.
  void setCapacity(const Resources &Capacity);
  /// Weighted dominant share of \p Team with \p Extra added.
  double shareWith(Index Team, const Resources &Extra) const;

private:
  void reorder(Index Team);
  void enter(Index Team);
  void leave(Index Team);

  std::vector<TeamAccount> Accounts;
  std::unordered_map<TeamId, Index> Lookup;
  std::array<Order, LaneCount> Orders;
  Resources Capacity;
  std::optional<TimePoint> Settled;
};

} // namespace teaselwalk::schedule
