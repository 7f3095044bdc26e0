#include "teaselwalk/cluster/plain_ownership.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

PlainOwnership::PlainOwnership(ShardId Shard, ProcessId Self, uint64_t Seed,
                               PlainOwnershipOptions Options)
    : Shard(std::move(Shard)), Self(std::move(Self)), Options(Options),
      Random(Seed) {}

std::string PlainOwnership::key() const {
  return "owner/" + Shard.DataCentre.str() + "/" + std::to_string(Shard.Number);
}

void PlainOwnership::setWish(OwnershipWish NewWish, TimePoint Now) {
  if (NewWish.Preferred != Wish.Preferred)
    WishSince = Now;
  Wish = NewWish;
}

void PlainOwnership::setEndpoints(const std::vector<ShardEndpoint> &List,
                                  TimePoint Now) {
  std::map<EndpointId, Peer> Next;
  for (const ShardEndpoint &Info : List) {
    auto It = Peers.find(Info.Id);
    Peer Item;
    if (It != Peers.end())
      Item = It->second;
    if (It == Peers.end() || Item.Info.At != Info.At) {
      Item.Read = Item.Known = false;
      Item.Pending = 0;
      Item.LastAnswer = Item.NextSend = Now;
    }
    Item.Info = Info;
    Next[Info.Id] = std::move(Item);
  }
  Peers = std::move(Next);
}

// --- The store lease --------------------------------------------------------

bool PlainOwnership::leaseValid(TimePoint Now) const {
  // The store's clock may run faster than this process's.
  Duration Safe = Options.StoreLease * 100 / (100 + ClockDriftPercent);
  return !Lease.empty() && Now < LeaseFrom + Safe;
}

void PlainOwnership::beginTerm(TimePoint Now) {
  Step = Phase::Granting;
  Lease.clear();
  KeyVersion = 0;
  NextStore = Now;
  for (auto &[Id, Item] : Peers) {
    Item.Read = Item.Known = false;
    Item.Pending = 0;
    Item.LastAnswer = Item.NextSend = Now;
  }
}

void PlainOwnership::endTerm(TimePoint Now) {
  Step = Phase::Idle;
  Lease.clear();
  HadTerm = true;
  retryLater(Now);
}

void PlainOwnership::retryLater(TimePoint Now) {
  std::uniform_int_distribution<int64_t> Jitter(0, Options.RetryStore.count());
  NextStore = Now + Options.RetryStore + Duration(Jitter(Random));
}

void PlainOwnership::release(TimePoint Now) {
  Released = true;
  if (Step == Phase::Owning) {
    Step = Phase::Removing;
    NextStore = Now;
  } else if (Step != Phase::Removing) {
    endTerm(Now);
  }
}

StoreRequest PlainOwnership::nextRequest() const {
  StoreRequest Request;
  Request.Key = key();
  switch (Step) {
  case Phase::Granting:
    Request.Operation = StoreOperation::GrantLease;
    Request.Ttl = Options.StoreLease;
    break;
  case Phase::Creating:
    Request.Operation = StoreOperation::Write;
    Request.Value = Self.str() + " " + Lease;
    Request.Lease = Lease;
    break;
  case Phase::Owning:
    Request.Operation = StoreOperation::RenewLease;
    Request.Lease = Lease;
    break;
  case Phase::Removing:
    Request.Operation = StoreOperation::Remove;
    Request.Expected = KeyVersion;
    break;
  case Phase::Idle:
  case Phase::Reading:
    Request.Operation = StoreOperation::Read;
    break;
  }
  return Request;
}

void PlainOwnership::onOwnKey(protocol::StoreVersion Version, TimePoint Now) {
  Step = Phase::Owning;
  KeyVersion = Version;
  OwnedSince = Now;
  NextStore = Now;
}

void PlainOwnership::onCreated(const StoreReply &Reply, TimePoint Now) {
  if (Reply.Status == StoreStatus::Ok)
    return onOwnKey(Reply.Version, Now);
  if (Reply.Status == StoreStatus::Lost ||
      Reply.Status == StoreStatus::Conflict) {
    Step = Phase::Reading;
    NextStore = Now;
    return;
  }
  retryLater(Now);
}

void PlainOwnership::onKeyRead(const StoreReply &Reply, TimePoint Now) {
  if (Reply.Status == StoreStatus::Ok) {
    if (Reply.Value == Self.str() + " " + Lease)
      return onOwnKey(Reply.Version, Now);
    return endTerm(Now); // Another owner, or an earlier term of this one.
  }
  if (Reply.Status == StoreStatus::NotFound)
    Step = Phase::Creating;
  retryLater(Now);
}

void PlainOwnership::onRenewed(const StoreReply &Reply, TimePoint Now) {
  if (Reply.Status == StoreStatus::Ok) {
    LeaseFrom = std::max(LeaseFrom, StoreSentAt);
    NextStore = StoreSentAt + Options.RenewLeaseEvery;
    return;
  }
  if (Reply.Status == StoreStatus::NotFound)
    return endTerm(Now); // The store dropped the lease, and the key with it.
  retryLater(Now);
}

void PlainOwnership::onStore(uint64_t Command, const StoreReply &Reply,
                             TimePoint Now) {
  if (Command != StorePending || Command == 0)
    return;
  StorePending = 0;
  switch (Step) {
  case Phase::Granting:
    if (Reply.Status == StoreStatus::Ok) {
      Lease = Reply.Value;
      LeaseFrom = StoreSentAt;
      Step = Phase::Creating;
      NextStore = Now;
    } else {
      retryLater(Now);
    }
    return;
  case Phase::Creating:
    return onCreated(Reply, Now);
  case Phase::Reading:
    return onKeyRead(Reply, Now);
  case Phase::Owning:
    return onRenewed(Reply, Now);
  case Phase::Removing:
    if (Reply.Status == StoreStatus::Ok ||
        Reply.Status == StoreStatus::NotFound ||
        Reply.Status == StoreStatus::Conflict)
      return endTerm(Now);
    return retryLater(Now);
  case Phase::Idle:
    return;
  }
}

void PlainOwnership::tickStore(TimePoint Now,
                               std::vector<OwnershipCommand> &Out) {
  if (StorePending != 0 && Now - StoreSentAt >= 2 * Options.AnswerTimeout) {
    StoreReply Nothing;
    onStore(StorePending, Nothing, Now);
  }
  bool Unwanted = !Wish.Preferred && Now - WishSince >= Options.HandOver;
  if (Step == Phase::Idle && Wish.Preferred && !Released && Now >= NextStore)
    beginTerm(Now);
  else if (Step == Phase::Owning && Unwanted)
    Step = Phase::Removing;
  else if (Step != Phase::Idle && Step != Phase::Removing && Unwanted)
    endTerm(Now);
  if (Step != Phase::Idle && Step != Phase::Granting && !leaseValid(Now))
    endTerm(Now);
  if (Step == Phase::Idle || StorePending != 0 || Now < NextStore)
    return;
  OwnershipCommand Command;
  Command.Id = StorePending = NextId++;
  Command.Action = OwnershipAction::Store;
  Command.Request = nextRequest();
  StoreSentAt = Now;
  Out.push_back(std::move(Command));
}

// --- Endpoints --------------------------------------------------------------

bool PlainOwnership::isUnreachable(const Peer &Item, TimePoint Now) const {
  return Now - Item.LastAnswer >= Options.Unreachable;
}

void PlainOwnership::tickEndpoints(TimePoint Now,
                                   std::vector<OwnershipCommand> &Out) {
  if (Step != Phase::Owning || !leaseValid(Now))
    return;
  auto InFlight = static_cast<size_t>(
      std::count_if(Peers.begin(), Peers.end(), [](const auto &Row) {
        return Row.second.Pending != 0 &&
               Row.second.PendingAction != OwnershipAction::Renew;
      }));
  for (auto &[Id, Item] : Peers) {
    if (Item.Pending != 0 &&
        Now - Item.PendingSince >= 2 * Options.AnswerTimeout)
      Item.Pending = 0;
    if (Item.Pending != 0 || Now < Item.NextSend)
      continue;
    OwnershipAction Action = OwnershipAction::Attach;
    if (isUnreachable(Item, Now))
      Action = OwnershipAction::Probe;
    else if (Item.Read)
      Action = OwnershipAction::Renew;
    if (Action != OwnershipAction::Renew && InFlight++ >= Options.MaxAttaches)
      continue;
    OwnershipCommand Command;
    Command.Id = Item.Pending = NextId++;
    Command.Action = Item.PendingAction = Action;
    Command.Endpoint = Id;
    Command.At = Item.Info.At;
    Command.Owner = epoch();
    Item.PendingSince = Now;
    Item.NextSend =
        Now + (Action == OwnershipAction::Probe ? Options.ProbeEvery
                                                : Options.RenewEvery);
    if (Action == OwnershipAction::Renew) {
      Command.Lease = Options.TaskLease;
      Item.LeaseSent = Now;
    }
    Out.push_back(std::move(Command));
  }
}

void PlainOwnership::tick(TimePoint Now, std::vector<OwnershipCommand> &Out) {
  tickStore(Now, Out);
  tickEndpoints(Now, Out);
}

PlainOwnership::Peer *PlainOwnership::findPending(uint64_t Command) {
  for (auto &[Id, Item] : Peers)
    if (Command != 0 && Item.Pending == Command)
      return &Item;
  return nullptr;
}

void PlainOwnership::onState(uint64_t Command,
                             const protocol::EndpointState &State,
                             TimePoint Now) {
  Peer *Item = findPending(Command);
  if (!Item)
    return;
  Item->Pending = 0;
  Item->LastAnswer = Now;
  Item->SaysLeaving = State.Leaving;
  // A list read before the wait was over may miss a task that a command of the
  // former owner started afterwards.
  Item->Read = true;
  Item->Known = Item->Known || Item->PendingSince >= quietFrom();
}

void PlainOwnership::onStale(uint64_t Command, const protocol::StaleEpoch &,
                             TimePoint Now) {
  onNoAnswer(Command, protocol::Delivery::Answered, Now);
}

void PlainOwnership::onNoAnswer(uint64_t Command, protocol::Delivery,
                                TimePoint) {
  if (Peer *Item = findPending(Command))
    Item->Pending = 0;
}

void PlainOwnership::onRunRefused(const EndpointId &,
                                  const protocol::StaleEpoch &, TimePoint) {}

void PlainOwnership::onRunSent(const EndpointId &Endpoint, TimePoint Now) {
  auto It = Peers.find(Endpoint);
  if (It != Peers.end())
    It->second.LeaseSent = Now;
}

TimePoint PlainOwnership::quietFrom() const {
  return OwnedSince + withDrift(Options.StoreLease + Options.CommandExpiry);
}

// --- Questions --------------------------------------------------------------

TimePoint PlainOwnership::authorityEnd(TimePoint Now) const {
  if (Step != Phase::Owning || Released || Now < quietFrom() ||
      !leaseValid(Now))
    return Now;
  return LeaseFrom + Options.StoreLease * 100 / (100 + ClockDriftPercent);
}

bool PlainOwnership::hasAuthority(TimePoint Now) const {
  return Now < authorityEnd(Now);
}

OwnershipState PlainOwnership::state(TimePoint Now) const {
  if (hasAuthority(Now))
    return OwnershipState::Holding;
  if (Step == Phase::Owning && !Released && leaseValid(Now))
    return OwnershipState::Waiting;
  if (Step == Phase::Idle)
    return HadTerm ? OwnershipState::Lost : OwnershipState::Idle;
  return Step == Phase::Removing ? OwnershipState::Lost
                                 : OwnershipState::Attaching;
}

bool PlainOwnership::isAttached(const EndpointId &Endpoint) const {
  auto It = Peers.find(Endpoint);
  return Step == Phase::Owning && It != Peers.end() && It->second.Read;
}

bool PlainOwnership::mayStartOn(const EndpointId &Endpoint,
                                TimePoint Now) const {
  if (!hasAuthority(Now) || !isAttached(Endpoint))
    return false;
  const Peer &Item = Peers.at(Endpoint);
  return Item.Known && !Item.Info.Leaving && !Item.SaysLeaving &&
         !isUnreachable(Item, Now);
}

std::vector<EndpointId> PlainOwnership::unreachable(TimePoint Now) const {
  std::vector<EndpointId> Result;
  for (const auto &[Id, Item] : Peers)
    if (Step == Phase::Owning && isUnreachable(Item, Now))
      Result.push_back(Id);
  return Result;
}

std::optional<TimePoint>
PlainOwnership::leasesEndBy(const EndpointId &Endpoint) const {
  auto It = Peers.find(Endpoint);
  if (It == Peers.end() || !It->second.LeaseSent)
    return std::nullopt;
  return *It->second.LeaseSent + Options.CommandExpiry +
         withDrift(Options.TaskLease);
}

} // namespace teaselwalk::cluster
