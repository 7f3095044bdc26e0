#include "teaselwalk/cluster/shard_ownership.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

ShardOwnership::ShardOwnership(ShardId Shard, ProcessId Self, uint64_t Seed,
                               ShardOwnershipOptions Options)
    : Shard(std::move(Shard)), Self(std::move(Self)), Options(Options),
      Random(Seed), TakeoverBackoff(Options.TakeoverBackoffMin) {}

// --- Inputs from membership and the VM list ---------------------------------

void ShardOwnership::setOwnershipHint(OwnershipHint NewHint, TimePoint Now) {
  if (NewHint.IsPreferredOwner != Hint.IsPreferredOwner)
    PreferenceSince = Now;
  if (NewHint.IsHeldByPeer && !Hint.IsHeldByPeer)
    HeldByPeerSince = Now;
  Hint = NewHint;
}

void ShardOwnership::setEndpoints(const std::vector<ShardEndpoint> &List,
                                  TimePoint Now) {
  std::map<EndpointId, EndpointLink> Next;
  for (const ShardEndpoint &Info : List) {
    auto It = Links.find(Info.Id);
    EndpointLink Link;
    if (It != Links.end())
      Link = It->second;
    else
      Link.LastAnswer = Link.NextSend = Now;
    if (It != Links.end() && Link.Info.At != Info.At) {
      // Another VM under the same name, which has not accepted the epoch.
      Link.IsAttached = false;
      Link.Pending = {};
      Link.LastAnswer = Link.NextSend = Now;
    }
    Link.Info = Info;
    Next[Info.Id] = std::move(Link);
  }
  Links = std::move(Next);
  if (Links.size() >= LongestList || Now - LongestListAt > Options.MaxListLag) {
    LongestList = Links.size();
    LongestListAt = Now;
  }
}

// --- Takeover and loss of ownership -----------------------------------------

void ShardOwnership::takeOver(TimePoint Now) {
  Role = Mode::Owning;
  Current = {++HighestCounter, Self};
  for (auto &[Id, Link] : Links) {
    Link.IsAttached = false;
    Link.Pending = {};
    Link.LastAnswer = Link.NextSend = Now;
  }
}

void ShardOwnership::giveUp(TimePoint Now) {
  Role = Mode::GivenUp;
  Duration Delay = Options.FirstTakeoverDelay;
  if (!NextRefusalIsFirst) {
    std::uniform_int_distribution<int64_t> Jitter(0, TakeoverBackoff.count());
    Delay = TakeoverBackoff + Duration(Jitter(Random));
    TakeoverBackoff = std::min(TakeoverBackoff * 2, Options.TakeoverBackoffMax);
  }
  NextRefusalIsFirst = false;
  EarliestTakeover = Now + Delay;
}

void ShardOwnership::updateRole(TimePoint Now) {
  if (hasAuthority(Now)) {
    NextRefusalIsFirst = true;
    TakeoverBackoff = Options.TakeoverBackoffMin;
  }
  if (Role == Mode::Owning) {
    if (!Hint.IsPreferredOwner &&
        Now - PreferenceSince >= Options.HandOverDelay)
      Role = Mode::GivenUp;
    return;
  }
  // Two processes with different views of membership may both count as the
  // preferred owner. Waiting until the present owner notices that it is not
  // avoids a needless time without an owner.
  bool LeaveToPeer =
      Hint.IsHeldByPeer && Now - std::max(PreferenceSince, HeldByPeerSince) <
                               3 * Options.HandOverDelay;
  if (!IsReleased && Hint.IsPreferredOwner && !LeaveToPeer &&
      Now >= EarliestTakeover)
    takeOver(Now);
}

void ShardOwnership::release(TimePoint) {
  IsReleased = true;
  if (Role == Mode::Owning)
    Role = Mode::GivenUp;
}

bool ShardOwnership::released() const {
  return IsReleased && std::none_of(Links.begin(), Links.end(), [](auto &Row) {
           return Row.second.IsAttached;
         });
}

// --- Answers ----------------------------------------------------------------

ShardOwnership::EndpointLink *ShardOwnership::findPending(uint64_t Command) {
  for (auto &[Id, Link] : Links)
    if (Command != 0 && Link.Pending.Id == Command)
      return &Link;
  return nullptr;
}

void ShardOwnership::handleConfirmation(EndpointLink &Link, TimePoint SentAt,
                                        TimePoint Now) {
  bool Unbroken = Link.IsAttached && Now - Link.Confirmed <= Options.Authority;
  if (!Unbroken)
    Link.HeldSince = Now;
  Link.IsAttached = true;
  Link.Confirmed = SentAt;
  Link.LastAnswer = Now;
}

void ShardOwnership::handleRefusal(EndpointLink &Link, const Epoch &Holder,
                                   TimePoint Now) {
  Link.IsAttached = false;
  Link.LastAnswer = Now;
  if (Holder < Current || Holder == Current) {
    Link.NextSend = Now; // The endpoint restarted and forgot the epoch.
    return;
  }
  HighestCounter = std::max(HighestCounter, Holder.Counter);
  RefusingProcesses.insert(Holder.Process);
  if (Role == Mode::Owning)
    giveUp(Now);
}

void ShardOwnership::onEndpointState(uint64_t Command,
                                     const protocol::EndpointState &State,
                                     TimePoint Now) {
  EndpointLink *Link = findPending(Command);
  if (!Link)
    return;
  TimePoint SentAt = Link->Pending.SentAt;
  Link->Pending = {};
  Link->ReportsLeaving = State.Leaving;
  if (State.Owner == Current)
    handleConfirmation(*Link, SentAt, Now);
  else
    handleRefusal(*Link, State.Owner, Now);
}

void ShardOwnership::onStaleEpoch(uint64_t Command,
                                  const protocol::StaleEpoch &Stale,
                                  TimePoint Now) {
  HighestCounter = std::max(HighestCounter, Stale.Owner.Counter);
  EndpointLink *Link = findPending(Command);
  if (!Link)
    return;
  Link->Pending = {};
  handleRefusal(*Link, Stale.Owner, Now);
}

void ShardOwnership::onRunRefused(const EndpointId &Endpoint,
                                  const protocol::StaleEpoch &Stale,
                                  TimePoint Now) {
  HighestCounter = std::max(HighestCounter, Stale.Owner.Counter);
  auto It = Links.find(Endpoint);
  if (It != Links.end() && Stale.Owner != Current)
    handleRefusal(It->second, Stale.Owner, Now);
}

void ShardOwnership::onNoAnswer(uint64_t Command, protocol::Delivery How,
                                TimePoint) {
  EndpointLink *Link = findPending(Command);
  if (!Link)
    return;
  if (How == protocol::Delivery::NotSent &&
      Link->Pending.Action == OwnershipAction::Renew &&
      Link->LeaseSent == Link->Pending.SentAt)
    Link->LeaseSent = Link->Pending.LeaseBefore;
  Link->Pending = {};
}

void ShardOwnership::onStoreReply(uint64_t, const protocol::StoreReply &,
                                  TimePoint) {}

void ShardOwnership::onRunSent(const EndpointId &Endpoint, TimePoint Now) {
  auto It = Links.find(Endpoint);
  if (It == Links.end())
    return;
  It->second.LeaseSent = Now;
  // The run command extends leases beyond the renewal in flight, so a failure
  // to send that renewal must not reset `LeaseSent` to an earlier time.
  It->second.Pending.LeaseBefore = Now;
}

// --- Commands ---------------------------------------------------------------

void ShardOwnership::handleOwnPause(TimePoint Now) {
  // This process was paused. Silence of the endpoints in that time does not
  // mean that they are unreachable.
  if (Now - LastTick > 3 * Options.RenewInterval)
    for (auto &[Id, Link] : Links)
      Link.LastAnswer = std::max(Link.LastAnswer, Now);
  LastTick = Now;
}

void ShardOwnership::expireCommands(TimePoint Now) {
  for (auto &[Id, Link] : Links)
    if (Link.Pending.Id != 0 &&
        Now - Link.Pending.SentAt >= 2 * Options.AnswerTimeout)
      Link.Pending = {};
}

OwnershipAction ShardOwnership::actionFor(const EndpointLink &Link,
                                          TimePoint Now) const {
  if (isUnreachable(Link, Now))
    return OwnershipAction::Probe;
  return Link.IsAttached ? OwnershipAction::Renew : OwnershipAction::Attach;
}

bool ShardOwnership::isCommandDue(const EndpointLink &Link,
                                  TimePoint Now) const {
  if (Link.Pending.Id != 0 || Now < Link.NextSend)
    return false;
  return Role == Mode::Owning || (Role == Mode::GivenUp && Link.IsAttached &&
                                  !isUnreachable(Link, Now));
}

void ShardOwnership::sendTo(EndpointLink &Link, OwnershipAction Action,
                            TimePoint Now, std::vector<OwnershipCommand> &Out) {
  OwnershipCommand Command;
  Command.Id = NextId++;
  Command.Action = Action;
  Command.Endpoint = Link.Info.Id;
  Command.At = Link.Info.At;
  Command.Owner = Current;
  Link.Pending = {Command.Id, Action, Now, Link.LeaseSent};
  Link.NextSend =
      Now + (Action == OwnershipAction::Probe ? Options.ProbeInterval
                                              : Options.RenewInterval);
  if (Action == OwnershipAction::Renew) {
    Command.Lease = Options.TaskLease;
    Link.LeaseSent = Now;
  }
  Out.push_back(std::move(Command));
}

void ShardOwnership::tick(TimePoint Now, std::vector<OwnershipCommand> &Out) {
  handleOwnPause(Now);
  expireCommands(Now);
  updateRole(Now);
  std::vector<EndpointLink *> Due;
  for (auto &[Id, Link] : Links) {
    if (Role == Mode::GivenUp && Link.IsAttached && isUnreachable(Link, Now))
      Link.IsAttached = false;
    if (isCommandDue(Link, Now))
      Due.push_back(&Link);
  }
  if (Role == Mode::GivenUp && !Hint.IsPreferredOwner &&
      std::none_of(Links.begin(), Links.end(),
                   [](auto &Row) { return Row.second.IsAttached; }))
    Role = Mode::Idle;
  // The endpoints that have waited longest come first. Otherwise unreachable
  // ones could use up `MaxAttachesInFlight` and keep others from being
  // attached.
  std::stable_sort(Due.begin(), Due.end(),
                   [](const EndpointLink *A, const EndpointLink *B) {
                     return A->NextSend < B->NextSend;
                   });
  size_t Attaches = attachesInFlight();
  for (EndpointLink *Link : Due) {
    OwnershipAction Action = actionFor(*Link, Now);
    if (Action != OwnershipAction::Renew &&
        Attaches++ >= Options.MaxAttachesInFlight)
      continue;
    sendTo(*Link, Action, Now, Out);
  }
}

size_t ShardOwnership::attachesInFlight() const {
  return static_cast<size_t>(
      std::count_if(Links.begin(), Links.end(), [](const auto &Row) {
        const CommandInFlight &Pending = Row.second.Pending;
        return Pending.Id != 0 && Pending.Action != OwnershipAction::Renew;
      }));
}

} // namespace teaselwalk::cluster
