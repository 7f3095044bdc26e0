#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Requests to the store, the platform's key-value service, and its replies.
namespace teaselwalk::protocol {

/// Version of a key's value; 0 means that the key does not exist.
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

/// One request to the store. Write and Remove are compare-and-swap: they take
/// effect only if the key has version `Expected`.
struct StoreRequest {
  StoreOperation Operation = StoreOperation::Read;
  std::string Key;           ///< The key; for List and Watch a prefix of keys.
  std::string Value;         ///< For Write: the new value, at most 1 MB.
  StoreVersion Expected = 0; ///< For Write and Remove.
  /// For Read: answer Unchanged if the key has this version. For Watch: report
  /// the changes after this version.
  StoreVersion Unless = 0;
  std::string Lease; ///< For Write: the lease that the key expires with, or
                     ///< empty. For RenewLease: the lease to renew.
  Duration Ttl{0};   ///< For GrantLease: the lease's duration; for Watch:
                     ///< the longest wait.
};

enum class StoreStatus {
  Ok,
  Unchanged, ///< For Read: the key still has version `Unless`.
  NotFound,
  Conflict, ///< The key's version is not `Expected`; nothing was changed.
  Refused,  ///< The store answered that it rejected the request.
  NotSent,  ///< The request certainly did not reach the store.
  Lost,     ///< No usable answer; the request may have taken effect.
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
  std::string Value; ///< For Read: the value; for GrantLease: the lease's id.
  /// For List: the keys with the prefix. For Watch: the changed keys with their
  /// versions but without values.
  std::vector<StoreEntry> Entries;
};

} // namespace teaselwalk::protocol
