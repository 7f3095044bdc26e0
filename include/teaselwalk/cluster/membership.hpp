#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cluster/digest.hpp"
#include "teaselwalk/cluster/ownership.hpp"
#include "teaselwalk/protocol/peer.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <map>
#include <random>
#include <vector>

namespace teaselwalk::cluster {

enum class MemberState { Live, Suspect, Dead };

constexpr std::array<EnumName<MemberState>, 3> MemberStateNames = {{
    {MemberState::Live, "live"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Dead, "dead"},
}};

struct MembershipOptions {
  Duration HeartbeatInterval{1000}; ///< Between heartbeats to each process.
  Duration SuspectAfter{3000};      ///< Time without a heartbeat.
  Duration DeadAfter{5000};         ///< Time without a heartbeat.
  /// Members that were silent, and digest rows that are this old, are dropped.
  Duration ForgetAfter{60000};
  Duration DigestInterval{2000}; ///< Between digests to other data centres.
  /// A contact that was neither listed nor heard from for this long is dropped.
  Duration ForgetContactAfter{60000};
  size_t DigestFanOut = 3;          ///< Data centres that get each digest.
  size_t ContactsPerDataCentre = 4; ///< Contacts kept per other data centre.
  size_t MaxMembers = 64; ///< Members, and addresses, of the own data centre.
};

/// Another entry process of the own data centre, from its last heartbeat.
struct Member {
  ProcessId Process;
  protocol::Address At;
  bool Leaving = false;
  std::vector<uint32_t> Shards; ///< Shards that it owns with authority.
  Resources Free;               ///< Free room on the endpoints of `Shards`.
  TimePoint LastHeard;
};

/// Address of an entry process, to send a heartbeat or a digest to.
struct Contact {
  DataCentreId DataCentre;
  protocol::Address At;

  friend bool operator==(const Contact &A, const Contact &B) {
    return A.DataCentre == B.DataCentre && A.At == B.At;
  }
};

/// What this process knows about the other entry processes: all members of the
/// own data centre, with failure detection by heartbeats, and a few contacts
/// and one digest row for each other data centre. The state does not grow with
/// the number of processes in other data centres.
class Membership {
public:
  Membership(ProcessId Self, DataCentreId DataCentre, protocol::Address At,
             uint64_t Seed, TimePoint Started, MembershipOptions Options = {});

  /// Sets the known addresses of entry processes: from the settings, the VM
  /// list (role entry) and the store keys under `members/`. They are only used
  /// to send to; a process becomes a member by its first heartbeat.
  void setAddresses(const std::vector<Contact> &All, TimePoint Now);
  /// A heartbeat arrived. Ignored unless it is from another process of the own
  /// data centre. If another process id has the same address, then that process
  /// was restarted: the sender replaces it as a member.
  void onHeartbeat(const protocol::Heartbeat &Beat, TimePoint Now);
  /// A digest from a process of another data centre arrived.
  void onDigest(const Digest &Value, TimePoint Now);
  /// Drops expired members, contacts and digest rows. Call at least once a
  /// second.
  void tick(TimePoint Now);

  MemberState stateOf(const ProcessId &Process, TimePoint Now) const;
  const Member *find(const ProcessId &Process) const;
  const std::map<ProcessId, Member> &members() const { return Members; }
  /// True once this process has run for `DeadAfter`. Before that it may not yet
  /// have a heartbeat of a live owner, so it must not take over any shard.
  bool isSettled(TimePoint Now) const {
    return Now - Started >= Options.DeadAfter;
  }
  /// Processes of the data centre that may become owner of a shard: this one
  /// unless \p SelfLeaving, and all others that are neither dead nor leaving.
  /// Empty if all of them are leaving.
  std::vector<ProcessId> candidates(bool SelfLeaving, TimePoint Now) const;
  /// What membership says about the ownership of \p Shard of this data centre.
  OwnershipHint ownershipHint(const protocol::ShardId &Shard, bool SelfLeaving,
                              TimePoint Now) const;
  /// The member that reports ownership of \p Shard and is not dead, or null.
  const Member *reportedOwner(uint32_t Shard, TimePoint Now) const;

  /// Addresses in the own data centre that the next heartbeat goes to.
  std::vector<protocol::Address> heartbeatTargets() const;
  /// Contacts in up to `DigestFanOut` distinct other data centres, chosen at
  /// random, that the next digest goes to. Empty until `DigestInterval` has
  /// passed since the last result that was not empty.
  std::vector<Contact> digestTargets(TimePoint Now);
  /// The digest to send: \p Own as the row of the own data centre, and the
  /// newest known row of each other one. `encodeDigest` limits its size.
  Digest makeDigest(DigestRow Own,
                    const std::vector<protocol::Attestation> &Attestations,
                    TimePoint Now) const;
  const std::map<DataCentreId, DigestRow> &dataCentres() const { return Rows; }
  /// Approximate memory use in bytes, for measurements.
  size_t stateBytes() const;

private:
  struct KnownContact {
    protocol::Address At;
    TimePoint LastSeen; ///< Last time it was listed or heard from.
  };

  void addContact(const Contact &Item, TimePoint Now);

  ProcessId Self;
  DataCentreId DataCentre;
  protocol::Address At;
  std::mt19937_64 Random;
  TimePoint Started;
  TimePoint NextDigest;
  MembershipOptions Options;
  std::map<ProcessId, Member> Members;
  std::vector<protocol::Address> OwnAddresses;
  std::map<DataCentreId, std::vector<KnownContact>> Contacts;
  std::map<DataCentreId, DigestRow> Rows;
  /// When each row of `Rows` was reported by its data centre.
  std::map<DataCentreId, TimePoint> RowReportedAt;
  /// Former ids of restarted processes and when they were replaced. Late
  /// heartbeats under these ids are ignored.
  std::map<ProcessId, TimePoint> ReplacedIds;
};

} // namespace teaselwalk::cluster
