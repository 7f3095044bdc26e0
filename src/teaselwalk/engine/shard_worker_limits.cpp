#include "teaselwalk/engine/shard_worker.hpp"

#include <algorithm>
#include <utility>

/// Limits of teams: the shard's allowances and their moves.
namespace teaselwalk::engine {

void ShardWorker::openLedger() {
  ++Term;
  NextMove = TimePoint();
  Allowances.emplace(Shard, Owner.epoch(), Options.Allowances);
  applyLimits();
}

void ShardWorker::applyLimits() {
  if (!Allowances)
    return;
  // The owners of the shards 0 create the records. Several planners at once
  // are safe: each change is one compare-and-swap.
  Allowances->setShards(Shard.Number == 0, AllShards, {});
  for (const auto &Row : Teams)
    Allowances->setLimit(Row.first, Row.second.Limit, Revision);
}

void ShardWorker::onAllowance(const TeamId &Team,
                              const cluster::AllowanceRecord &Record,
                              protocol::StoreVersion Version, TimePoint Now) {
  if (Allowances)
    Allowances->onRecord(Team, Record, Version, Now);
}

void ShardWorker::moveAllowances(TimePoint Now) {
  if (Now < NextMove)
    return;
  NextMove = Now + Options.MoveInterval;
  for (const auto &Row : Teams) {
    const schedule::TeamAccount *Account = Queue.team(Row.first);
    Resources Used = Account ? Account->Charged : Resources();
    Resources Needed = Used;
    if (Account)
      Needed += Queue.queuedDemand(Row.first, Row.second.Limit);
    Allowances->reportUse(Row.first, Used, Needed, Now);
  }
  std::vector<cluster::AllowanceRequest> Due;
  Allowances->tick(Now, Due);
  for (cluster::AllowanceRequest &Call : Due)
    Out.store(std::move(Call.Request), Options.StoreTimeout,
              [this, Id = Call.Id, Mine = Term](
                  const protocol::StoreReply &Reply, TimePoint Later) {
                if (Allowances && Mine == Term)
                  Allowances->onReply(Id, Reply, Later);
              });
  applyAllowances(Now);
}

bool ShardWorker::hasAllowance() const {
  if (!Allowances)
    return false;
  return std::any_of(Teams.begin(), Teams.end(), [this](const auto &Row) {
    return Allowances->usable(Row.first) != Resources();
  });
}

void ShardWorker::addRunning(config::RunningUsage &Sum) const {
  for (const auto &Row : Teams)
    if (const schedule::TeamAccount *Account = Queue.team(Row.first))
      Sum[Row.first] += Account->Charged;
}

Resources ShardWorker::unknownUse(TimePoint Now) const {
  Resources Largest;
  for (const auto &Row : Capacities)
    Largest = cluster::componentMax(Largest, Row.second);
  Resources Sum;
  for (size_t I = Guard.unknownEndpoints(Now).size(); I > 0; --I)
    Sum += Largest;
  return Sum;
}

void ShardWorker::applyAllowances(TimePoint Now) {
  // Endpoints that this owner has not read may run tasks of any team.
  Resources Unknown = unknownUse(Now);
  for (const auto &Row : Teams) {
    schedule::TeamSettings Settings;
    Settings.Weight = static_cast<double>(Row.second.Share);
    Settings.FleetLimit = Row.second.Limit;
    Settings.MaxFleetRunningTasks = Row.second.Limit.Slots;
    Settings.Allowance = cluster::componentMax(
        Resources(), Allowances->usable(Row.first) - Unknown);
    Settings.MaxRunningTasks = Settings.Allowance.Slots;
    Queue.setTeam(Row.first, Settings);
  }
}

} // namespace teaselwalk::engine
