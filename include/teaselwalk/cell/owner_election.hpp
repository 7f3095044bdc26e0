#pragma once

#include "teaselwalk/cell/fenced_writer.hpp"
#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/owner_failure_detector.hpp"
#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/cell/process_registration.hpp"
#include "teaselwalk/cell/store_mirror.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselwalk::cell {

/// The value of `OwnerKey`: which process is the owner.
struct OwnerRecord {
  std::string ProcessId;
  ProcessRecord Process;
  int64_t Epoch = 0;

  std::string encode() const;
  static OwnerRecord decode(const std::string &Text);
};

/// This process as a candidate in the election.
struct Candidate {
  std::string ProcessId; ///< Process id, unique for every start of the process.
  ProcessRecord Process;
  /// Wait before a claim. Differs between processes, so that they do not all
  /// claim at once.
  Duration ClaimDelay{0};
};

/// True if \p Other has so many more CPU cores than \p Self that it should be
/// the owner instead.
bool hasMuchMoreCores(const ProcessRecord &Other, const ProcessRecord &Self);

/// Elects the owner, the one process that schedules the jobs. `OwnerKey` names
/// it and is bound to a lease that the owner renews. When the key is gone, the
/// other processes claim it by a conditional write that also raises the epoch
/// in `EpochRecord`. A process delays its claim if one with many more CPU cores
/// is present. An owner that does not answer is replaced before its lease
/// expires if other processes confirm that it does not, or if another process
/// answers at its address: writes that it still sends then fail, as they are
/// conditional on the revision of `EpochRecord`.
class OwnerElection {
public:
  struct Hooks {
    /// This process has become the owner. \p Revision is that of the stored
    /// `EpochRecord`.
    std::function<void(EpochRecord, int64_t Revision)> Elected;
    std::function<void(const char *Reason)> Lost;
    /// False: this process makes no claim for now.
    std::function<bool()> MayClaim;
  };

  OwnerElection(Executor &Clock, Store &Storage, Recorder &Log,
                OwnerCalls &Peers, Candidate Self, Hooks Callbacks);

  void start();

  bool isOwner() const { return LeaseId != 0 && IsElected; }

  /// The owner according to the store, or none.
  const std::optional<OwnerRecord> &owner() const { return KnownOwner; }

  /// The health of the owner \p ProcessId as observed by this process.
  OwnerHealth healthOf(const std::string &ProcessId) const {
    return Detector.health(ProcessId);
  }

  /// When the store last confirmed that this process is the owner. A renewal
  /// counts from the time at which it was sent.
  TimePoint confirmedAt() const { return ConfirmedAt; }

  /// Gives up the ownership; this process may claim it again later.
  void stepDown(const char *Reason);

  /// Gives up the ownership for good, so that another process takes over.
  void resign();

private:
  void onItem(const StoreItem &Item);
  /// The record of the owner cannot be read.
  void onOwnerUnknown();
  void scheduleClaim(Duration Delay);
  /// True if there is no owner, or one that is suspected or dead.
  bool isVacant() const;
  bool mayClaim() const;
  void considerClaim();
  void onProcesses(const StoreItems &Processes);
  void confirmSuspicion(const std::vector<protocol::Address> &Others);
  void claimAfter(Duration Delay);
  void claim();
  void claimWithLease(int64_t NewLease);
  void commitClaim(int64_t NewLease, const StoreItems &StoredEpoch);
  /// The epoch in the record \p Stored, or none if it cannot be read.
  std::optional<int64_t> epochIn(const StoreItem &Stored) const;
  void onClaimed(int64_t NewLease, const EpochRecord &Record,
                 const CommitResult &Result);
  void resolveClaim(int64_t NewLease, const EpochRecord &Record, int Attempt);
  void becomeOwner(int64_t NewLease, const EpochRecord &Record,
                   int64_t Revision);
  void abandonClaim(int64_t NewLease);
  void renew();
  /// True if \p Text, the value of `OwnerKey`, names this process.
  bool isOwnRecord(const std::string &Text) const;
  void verifyOwnerKey(TimePoint Sent);
  void renewLater();
  /// Notes that the store names a new owner.
  void noteChange(int64_t Epoch);
  /// Rises with the number of recent changes of the owner.
  int patience() const;

  template <typename Call> auto guarded(Call Body) const {
    return Alive.guard(std::move(Body));
  }

  Executor &Clock;
  Store &Storage;
  Recorder &Log;
  const Candidate Self;
  Hooks Callbacks;
  StoreMirror OwnerKeyMirror;
  OwnerCalls &Peers;
  OwnerFailureDetector Detector;
  std::optional<OwnerRecord> KnownOwner;
  int64_t KnownRevision = 0; ///< Revision of `OwnerKey`; 0: it does not exist.
  /// Revision of `OwnerKey` that the claim replaces.
  int64_t ReplacedRevision = 0;
  bool IsElected = false;
  bool HasResigned = false;
  bool IsClaiming = false;
  bool IsClaimScheduled = false;
  bool IsSynced = false;
  int64_t LeaseId = 0;
  TimePoint ConfirmedAt;
  int64_t LatestEpoch = 0;       ///< Highest epoch seen in an owner record.
  std::deque<TimePoint> Changes; ///< Recent changes of the owner.
  Lifetime Alive;
};

} // namespace teaselwalk::cell
