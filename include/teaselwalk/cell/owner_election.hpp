#pragma once

#include "teaselwalk/cell/fenced_writer.hpp"
#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/owner_failure_detector.hpp"
#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/cell/process_registration.hpp"
#include "teaselwalk/cell/store_mirror.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselwalk::cell {

/// The value of `OwnerKey`: which process is the owner.
struct OwnerRecord {
  std::string Process;
  ProcessRecord Self;
  int64_t Epoch = 0;

  std::string encode() const;
  static OwnerRecord decode(const std::string &Text);
};

/// This process as a candidate in the election.
struct Candidacy {
  std::string Process; ///< Process id, unique for every start of the process.
  ProcessRecord Self;
  /// Wait before a claim. Differs between processes, so that they do not all
  /// claim at once.
  Duration ClaimDelay{0};
};

/// True if \p Other has so many more CPU cores than \p Self that it should be
/// the owner instead.
bool isMuchStronger(const ProcessRecord &Other, const ProcessRecord &Self);

/// Elects the owner, the one process that schedules the jobs. `OwnerKey` names
/// it and is bound to a lease that the owner renews. When the key is gone, the
/// other processes claim it by a conditional write that also raises the epoch
/// in `EpochRecord`. A process delays its claim if one with many more CPU cores
/// is present. An owner that does not answer is replaced before its lease
/// expires if other processes confirm that it does not: writes that it still
/// sends then fail, as they are conditional on the revision of `EpochRecord`.
class OwnerElection {
public:
  struct Hooks {
    /// This process has become the owner. \p Revision is that of the stored
    /// `EpochRecord`.
    std::function<void(EpochRecord, int64_t Revision)> Gained;
    std::function<void(const char *Reason)> Lost;
    /// False: this process makes no claim for now.
    std::function<bool()> MayOwn;
  };

  OwnerElection(Executor &Clock, Store &Source, Recorder &Log,
                OwnerCalls &Peers, Candidacy Running, Hooks Calls);

  void start();

  bool isOwner() const { return Lease != 0 && Owns; }

  /// The owner according to the store, or none.
  const std::optional<OwnerRecord> &owner() const { return Seen; }

  /// The health of the owner \p Process as observed by this process.
  OwnerHealth healthOf(const std::string &Process) const {
    return Detector.health(Process);
  }

  /// When the store last confirmed that this process is the owner. A renewal
  /// counts from the time at which it was sent.
  TimePoint confirmedAt() const { return ConfirmedAt; }

  /// Gives up the ownership; this process may claim it again later.
  void depose(const char *Reason);

  /// Gives up the ownership for good, so that another process takes over.
  void release();

private:
  void onItem(const StoreItem &Item);
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
  void commitClaim(int64_t NewLease, const StoreItems &Guard);
  void onClaimed(int64_t NewLease, const EpochRecord &Record,
                 const CommitResult &Result);
  void resolveClaim(int64_t NewLease, const EpochRecord &Record, int Attempt);
  void gain(int64_t NewLease, const EpochRecord &Record, int64_t Revision);
  void giveUpClaim(int64_t NewLease);
  void renew();
  void checkRecord(TimePoint Sent);
  void renewLater();

  template <typename Call> auto guarded(Call Body) const {
    return Alive.guard(std::move(Body));
  }

  Executor &Clock;
  Store &Source;
  Recorder &Log;
  const Candidacy Running;
  Hooks Calls;
  StoreMirror Presence;
  OwnerCalls &Peers;
  OwnerFailureDetector Detector;
  std::optional<OwnerRecord> Seen;
  int64_t SeenRevision = 0; ///< Revision of `OwnerKey`; 0: it does not exist.
  int64_t Replaced = 0;     ///< Revision of `OwnerKey` that the claim replaces.
  bool Owns = false;
  bool Released = false;
  bool Claiming = false;
  bool ClaimScheduled = false;
  bool IsSynced = false;
  int64_t Lease = 0;
  TimePoint ConfirmedAt;
  Lifetime Alive;
};

} // namespace teaselwalk::cell
