#include "teaselwalk/fakes/store_model.hpp"

#include <algorithm>

namespace teaselwalk::fakes {

using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;
using protocol::StoreVersion;

namespace {

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

bool isRead(StoreOperation Operation) {
  return Operation == StoreOperation::Read ||
         Operation == StoreOperation::List ||
         Operation == StoreOperation::Watch;
}

StoreReply withStatus(StoreStatus Status, StoreVersion Version = 0) {
  StoreReply Reply;
  Reply.Status = Status;
  Reply.Version = Version;
  return Reply;
}

size_t bytesOf(const StoreReply &Reply) {
  size_t Bytes = Reply.Value.size();
  for (const protocol::StoreEntry &Row : Reply.Entries)
    Bytes += Row.Key.size() + Row.Value.size();
  return Bytes;
}

} // namespace

StoreReply StoreModel::apply(const StoreRequest &Call, TimePoint Now) {
  expire(Now);
  ++Counts.Calls;
  ++(isRead(Call.Operation) ? Counts.Reads : Counts.Writes);
  Counts.BytesIn += Call.Key.size() + Call.Value.size();
  StoreReply Reply = withStatus(StoreStatus::Refused);
  switch (Call.Operation) {
  case StoreOperation::Read:
    Reply = read(Call);
    break;
  case StoreOperation::Write:
    Reply = write(Call);
    break;
  case StoreOperation::Remove:
    Reply = remove(Call);
    break;
  case StoreOperation::List:
    Reply = list(Call);
    break;
  case StoreOperation::Watch:
    Reply = watch(Call);
    break;
  case StoreOperation::GrantLease:
    Reply = grant(Call, Now);
    break;
  case StoreOperation::RenewLease:
    Reply = renew(Call, Now);
    break;
  }
  Counts.BytesOut += bytesOf(Reply);
  return Reply;
}

/// The changes up to now; a stand-in in virtual time does not wait.
StoreReply StoreModel::watch(const StoreRequest &Call) const {
  StoreReply Reply = withStatus(StoreStatus::Ok, Latest);
  for (const StoreChange &Change : peekChanges(Call.Key, Call.Unless))
    Reply.Entries.push_back({Change.Key, {}, Change.Version});
  return Reply;
}

std::vector<StoreChange> StoreModel::changesAfter(const std::string &Prefix,
                                                  StoreVersion After,
                                                  TimePoint Now) {
  expire(Now);
  ++Counts.Calls;
  ++Counts.Reads;
  return peekChanges(Prefix, After);
}

std::vector<StoreChange> StoreModel::peekChanges(const std::string &Prefix,
                                                 StoreVersion After) const {
  std::vector<StoreChange> Changes;
  for (const auto &[Key, Value] : Entries)
    if (startsWith(Key, Prefix) && Value.Version > After)
      Changes.push_back({Key, Value.Version});
  for (const auto &[Key, Version] : Removed)
    if (startsWith(Key, Prefix) && Version > After)
      Changes.push_back({Key, 0});
  return Changes;
}

void StoreModel::expire(TimePoint Now) {
  for (auto It = Leases.begin(); It != Leases.end();) {
    if (It->second.Until > Now) {
      ++It;
      continue;
    }
    std::vector<std::string> Bound;
    for (const auto &[Key, Value] : Entries)
      if (Value.Lease == It->first)
        Bound.push_back(Key);
    for (const std::string &Key : Bound)
      erase(Key);
    It = Leases.erase(It);
  }
}

std::optional<TimePoint> StoreModel::nextExpiry() const {
  std::optional<TimePoint> Next;
  for (const auto &[Name, Value] : Leases)
    Next = Next ? std::min(*Next, Value.Until) : Value.Until;
  return Next;
}

StoreReply StoreModel::read(const StoreRequest &Call) const {
  auto Found = Entries.find(Call.Key);
  if (Found == Entries.end())
    return withStatus(StoreStatus::NotFound);
  StoreVersion Version = Found->second.Version;
  if (Call.Unless == Version)
    return withStatus(StoreStatus::Unchanged, Version);
  StoreReply Reply = withStatus(StoreStatus::Ok, Version);
  Reply.Value = Found->second.Value;
  return Reply;
}

StoreReply StoreModel::write(const StoreRequest &Call) {
  if (Call.Key.empty() || Call.Value.size() > MaxValueBytes)
    return withStatus(StoreStatus::Refused);
  if (!Call.Lease.empty() && Leases.count(Call.Lease) == 0)
    return withStatus(StoreStatus::NotFound);
  StoreVersion Held = versionOf(Call.Key);
  if (Held != Call.Expected)
    return withStatus(StoreStatus::Conflict, Held);
  Entries[Call.Key] = {Call.Value, ++Latest, Call.Lease};
  Removed.erase(Call.Key);
  return withStatus(StoreStatus::Ok, Latest);
}

StoreReply StoreModel::remove(const StoreRequest &Call) {
  StoreVersion Held = versionOf(Call.Key);
  if (Held == 0)
    return withStatus(StoreStatus::NotFound);
  if (Held != Call.Expected)
    return withStatus(StoreStatus::Conflict, Held);
  erase(Call.Key);
  return withStatus(StoreStatus::Ok, Latest);
}

StoreReply StoreModel::list(const StoreRequest &Call) const {
  StoreReply Reply = withStatus(StoreStatus::Ok, Latest);
  for (auto It = Entries.lower_bound(Call.Key);
       It != Entries.end() && startsWith(It->first, Call.Key); ++It)
    Reply.Entries.push_back({It->first, It->second.Value, It->second.Version});
  return Reply;
}

StoreReply StoreModel::grant(const StoreRequest &Call, TimePoint Now) {
  if (Call.Ttl <= Duration(0) || Call.Ttl > MaxTtl)
    return withStatus(StoreStatus::Refused);
  StoreReply Reply = withStatus(StoreStatus::Ok);
  Reply.Value = std::to_string(++LastLease);
  Leases[Reply.Value] = {Now + Call.Ttl, Call.Ttl};
  return Reply;
}

StoreReply StoreModel::renew(const StoreRequest &Call, TimePoint Now) {
  auto Found = Leases.find(Call.Lease);
  if (Found == Leases.end())
    return withStatus(StoreStatus::NotFound);
  Found->second.Until = Now + Found->second.Ttl;
  return withStatus(StoreStatus::Ok);
}

StoreVersion StoreModel::versionOf(const std::string &Key) const {
  auto Found = Entries.find(Key);
  return Found == Entries.end() ? 0 : Found->second.Version;
}

void StoreModel::erase(const std::string &Key) {
  Entries.erase(Key);
  Removed[Key] = ++Latest;
}

} // namespace teaselwalk::fakes
