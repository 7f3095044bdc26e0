#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Messages to the platform's key-value service.
namespace teaselwalk::protocol {

/// Version of a key; 0 stands for "the key does not exist".
using StoreVersion = uint64_t;

enum class StoreOperation {
  Read,
  Write,
  Remove,
  List,
  Watch, ///< Answers when a key with the prefix changes, or after `Ttl`.
  GrantLease,
  RenewLease,
};

constexpr std::array<EnumName<StoreOperation>, 7> StoreOperationNames = {{
    {StoreOperation::Read, "read"},
    {StoreOperation::Write, "write"},
    {StoreOperation::Remove, "remove"},
    {StoreOperation::List, "list"},
    {StoreOperation::Watch, "watch"},
    {StoreOperation::GrantLease, "grant_lease"},
    {StoreOperation::RenewLease, "renew_lease"},
}};

/// One call to the store. Write and Remove are compare-and-swap: they take
/// effect only if the key has version `Expected`.
struct StoreRequest {
  StoreOperation Operation = StoreOperation::Read;
  std::string Key;           ///< Key, or prefix for List and Watch.
  std::string Value;         ///< For Write, at most 1 MB.
  StoreVersion Expected = 0; ///< For Write and Remove.
  /// For Read: answer Unchanged at this version. For Watch: changes after it.
  StoreVersion Unless = 0;
  std::string Lease; ///< Binds a write to a lease, or names the lease.
  Duration Ttl{0};   ///< For GrantLease; for Watch the longest wait.
};

enum class StoreStatus {
  Ok,
  Unchanged, ///< Read: the key still has version `Unless`.
  NotFound,
  Conflict, ///< The key has another version than expected; nothing changed.
  Refused,  ///< The store answered that it did not take the call.
  NotSent,  ///< The call surely did not reach the store.
  Lost,     ///< The call may have taken effect.
};

constexpr std::array<EnumName<StoreStatus>, 7> StoreStatusNames = {{
    {StoreStatus::Ok, "ok"},
    {StoreStatus::Unchanged, "unchanged"},
    {StoreStatus::NotFound, "not_found"},
    {StoreStatus::Conflict, "conflict"},
    {StoreStatus::Refused, "refused"},
    {StoreStatus::NotSent, "not_sent"},
    {StoreStatus::Lost, "lost"},
}};

struct StoreEntry {
  std::string Key;
  std::string Value;
  StoreVersion Version = 0;
};

struct StoreReply {
  StoreStatus Status = StoreStatus::Lost;
  StoreVersion Version = 0;
  std::string Value; ///< Value read, or id of the lease granted.
  /// For List; for Watch the changed keys with their versions, no values.
  std::vector<StoreEntry> Entries;
};

} // namespace teaselwalk::protocol
