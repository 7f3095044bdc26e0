#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/store.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Stand-ins for the platform and the endpoints. The models are pure: no
/// sockets, threads or clocks; time is a parameter and must not go back.
namespace teaselwalk::fakes {

/// What a store was asked to do since its start.
struct StoreCounts {
  uint64_t Calls = 0;  ///< All calls, refused ones included.
  uint64_t Reads = 0;  ///< Read, List and watches.
  uint64_t Writes = 0; ///< Write, Remove and leases.
  uint64_t BytesIn = 0;
  uint64_t BytesOut = 0;
};

/// A key that changed. Version 0 means that it was removed.
struct StoreChange {
  std::string Key;
  protocol::StoreVersion Version = 0;
};

/// Key-value service in memory: versioned keys, compare-and-swap, leases.
/// Versions come from one counter, so a key that is removed and written again
/// never has an earlier version.
class StoreModel {
public:
  static constexpr size_t MaxValueBytes = 1048576;
  static constexpr Duration MaxTtl{3600000};

  protocol::StoreReply apply(const protocol::StoreRequest &Call, TimePoint Now);

  /// The keys with \p Prefix that changed after store version \p After.
  std::vector<StoreChange> changesAfter(const std::string &Prefix,
                                        protocol::StoreVersion After,
                                        TimePoint Now);

  /// The same without counting a call, for a watch that is waiting already.
  std::vector<StoreChange> peekChanges(const std::string &Prefix,
                                       protocol::StoreVersion After) const;

  /// Version of the latest change; 0 before the first.
  protocol::StoreVersion version() const { return Latest; }

  /// Removes the keys of leases that have expired. `apply` does this itself.
  void expire(TimePoint Now);

  /// When the next lease expires, if there is one.
  std::optional<TimePoint> nextExpiry() const;

  const StoreCounts &counts() const { return Counts; }

private:
  struct Entry {
    std::string Value;
    protocol::StoreVersion Version = 0;
    std::string Lease;
  };
  struct Lease {
    TimePoint Until;
    Duration Ttl{0};
  };

  protocol::StoreReply read(const protocol::StoreRequest &Call) const;
  protocol::StoreReply write(const protocol::StoreRequest &Call);
  protocol::StoreReply remove(const protocol::StoreRequest &Call);
  protocol::StoreReply list(const protocol::StoreRequest &Call) const;
  protocol::StoreReply watch(const protocol::StoreRequest &Call) const;
  protocol::StoreReply grant(const protocol::StoreRequest &Call, TimePoint Now);
  protocol::StoreReply renew(const protocol::StoreRequest &Call, TimePoint Now);
  protocol::StoreVersion versionOf(const std::string &Key) const;
  void erase(const std::string &Key);

  std::map<std::string, Entry> Entries;
  std::map<std::string, protocol::StoreVersion> Removed; ///< When removed.
  std::map<std::string, Lease> Leases;
  protocol::StoreVersion Latest = 0;
  uint64_t LastLease = 0;
  StoreCounts Counts;
};

} // namespace teaselwalk::fakes
