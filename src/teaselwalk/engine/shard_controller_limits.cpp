#include "teaselwalk/engine/shard_controller.hpp"

#include <algorithm>
#include <utility>

/// Team limits: the shard's allowances and their exchange with other shards.
namespace teaselwalk::engine {

void ShardController::openShardAllowances() {
  ++LedgerGeneration;
  NextAllowanceUpdate = TimePoint();
  Allowances.emplace(Shard, Ownership.epoch(), Options.Allowances);
  applyLimits();
}

void ShardController::applyLimits() {
  if (!Allowances)
    return;
  // The owner of shard 0 in each data centre creates the records. Several
  // writers at once are safe, because each change is one compare-and-swap.
  Allowances->setShards(Shard.Number == 0, AllShards, {});
  for (const auto &Row : Teams)
    Allowances->setLimit(Row.first, Row.second.Limit, Revision);
}

void ShardController::onAllowanceRecord(const TeamId &Team,
                                        const cluster::AllowanceRecord &Record,
                                        protocol::StoreVersion Version,
                                        TimePoint Now) {
  if (Allowances)
    Allowances->onRecord(Team, Record, Version, Now);
}

void ShardController::updateAllowances(TimePoint Now) {
  if (Now < NextAllowanceUpdate)
    return;
  NextAllowanceUpdate = Now + Options.AllowanceInterval;
  for (const auto &Row : Teams) {
    const schedule::TeamAccount *Account = Scheduler.team(Row.first);
    Resources Used = Account ? Account->Charged : Resources();
    Resources Needed = Used;
    if (Account)
      Needed += Scheduler.queuedDemand(Row.first, Row.second.Limit);
    Allowances->reportUse(Row.first, Used, Needed, Now);
  }
  std::vector<cluster::AllowanceRequest> Due;
  Allowances->tick(Now, Due);
  for (cluster::AllowanceRequest &Call : Due)
    Commands.callStore(std::move(Call.Request), Options.StoreTimeout,
                       [this, Id = Call.Id, SentGeneration = LedgerGeneration](
                           const protocol::StoreReply &Reply, TimePoint Later) {
                         if (Allowances && SentGeneration == LedgerGeneration)
                           Allowances->onReply(Id, Reply, Later);
                       });
  applyAllowances(Now);
}

bool ShardController::hasAllowance() const {
  if (!Allowances)
    return false;
  return std::any_of(Teams.begin(), Teams.end(), [this](const auto &Row) {
    return Allowances->usable(Row.first) != Resources();
  });
}

void ShardController::addRunningUsage(config::RunningUsage &Sum) const {
  for (const auto &Row : Teams)
    if (const schedule::TeamAccount *Account = Scheduler.team(Row.first))
      Sum[Row.first] += Account->Charged;
}

Resources ShardController::usageOnUnknownEndpoints(TimePoint Now) const {
  Resources Largest;
  for (const auto &Row : Capacities)
    Largest = cluster::componentMax(Largest, Row.second);
  Resources Sum;
  for (size_t I = Guard.unknownEndpoints(Now).size(); I > 0; --I)
    Sum += Largest;
  return Sum;
}

void ShardController::applyAllowances(TimePoint Now) {
  // Endpoints that this owner has not reached may run tasks of any team, so
  // their capacity is subtracted from every allowance.
  Resources Unknown = usageOnUnknownEndpoints(Now);
  for (const auto &Row : Teams) {
    schedule::TeamSettings Settings;
    Settings.Weight = static_cast<double>(Row.second.Share);
    Settings.FleetLimit = Row.second.Limit;
    Settings.MaxFleetRunningTasks = Row.second.Limit.Slots;
    Settings.Allowance = cluster::componentMax(
        Resources(), Allowances->usable(Row.first) - Unknown);
    Settings.MaxRunningTasks = Settings.Allowance.Slots;
    Scheduler.setTeam(Row.first, Settings);
  }
}

} // namespace teaselwalk::engine
