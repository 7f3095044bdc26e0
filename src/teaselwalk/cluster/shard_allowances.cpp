#include "teaselwalk/cluster/shard_allowances.hpp"

#include "teaselwalk/base/error.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

ShardAllowances::ShardAllowances(protocol::ShardId Shard, Epoch Owner,
                                 AllowanceOptions Options)
    : Shard(std::move(Shard)), Owner(std::move(Owner)), Options(Options),
      Tokens(Options.WriteBurst) {}

// --- Inputs -----------------------------------------------------------------

void ShardAllowances::setLimit(const TeamId &Team, const Resources &Limit,
                               uint64_t Revision) {
  Entry &Item = Teams[Team];
  if (Revision < Item.LimitRevision)
    return;
  Item.Limit = Limit;
  Item.LimitRevision = Revision;
}

void ShardAllowances::setShards(bool IsPlanner, std::set<protocol::ShardId> All,
                                std::set<protocol::ShardId> Silent) {
  Planner = IsPlanner;
  Shards = std::move(All);
  Unreachable = std::move(Silent);
}

void ShardAllowances::setInitialDemand(const TeamId &Team,
                                       ShardDemands Demand) {
  Teams[Team].Demand = std::move(Demand);
}

void ShardAllowances::retireShard(const protocol::ShardId &Gone) {
  Retired.insert(Gone);
}

void ShardAllowances::onRecord(const TeamId &Team,
                               const AllowanceRecord &Record,
                               protocol::StoreVersion Version, TimePoint Now) {
  accept(Teams[Team], Record, Version, Now);
}

void ShardAllowances::reportUse(const TeamId &Team, const Resources &Used,
                                const Resources &Needed, TimePoint Now) {
  Entry &Item = Teams[Team];
  Item.Used = Used;
  Item.Needed = Needed;
  if (fits(Needed, usable(Team)))
    Item.UnmetSince.reset();
  else if (!Item.UnmetSince)
    Item.UnmetSince = Now;
}

void ShardAllowances::accept(Entry &Item, AllowanceRecord Record,
                             protocol::StoreVersion Version, TimePoint Now) {
  if (Version <= Item.Version)
    return;
  if (Item.Record && !fits(usableIn(Record), usableIn(*Item.Record)))
    Item.ReceivedAt = Now;
  Item.Record = std::move(Record);
  Item.Version = Version;
  Item.SeenAt = Now;
  Item.IsAbsent = false;
  Item.NeedsRead = false;
  // A retry delay from an earlier call must not delay the claim of this record.
  Item.NextCall = std::min(Item.NextCall, Now);
  // The version has changed, so the proposed write has either taken effect or
  // can no longer do so.
  Item.Proposed.reset();
  Item.MayTakeEffect = false;
}

// --- Queries ----------------------------------------------------------------

Resources ShardAllowances::usableIn(const AllowanceRecord &Record) const {
  auto It = Record.Rows.find(Shard);
  if (It == Record.Rows.end() || It->second.Holder != Owner)
    return {};
  return componentMin(It->second.Amount, It->second.Target);
}

Resources ShardAllowances::usable(const TeamId &Team) const {
  auto It = Teams.find(Team);
  if (It == Teams.end() || !It->second.Record)
    return {};
  Resources Now = usableIn(*It->second.Record);
  return It->second.Proposed ? componentMin(Now, usableIn(*It->second.Proposed))
                             : Now;
}

Resources ShardAllowances::excess(const TeamId &Team) const {
  auto It = Teams.find(Team);
  if (It == Teams.end())
    return {};
  return componentMax(Resources(), It->second.Used - usable(Team));
}

const AllowanceRecord *ShardAllowances::record(const TeamId &Team) const {
  auto It = Teams.find(Team);
  return It == Teams.end() || !It->second.Record ? nullptr
                                                 : &*It->second.Record;
}

bool ShardAllowances::hasUnresolvedWrite(const TeamId &Team) const {
  auto It = Teams.find(Team);
  return It != Teams.end() && It->second.Proposed.has_value();
}

// --- Store calls ------------------------------------------------------------

bool ShardAllowances::takeTokens(double Cost, TimePoint Now) {
  if (TokensAt)
    Tokens = std::min(
        Options.WriteBurst,
        Tokens + Options.WritesPerSecond *
                     static_cast<double>((Now - *TokensAt).count()) / 1000);
  TokensAt = Now;
  if (Tokens < Cost)
    return false;
  Tokens -= Cost;
  return true;
}

StoreRequest ShardAllowances::requestFor(const TeamId &Team,
                                         const Entry &Item) const {
  StoreRequest Request;
  Request.Key = allowanceKey(Team);
  if (Item.NeedsRead) {
    Request.Unless = Item.Proposed ? 0 : Item.Version;
    return Request;
  }
  Request.Operation = StoreOperation::Write;
  Request.Value = encodeAllowance(*Item.Proposed);
  Request.Expected = Item.Expected;
  return Request;
}

bool ShardAllowances::prepareCall(Entry &Item, TimePoint Now) {
  if (Item.Pending != 0 || Now < Item.NextCall)
    return false;
  if (Item.NeedsRead)
    return takeTokens(Options.ReadCost, Now);
  if (Item.Proposed)
    return takeTokens(1, Now);
  std::optional<AllowanceRecord> Planned = plan(Item, Now);
  if (!Planned && Item.IsAbsent && Item.Needed != Resources() &&
      takeTokens(Options.ReadCost, Now)) {
    // The planner of another shard may have created the record meanwhile.
    Item.NeedsRead = true;
    Item.NextCall = Now + 10 * Options.RetryDelay;
    return true;
  }
  if (!Planned || !takeTokens(1, Now))
    return false;
  Item.Proposed = std::move(Planned);
  Item.Expected = Item.Version;
  return true;
}

void ShardAllowances::tick(TimePoint Now, std::vector<AllowanceRequest> &Out) {
  std::vector<std::pair<uint64_t, TimePoint>> Overdue;
  for (auto &[Team, Item] : Teams)
    if (Item.Pending != 0 && Now - Item.SentAt >= Options.AnswerTimeout)
      Overdue.emplace_back(Item.Pending, Now);
  for (auto &[Id, When] : Overdue)
    onReply(Id, StoreReply(), When);
  // Round-robin over the teams, so that none starves at a low rate of writes.
  auto It = Teams.upper_bound(LastServed);
  for (size_t I = 0; I < Teams.size(); ++I, ++It) {
    if (It == Teams.end())
      It = Teams.begin();
    auto &[Team, Item] = *It;
    if (!prepareCall(Item, Now))
      continue;
    Item.Pending = NextId++;
    Item.IsPendingRead = Item.NeedsRead;
    Item.SentAt = Now;
    Calls[Item.Pending] = Team;
    Out.push_back({Item.Pending, Team, requestFor(Team, Item)});
    LastServed = Team;
  }
}

void ShardAllowances::onWriteReply(Entry &Item, const StoreReply &Reply,
                                   TimePoint Now) {
  switch (Reply.Status) {
  case StoreStatus::Ok: {
    AllowanceRecord Written = *Item.Proposed;
    accept(Item, std::move(Written), Reply.Version, Now);
    return;
  }
  case StoreStatus::Lost:
    Item.MayTakeEffect = true;
    break;
  case StoreStatus::NotSent:
  case StoreStatus::Refused:
    if (!Item.MayTakeEffect)
      Item.Proposed.reset();
    Item.NextCall = Now + Options.RetryDelay;
    break;
  default:
    break;
  }
  Item.NeedsRead = true;
}

void ShardAllowances::onReadReply(Entry &Item, const StoreReply &Reply,
                                  TimePoint Now) {
  switch (Reply.Status) {
  case StoreStatus::Ok:
    if (Reply.Version == Item.Version) {
      Item.NeedsRead = false;
      return;
    }
    try {
      accept(Item, decodeAllowance(Reply.Value), Reply.Version, Now);
    } catch (const InvalidInput &) {
      // The record is malformed. It is read again until it is replaced; the
      // last valid one, if any, stays in use.
      Item.NextCall = Now + Options.RetryDelay;
    }
    return;
  case StoreStatus::Unchanged:
    Item.NeedsRead = false;
    return;
  case StoreStatus::NotFound:
    Item.IsAbsent = Item.Version == 0;
    Item.NeedsRead = Item.Version != 0;
    Item.NextCall = Now + Options.RetryDelay;
    return;
  default:
    Item.NextCall = Now + Options.RetryDelay;
    return;
  }
}

void ShardAllowances::onReply(uint64_t Id, const StoreReply &Reply,
                              TimePoint Now) {
  auto Call = Calls.find(Id);
  if (Call == Calls.end())
    return;
  Entry &Item = Teams[Call->second];
  Calls.erase(Call);
  Item.Pending = 0;
  if (Item.IsPendingRead)
    onReadReply(Item, Reply, Now);
  else if (Item.Proposed)
    onWriteReply(Item, Reply, Now);
  else
    onSupersededWrite(Item, Reply);
}

/// Handles the reply to a write that is no longer proposed, because a newer
/// record arrived while it was in flight. If the write may have produced an
/// even newer version, the record is read, since the written content was
/// dropped.
void ShardAllowances::onSupersededWrite(Entry &Item, const StoreReply &Reply) {
  bool MayBeNewer =
      Reply.Status != StoreStatus::Ok || Reply.Version > Item.Version;
  Item.NeedsRead = Item.NeedsRead || MayBeNewer;
}

} // namespace teaselwalk::cluster
