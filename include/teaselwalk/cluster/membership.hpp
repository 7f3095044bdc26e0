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

/// Settings of membership. All times in milliseconds.
struct MembershipOptions {
  Duration HeartbeatEvery{1000};
  Duration SuspectAfter{3000};
  Duration DeadAfter{5000};
  Duration ForgetAfter{60000}; ///< A dead process leaves the table.
  Duration DigestEvery{2000};
  Duration ContactForget{60000}; ///< An unlisted, silent contact is dropped.
  size_t DigestFanOut = 3;
  size_t ContactsPerDataCentre = 4;
  size_t MaxMembers = 64; ///< Of the own data centre.
};

/// A process of the own data centre.
struct Member {
  ProcessId Process;
  protocol::Address At;
  bool Leaving = false;
  std::vector<uint32_t> Shards; ///< Held with authority.
  Resources Free;
  TimePoint LastHeard;
};

/// Where to send a heartbeat or a digest.
struct Contact {
  DataCentreId DataCentre;
  protocol::Address At;

  friend bool operator==(const Contact &A, const Contact &B) {
    return A.DataCentre == B.DataCentre && A.At == B.At;
  }
};

/// The processes of the own data centre, and a few contacts and one digest row
/// for each other data centre. The state does not grow with the number of
/// processes elsewhere.
class Membership {
public:
  Membership(ProcessId Self, DataCentreId DataCentre, protocol::Address At,
             uint64_t Seed, TimePoint Started, MembershipOptions Options = {});

  /// Addresses from settings, the VM list (role entry) and `members/`. They
  /// only say where to send; a member exists once it was heard.
  void setAddresses(const std::vector<Contact> &All, TimePoint Now);
  /// A heartbeat of a process of the own data centre. One that comes from an
  /// address of another process id replaces that process: it was restarted.
  void onHeartbeat(const protocol::Heartbeat &Beat, TimePoint Now);
  /// A digest of a process of another data centre.
  void onDigest(const Digest &Value, TimePoint Now);
  /// Drops what is too old. Call at least once a second.
  void tick(TimePoint Now);

  MemberState stateOf(const ProcessId &Process, TimePoint Now) const;
  const Member *find(const ProcessId &Process) const;
  const std::map<ProcessId, Member> &members() const { return Members; }
  /// True once this process has listened for `DeadAfter`. Before that a live
  /// owner may not have been heard, and no shard should be taken.
  bool settled(TimePoint Now) const {
    return Now - Started >= Options.DeadAfter;
  }
  /// Candidates for ownership: this process unless \p SelfLeaving, and all
  /// others of the data centre that are not dead and not leaving. If every
  /// candidate is leaving, nobody.
  std::vector<ProcessId> candidates(bool SelfLeaving, TimePoint Now) const;
  /// Role of this process for a shard of its data centre.
  OwnershipWish wishFor(const protocol::ShardId &Shard, bool SelfLeaving,
                        TimePoint Now) const;
  /// The live process that reports \p Shard as held, if any.
  const Member *holderOf(uint32_t Shard, TimePoint Now) const;

  /// Addresses in the own data centre for this second's heartbeats.
  std::vector<protocol::Address> heartbeatTargets() const;
  /// Up to 3 random contacts in distinct other data centres, as far as there
  /// are that many. Empty until `DigestEvery` has passed since the last call
  /// that was not empty.
  std::vector<Contact> digestTargets(TimePoint Now);
  /// The digest to send, at most 2 KB encoded. \p Own is the row of the own
  /// data centre.
  Digest makeDigest(DigestRow Own,
                    const std::vector<protocol::Attestation> &Attestations,
                    TimePoint Now) const;
  const std::map<DataCentreId, DigestRow> &dataCentres() const { return Rows; }
  /// Bytes of state, for the measurement of control cost.
  size_t stateBytes() const;

private:
  struct KnownContact {
    protocol::Address At;
    TimePoint LastUseful; ///< Heard from or listed.
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
  std::map<DataCentreId, TimePoint> RowsAt; ///< When the row was true.
  std::map<ProcessId, TimePoint> Replaced;  ///< Ids of restarted processes.
};

} // namespace teaselwalk::cluster
