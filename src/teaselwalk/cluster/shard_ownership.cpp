#include "teaselwalk/cluster/shard_ownership.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

ShardOwnership::ShardOwnership(ShardId Shard, ProcessId Self, uint64_t Seed,
                               ShardOwnershipOptions Options)
    : Shard(std::move(Shard)), Self(std::move(Self)), Options(Options),
      Random(Seed), RetakeDelay(Options.RetakeMin) {}

// --- Inputs from membership and the VM list ---------------------------------

void ShardOwnership::setWish(OwnershipWish NewWish, TimePoint Now) {
  if (NewWish.Preferred != Wish.Preferred)
    WishSince = Now;
  if (NewWish.HeldByPeer && !Wish.HeldByPeer)
    HeldByPeerSince = Now;
  Wish = NewWish;
}

void ShardOwnership::setEndpoints(const std::vector<ShardEndpoint> &List,
                                  TimePoint Now) {
  std::map<EndpointId, Peer> Next;
  for (const ShardEndpoint &Info : List) {
    auto It = Peers.find(Info.Id);
    Peer Item;
    if (It != Peers.end())
      Item = It->second;
    else
      Item.LastAnswer = Item.NextSend = Now;
    if (It != Peers.end() && Item.Info.At != Info.At) {
      // Another VM under the same name, which has not accepted the epoch.
      Item.Attached = false;
      Item.Pending = {};
      Item.LastAnswer = Item.NextSend = Now;
    }
    Item.Info = Info;
    Next[Info.Id] = std::move(Item);
  }
  Peers = std::move(Next);
  if (Peers.size() >= LongestList || Now - LongestListAt > Options.ListLag) {
    LongestList = Peers.size();
    LongestListAt = Now;
  }
}

// --- Takeover and loss of ownership -----------------------------------------

void ShardOwnership::take(TimePoint Now) {
  Role = Mode::Owning;
  Current = {++HighestCounter, Self};
  for (auto &[Id, Item] : Peers) {
    Item.Attached = false;
    Item.Pending = {};
    Item.LastAnswer = Item.NextSend = Now;
  }
}

void ShardOwnership::giveUp(TimePoint Now) {
  Role = Mode::GivenUp;
  Duration Delay = Options.Discovery;
  if (!Discovering) {
    std::uniform_int_distribution<int64_t> Jitter(0, RetakeDelay.count());
    Delay = RetakeDelay + Duration(Jitter(Random));
    RetakeDelay = std::min(RetakeDelay * 2, Options.RetakeMax);
  }
  Discovering = false;
  NotBefore = Now + Delay;
}

void ShardOwnership::reconsider(TimePoint Now) {
  if (hasAuthority(Now)) {
    Discovering = true;
    RetakeDelay = Options.RetakeMin;
  }
  if (Role == Mode::Owning) {
    if (!Wish.Preferred && Now - WishSince >= Options.HandOver)
      Role = Mode::GivenUp;
    return;
  }
  // Two processes with different views of membership may both count as the
  // preferred owner. Waiting until the present owner notices that it is not
  // avoids a needless time without an owner.
  bool LeaveToPeer =
      Wish.HeldByPeer &&
      Now - std::max(WishSince, HeldByPeerSince) < 3 * Options.HandOver;
  if (!Released && Wish.Preferred && !LeaveToPeer && Now >= NotBefore)
    take(Now);
}

void ShardOwnership::release(TimePoint) {
  Released = true;
  if (Role == Mode::Owning)
    Role = Mode::GivenUp;
}

bool ShardOwnership::released() const {
  return Released && std::none_of(Peers.begin(), Peers.end(), [](auto &Row) {
           return Row.second.Attached;
         });
}

// --- Answers ----------------------------------------------------------------

ShardOwnership::Peer *ShardOwnership::findPending(uint64_t Command) {
  for (auto &[Id, Item] : Peers)
    if (Command != 0 && Item.Pending.Id == Command)
      return &Item;
  return nullptr;
}

void ShardOwnership::confirm(Peer &Item, TimePoint SentAt, TimePoint Now) {
  bool Unbroken = Item.Attached && Now - Item.Confirmed <= Options.Authority;
  if (!Unbroken)
    Item.HeldSince = Now;
  Item.Attached = true;
  Item.Confirmed = SentAt;
  Item.LastAnswer = Now;
}

void ShardOwnership::refuse(Peer &Item, const Epoch &Holder, TimePoint Now) {
  Item.Attached = false;
  Item.LastAnswer = Now;
  if (Holder < Current || Holder == Current) {
    Item.NextSend = Now; // The endpoint restarted and forgot the epoch.
    return;
  }
  HighestCounter = std::max(HighestCounter, Holder.Counter);
  Refusers.insert(Holder.Process);
  if (Role == Mode::Owning)
    giveUp(Now);
}

void ShardOwnership::onState(uint64_t Command,
                             const protocol::EndpointState &State,
                             TimePoint Now) {
  Peer *Item = findPending(Command);
  if (!Item)
    return;
  TimePoint SentAt = Item->Pending.SentAt;
  Item->Pending = {};
  Item->SaysLeaving = State.Leaving;
  if (State.Owner == Current)
    confirm(*Item, SentAt, Now);
  else
    refuse(*Item, State.Owner, Now);
}

void ShardOwnership::onStale(uint64_t Command,
                             const protocol::StaleEpoch &Stale, TimePoint Now) {
  HighestCounter = std::max(HighestCounter, Stale.Owner.Counter);
  Peer *Item = findPending(Command);
  if (!Item)
    return;
  Item->Pending = {};
  refuse(*Item, Stale.Owner, Now);
}

void ShardOwnership::onRunRefused(const EndpointId &Endpoint,
                                  const protocol::StaleEpoch &Stale,
                                  TimePoint Now) {
  HighestCounter = std::max(HighestCounter, Stale.Owner.Counter);
  auto It = Peers.find(Endpoint);
  if (It != Peers.end() && Stale.Owner != Current)
    refuse(It->second, Stale.Owner, Now);
}

void ShardOwnership::onNoAnswer(uint64_t Command, protocol::Delivery How,
                                TimePoint) {
  Peer *Item = findPending(Command);
  if (!Item)
    return;
  if (How == protocol::Delivery::NotSent &&
      Item->Pending.Action == OwnershipAction::Renew &&
      Item->LeaseSent == Item->Pending.SentAt)
    Item->LeaseSent = Item->Pending.LeaseBefore;
  Item->Pending = {};
}

void ShardOwnership::onStore(uint64_t, const protocol::StoreReply &,
                             TimePoint) {}

void ShardOwnership::onRunSent(const EndpointId &Endpoint, TimePoint Now) {
  auto It = Peers.find(Endpoint);
  if (It == Peers.end())
    return;
  It->second.LeaseSent = Now;
  // The run command extends leases beyond the renewal in flight, so a failure
  // to send that renewal must not reset `LeaseSent` to an earlier time.
  It->second.Pending.LeaseBefore = Now;
}

// --- Commands ---------------------------------------------------------------

void ShardOwnership::noticePause(TimePoint Now) {
  // This process was paused. Silence of the endpoints in that time does not
  // mean that they are unreachable.
  if (Now - LastTick > 3 * Options.RenewEvery)
    for (auto &[Id, Item] : Peers)
      Item.LastAnswer = std::max(Item.LastAnswer, Now);
  LastTick = Now;
}

void ShardOwnership::expirePending(TimePoint Now) {
  for (auto &[Id, Item] : Peers)
    if (Item.Pending.Id != 0 &&
        Now - Item.Pending.SentAt >= 2 * Options.AnswerTimeout)
      Item.Pending = {};
}

OwnershipAction ShardOwnership::actionFor(const Peer &Item,
                                          TimePoint Now) const {
  if (isUnreachable(Item, Now))
    return OwnershipAction::Probe;
  return Item.Attached ? OwnershipAction::Renew : OwnershipAction::Attach;
}

bool ShardOwnership::wantsCommand(const Peer &Item, TimePoint Now) const {
  if (Item.Pending.Id != 0 || Now < Item.NextSend)
    return false;
  return Role == Mode::Owning ||
         (Role == Mode::GivenUp && Item.Attached && !isUnreachable(Item, Now));
}

void ShardOwnership::sendTo(Peer &Item, OwnershipAction Action, TimePoint Now,
                            std::vector<OwnershipCommand> &Out) {
  OwnershipCommand Command;
  Command.Id = NextId++;
  Command.Action = Action;
  Command.Endpoint = Item.Info.Id;
  Command.At = Item.Info.At;
  Command.Owner = Current;
  Item.Pending = {Command.Id, Action, Now, Item.LeaseSent};
  Item.NextSend = Now + (Action == OwnershipAction::Probe ? Options.ProbeEvery
                                                          : Options.RenewEvery);
  if (Action == OwnershipAction::Renew) {
    Command.Lease = Options.TaskLease;
    Item.LeaseSent = Now;
  }
  Out.push_back(std::move(Command));
}

void ShardOwnership::tick(TimePoint Now, std::vector<OwnershipCommand> &Out) {
  noticePause(Now);
  expirePending(Now);
  reconsider(Now);
  std::vector<Peer *> Due;
  for (auto &[Id, Item] : Peers) {
    if (Role == Mode::GivenUp && Item.Attached && isUnreachable(Item, Now))
      Item.Attached = false;
    if (wantsCommand(Item, Now))
      Due.push_back(&Item);
  }
  if (Role == Mode::GivenUp && !Wish.Preferred &&
      std::none_of(Peers.begin(), Peers.end(),
                   [](auto &Row) { return Row.second.Attached; }))
    Role = Mode::Idle;
  // The endpoints that have waited longest come first. Otherwise unreachable
  // ones could use up `MaxAttaches` and keep others from being attached.
  std::stable_sort(Due.begin(), Due.end(), [](const Peer *A, const Peer *B) {
    return A->NextSend < B->NextSend;
  });
  size_t Attaches = attachesInFlight();
  for (Peer *Item : Due) {
    OwnershipAction Action = actionFor(*Item, Now);
    if (Action != OwnershipAction::Renew && Attaches++ >= Options.MaxAttaches)
      continue;
    sendTo(*Item, Action, Now, Out);
  }
}

size_t ShardOwnership::attachesInFlight() const {
  return static_cast<size_t>(
      std::count_if(Peers.begin(), Peers.end(), [](const auto &Row) {
        const InFlight &Pending = Row.second.Pending;
        return Pending.Id != 0 && Pending.Action != OwnershipAction::Renew;
      }));
}

} // namespace teaselwalk::cluster
