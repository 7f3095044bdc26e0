#include "teaselwalk/cluster/membership.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

Membership::Membership(ProcessId Self, DataCentreId DataCentre,
                       protocol::Address At, uint64_t Seed, TimePoint Started,
                       MembershipOptions Options)
    : Self(std::move(Self)), DataCentre(std::move(DataCentre)),
      At(std::move(At)), Random(Seed), Started(Started), NextDigest(Started),
      Options(Options) {}

// --- Inputs -----------------------------------------------------------------

void Membership::setAddresses(const std::vector<Contact> &All, TimePoint Now) {
  OwnAddresses.clear();
  std::vector<Contact> Others;
  for (const Contact &Item : All) {
    if (Item.At == At)
      continue;
    if (Item.DataCentre == DataCentre)
      OwnAddresses.push_back(Item.At);
    else
      Others.push_back(Item);
  }
  std::sort(OwnAddresses.begin(), OwnAddresses.end());
  OwnAddresses.erase(std::unique(OwnAddresses.begin(), OwnAddresses.end()),
                     OwnAddresses.end());
  if (OwnAddresses.size() > Options.MaxMembers)
    OwnAddresses.resize(Options.MaxMembers);

  for (auto &[Where, Known] : Contacts)
    for (KnownContact &Item : Known)
      if (std::find(Others.begin(), Others.end(), Contact{Where, Item.At}) !=
          Others.end())
        Item.LastSeen = Now;
  tick(Now);
  // Random order, so that different processes keep different contacts.
  std::shuffle(Others.begin(), Others.end(), Random);
  for (const Contact &Item : Others)
    addContact(Item, Now);
}

void Membership::addContact(const Contact &Item, TimePoint Now) {
  std::vector<KnownContact> &Known = Contacts[Item.DataCentre];
  for (KnownContact &Row : Known)
    if (Row.At == Item.At) {
      Row.LastSeen = Now;
      return;
    }
  if (Known.size() < Options.ContactsPerDataCentre)
    Known.push_back({Item.At, Now});
}

void Membership::onHeartbeat(const protocol::Heartbeat &Beat, TimePoint Now) {
  if (Beat.From == Self || Beat.DataCentre != DataCentre ||
      ReplacedIds.count(Beat.From) != 0)
    return;
  for (auto It = Members.begin(); It != Members.end();) {
    if (It->second.At == Beat.At && It->first != Beat.From) {
      ReplacedIds[It->first] = Now;
      It = Members.erase(It);
    } else {
      ++It;
    }
  }
  if (Members.size() >= Options.MaxMembers && Members.count(Beat.From) == 0)
    return;
  Members[Beat.From] = {Beat.From,   Beat.At,   Beat.Leaving,
                        Beat.Shards, Beat.Free, Now};
}

void Membership::onDigest(const Digest &Value, TimePoint Now) {
  for (const DigestRow &Row : Value.Rows) {
    if (Row.DataCentre == DataCentre || Row.Age < Duration(0))
      continue;
    TimePoint ReportedAt = Now - Row.Age;
    auto It = RowReportedAt.find(Row.DataCentre);
    if (Now - ReportedAt >= Options.ForgetAfter ||
        (It != RowReportedAt.end() && ReportedAt <= It->second))
      continue;
    Rows[Row.DataCentre] = Row;
    RowReportedAt[Row.DataCentre] = ReportedAt;
    addContact({Row.DataCentre, Row.At}, Now);
  }
}

void Membership::tick(TimePoint Now) {
  for (auto It = Members.begin(); It != Members.end();)
    It = Now - It->second.LastHeard >= Options.ForgetAfter ? Members.erase(It)
                                                           : std::next(It);
  for (auto It = ReplacedIds.begin(); It != ReplacedIds.end();)
    It = Now - It->second >= Options.ForgetAfter ? ReplacedIds.erase(It)
                                                 : std::next(It);
  for (auto It = RowReportedAt.begin(); It != RowReportedAt.end();) {
    if (Now - It->second < Options.ForgetAfter) {
      ++It;
      continue;
    }
    Rows.erase(It->first);
    It = RowReportedAt.erase(It);
  }
  for (auto It = Contacts.begin(); It != Contacts.end();) {
    std::vector<KnownContact> &Known = It->second;
    Known.erase(std::remove_if(Known.begin(), Known.end(),
                               [&](const KnownContact &Item) {
                                 return Now - Item.LastSeen >=
                                        Options.ForgetContactAfter;
                               }),
                Known.end());
    It = Known.empty() ? Contacts.erase(It) : std::next(It);
  }
}

// --- Queries ----------------------------------------------------------------

const Member *Membership::find(const ProcessId &Process) const {
  auto It = Members.find(Process);
  return It == Members.end() ? nullptr : &It->second;
}

MemberState Membership::stateOf(const ProcessId &Process, TimePoint Now) const {
  const Member *Item = find(Process);
  if (!Item || Now - Item->LastHeard >= Options.DeadAfter)
    return MemberState::Dead;
  return Now - Item->LastHeard >= Options.SuspectAfter ? MemberState::Suspect
                                                       : MemberState::Live;
}

std::vector<ProcessId> Membership::candidates(bool SelfLeaving,
                                              TimePoint Now) const {
  std::vector<ProcessId> Result;
  if (!SelfLeaving)
    Result.push_back(Self);
  for (const auto &[Process, Item] : Members)
    if (!Item.Leaving && stateOf(Process, Now) != MemberState::Dead)
      Result.push_back(Process);
  return Result;
}

OwnershipHint Membership::ownershipHint(const protocol::ShardId &Shard,
                                        bool SelfLeaving, TimePoint Now) const {
  OwnershipHint Hint;
  Hint.IsPreferredOwner =
      isSettled(Now) && Shard.DataCentre == DataCentre &&
      preferredOwner(Shard, candidates(SelfLeaving, Now)) == Self;
  Hint.IsHeldByPeer = reportedOwner(Shard.Number, Now) != nullptr;
  return Hint;
}

const Member *Membership::reportedOwner(uint32_t Shard, TimePoint Now) const {
  for (const auto &[Process, Item] : Members)
    if (stateOf(Process, Now) != MemberState::Dead &&
        std::find(Item.Shards.begin(), Item.Shards.end(), Shard) !=
            Item.Shards.end())
      return &Item;
  return nullptr;
}

std::vector<protocol::Address> Membership::heartbeatTargets() const {
  std::vector<protocol::Address> Targets = OwnAddresses;
  for (const auto &[Process, Item] : Members)
    Targets.push_back(Item.At);
  std::sort(Targets.begin(), Targets.end());
  Targets.erase(std::unique(Targets.begin(), Targets.end()), Targets.end());
  return Targets;
}

std::vector<Contact> Membership::digestTargets(TimePoint Now) {
  if (Now < NextDigest)
    return {};
  std::vector<DataCentreId> Where;
  for (const auto &[Id, Known] : Contacts)
    Where.push_back(Id);
  std::shuffle(Where.begin(), Where.end(), Random);
  if (Where.size() > Options.DigestFanOut)
    Where.resize(Options.DigestFanOut);
  std::vector<Contact> Targets;
  for (const DataCentreId &Id : Where) {
    const std::vector<KnownContact> &Known = Contacts[Id];
    std::uniform_int_distribution<size_t> Pick(0, Known.size() - 1);
    Targets.push_back({Id, Known[Pick(Random)].At});
  }
  if (!Targets.empty())
    NextDigest = Now + Options.DigestInterval;
  return Targets;
}

Digest
Membership::makeDigest(DigestRow Own,
                       const std::vector<protocol::Attestation> &Attestations,
                       TimePoint Now) const {
  Digest Value;
  Value.From = Self;
  Own.DataCentre = DataCentre;
  Own.Age = Duration(0);
  Value.Rows.push_back(std::move(Own));
  for (const auto &[Id, Row] : Rows) {
    Value.Rows.push_back(Row);
    Value.Rows.back().Age = Now - RowReportedAt.at(Id);
  }
  Value.Attestations = Attestations;
  return Value;
}

size_t Membership::stateBytes() const {
  size_t Bytes = sizeof(*this);
  for (const auto &[Process, Item] : Members)
    Bytes += sizeof(Item) + 2 * Process.str().size() + Item.At.Ip.size() +
             Item.Shards.size() * sizeof(uint32_t) + 64;
  for (const protocol::Address &Item : OwnAddresses)
    Bytes += sizeof(Item) + Item.Ip.size();
  for (const auto &[Id, Known] : Contacts)
    Bytes += 64 + Id.str().size() + Known.size() * (sizeof(KnownContact) + 16);
  for (const auto &[Id, Row] : Rows)
    Bytes += sizeof(Row) + 3 * Id.str().size() + Row.At.Ip.size() + 128;
  return Bytes + ReplacedIds.size() * 96;
}

} // namespace teaselwalk::cluster
