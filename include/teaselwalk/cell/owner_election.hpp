#pragma once

#include "teaselwalk/cell/fenced_writer.hpp"
#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/owner_watch.hpp"
#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/cell/presence.hpp"
#include "teaselwalk/cell/store_mirror.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselwalk::cell {

/// The owner as every process sees it.
struct OwnerRecord {
  std::string Process;
  PresenceRecord Self;
  int64_t Epoch = 0;

  std::string encode() const;
  static OwnerRecord decode(const std::string &Text);
};

/// The process that competes for the ownership.
struct Candidacy {
  std::string Process; ///< New for every start of the process.
  PresenceRecord Self;
  Duration ClaimDelay{0}; ///< Spreads the competition.
};

/// True if \p Other is so much stronger than \p Self that it should own the
/// jobs instead.
bool isMuchStronger(const PresenceRecord &Other, const PresenceRecord &Self);

/// Chooses the one process that owns the jobs and endpoints. The owner's
/// presence key has a lease; when it is gone, the processes compete for it
/// with a conditional write that also raises the epoch in the guard. A process
/// waits a little if a much stronger one is present. An owner that does not
/// answer, as other processes confirm, is replaced before its lease ends: the
/// guard makes its late writes fail.
class OwnerElection {
public:
  struct Hooks {
    /// This process owns the jobs from now on.
    std::function<void(EpochRecord, int64_t Revision)> Gained;
    std::function<void(const char *Reason)> Lost;
    /// False: this process leaves the ownership to others.
    std::function<bool()> MayOwn;
  };

  OwnerElection(Executor &Clock, Store &Source, Recorder &Log,
                OwnerCalls &Peers, Candidacy Running, Hooks Calls);

  void start();

  bool isOwner() const { return Lease != 0 && Owns; }

  /// The owner that the store shows; nothing if there is none.
  const std::optional<OwnerRecord> &owner() const { return Seen; }

  /// What this process thinks of the owner \p Process.
  OwnerHealth healthOf(const std::string &Process) const {
    return Watch.health(Process);
  }

  /// When the store last confirmed that this process is the owner.
  TimePoint confirmedAt() const { return ConfirmedAt; }

  /// Gives the ownership up and competes for it again.
  void depose(const char *Reason);

  /// Ends the ownership at once, so that another process takes over.
  void release();

private:
  void onItem(const StoreItem &Item);
  void scheduleClaim(Duration Delay);
  /// True if there is no owner, or one that seems to be gone.
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
  OwnerWatch Watch;
  std::optional<OwnerRecord> Seen;
  int64_t SeenRevision = 0; ///< Of the owner's record; 0: there is none.
  int64_t Replaced = 0;     ///< The revision that the claim under way ends.
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
