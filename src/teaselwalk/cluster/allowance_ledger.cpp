#include "teaselwalk/cluster/allowance_ledger.hpp"

#include "teaselwalk/base/error.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

AllowanceLedger::AllowanceLedger(protocol::ShardId Shard, Epoch Owner,
                                 AllowanceOptions Options)
    : Shard(std::move(Shard)), Owner(std::move(Owner)), Options(Options),
      Tokens(Options.WriteBurst) {}

// --- Inputs -----------------------------------------------------------------

void AllowanceLedger::setLimit(const TeamId &Team, const Resources &Limit,
                               uint64_t Revision) {
  Entry &Item = Teams[Team];
  if (Revision < Item.LimitRevision)
    return;
  Item.Limit = Limit;
  Item.LimitRevision = Revision;
}

void AllowanceLedger::setFleet(bool IsPlanner, std::set<protocol::ShardId> All,
                               std::set<protocol::ShardId> Silent) {
  Planner = IsPlanner;
  Shards = std::move(All);
  Unreachable = std::move(Silent);
}

void AllowanceLedger::noteDemand(const TeamId &Team, ShardDemands Demand) {
  Teams[Team].Demand = std::move(Demand);
}

void AllowanceLedger::retire(const protocol::ShardId &Gone) {
  Retired.insert(Gone);
}

void AllowanceLedger::onRecord(const TeamId &Team,
                               const AllowanceRecord &Record,
                               protocol::StoreVersion Version, TimePoint Now) {
  accept(Teams[Team], Record, Version, Now);
}

void AllowanceLedger::noteUse(const TeamId &Team, const Resources &Used,
                              const Resources &Needed, TimePoint Now) {
  Entry &Item = Teams[Team];
  Item.Used = Used;
  Item.Needed = Needed;
  if (fits(Needed, usable(Team)))
    Item.NeedSince.reset();
  else if (!Item.NeedSince)
    Item.NeedSince = Now;
}

void AllowanceLedger::accept(Entry &Item, AllowanceRecord Record,
                             protocol::StoreVersion Version, TimePoint Now) {
  if (Version <= Item.Version)
    return;
  if (Item.Record && !fits(usableIn(Record), usableIn(*Item.Record)))
    Item.ReceivedAt = Now;
  Item.Record = std::move(Record);
  Item.Version = Version;
  Item.SeenAt = Now;
  Item.Absent = false;
  Item.ReadNext = false;
  // A retry delay from an earlier call must not delay the claim of this record.
  Item.NextCall = std::min(Item.NextCall, Now);
  // The version has changed, so the proposed write has either taken effect or
  // can no longer do so.
  Item.Proposed.reset();
  Item.MayLand = false;
}

// --- Queries ----------------------------------------------------------------

Resources AllowanceLedger::usableIn(const AllowanceRecord &Record) const {
  auto It = Record.Rows.find(Shard);
  if (It == Record.Rows.end() || It->second.Holder != Owner)
    return {};
  return smaller(It->second.Amount, It->second.Target);
}

Resources AllowanceLedger::usable(const TeamId &Team) const {
  auto It = Teams.find(Team);
  if (It == Teams.end() || !It->second.Record)
    return {};
  Resources Now = usableIn(*It->second.Record);
  return It->second.Proposed ? smaller(Now, usableIn(*It->second.Proposed))
                             : Now;
}

Resources AllowanceLedger::excess(const TeamId &Team) const {
  auto It = Teams.find(Team);
  if (It == Teams.end())
    return {};
  return larger(Resources(), It->second.Used - usable(Team));
}

const AllowanceRecord *AllowanceLedger::record(const TeamId &Team) const {
  auto It = Teams.find(Team);
  return It == Teams.end() || !It->second.Record ? nullptr
                                                 : &*It->second.Record;
}

bool AllowanceLedger::hasPending(const TeamId &Team) const {
  auto It = Teams.find(Team);
  return It != Teams.end() && It->second.Proposed.has_value();
}

// --- Store calls ------------------------------------------------------------

bool AllowanceLedger::takeToken(double Cost, TimePoint Now) {
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

StoreRequest AllowanceLedger::requestFor(const TeamId &Team,
                                         const Entry &Item) const {
  StoreRequest Request;
  Request.Key = allowanceKey(Team);
  if (Item.ReadNext) {
    Request.Unless = Item.Proposed ? 0 : Item.Version;
    return Request;
  }
  Request.Operation = StoreOperation::Write;
  Request.Value = encodeAllowance(*Item.Proposed);
  Request.Expected = Item.Expected;
  return Request;
}

bool AllowanceLedger::nextCall(Entry &Item, TimePoint Now) {
  if (Item.Pending != 0 || Now < Item.NextCall)
    return false;
  if (Item.ReadNext)
    return takeToken(Options.ReadCost, Now);
  if (Item.Proposed)
    return takeToken(1, Now);
  std::optional<AllowanceRecord> Planned = plan(Item, Now);
  if (!Planned && Item.Absent && Item.Needed != Resources() &&
      takeToken(Options.ReadCost, Now)) {
    // The planner of another shard may have created the record meanwhile.
    Item.ReadNext = true;
    Item.NextCall = Now + 10 * Options.RetryAfter;
    return true;
  }
  if (!Planned || !takeToken(1, Now))
    return false;
  Item.Proposed = std::move(Planned);
  Item.Expected = Item.Version;
  return true;
}

void AllowanceLedger::tick(TimePoint Now, std::vector<AllowanceRequest> &Out) {
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
    if (!nextCall(Item, Now))
      continue;
    Item.Pending = NextId++;
    Item.PendingIsRead = Item.ReadNext;
    Item.SentAt = Now;
    Calls[Item.Pending] = Team;
    Out.push_back({Item.Pending, Team, requestFor(Team, Item)});
    LastServed = Team;
  }
}

void AllowanceLedger::onWritten(Entry &Item, const StoreReply &Reply,
                                TimePoint Now) {
  switch (Reply.Status) {
  case StoreStatus::Ok: {
    AllowanceRecord Written = *Item.Proposed;
    accept(Item, std::move(Written), Reply.Version, Now);
    return;
  }
  case StoreStatus::Lost:
    Item.MayLand = true;
    break;
  case StoreStatus::NotSent:
  case StoreStatus::Refused:
    if (!Item.MayLand)
      Item.Proposed.reset();
    Item.NextCall = Now + Options.RetryAfter;
    break;
  default:
    break;
  }
  Item.ReadNext = true;
}

void AllowanceLedger::onReadBack(Entry &Item, const StoreReply &Reply,
                                 TimePoint Now) {
  switch (Reply.Status) {
  case StoreStatus::Ok:
    if (Reply.Version == Item.Version) {
      Item.ReadNext = false;
      return;
    }
    try {
      accept(Item, decodeAllowance(Reply.Value), Reply.Version, Now);
    } catch (const InvalidInput &) {
      // The record is malformed. It is read again until it is replaced; the
      // last valid one, if any, stays in use.
      Item.NextCall = Now + Options.RetryAfter;
    }
    return;
  case StoreStatus::Unchanged:
    Item.ReadNext = false;
    return;
  case StoreStatus::NotFound:
    Item.Absent = Item.Version == 0;
    Item.ReadNext = Item.Version != 0;
    Item.NextCall = Now + Options.RetryAfter;
    return;
  default:
    Item.NextCall = Now + Options.RetryAfter;
    return;
  }
}

void AllowanceLedger::onReply(uint64_t Id, const StoreReply &Reply,
                              TimePoint Now) {
  auto Call = Calls.find(Id);
  if (Call == Calls.end())
    return;
  Entry &Item = Teams[Call->second];
  Calls.erase(Call);
  Item.Pending = 0;
  if (Item.PendingIsRead)
    onReadBack(Item, Reply, Now);
  else if (Item.Proposed)
    onWritten(Item, Reply, Now);
  else
    onOutdatedWrite(Item, Reply);
}

/// Handles the reply to a write that is no longer proposed, because a newer
/// record arrived while it was in flight. If the write may have produced an
/// even newer version, the record is read, since the written content was
/// dropped.
void AllowanceLedger::onOutdatedWrite(Entry &Item, const StoreReply &Reply) {
  bool MayBeNewer =
      Reply.Status != StoreStatus::Ok || Reply.Version > Item.Version;
  Item.ReadNext = Item.ReadNext || MayBeNewer;
}

} // namespace teaselwalk::cluster
