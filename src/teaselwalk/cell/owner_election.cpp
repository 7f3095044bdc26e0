#include "teaselwalk/cell/owner_election.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/record_fields.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace teaselwalk::cell {
namespace {

/// Bounds the time until another process takes over from a crashed owner. The
/// platform grants no lease below 1,000 ms; this one survives a lost renewal.
constexpr Duration OwnerLease{1250};
constexpr Duration RenewInterval{250};
constexpr Duration RenewTimeout{400};
constexpr Duration CallTimeout{700};
constexpr Duration RetryPause{150};
/// A process is preferred as owner from this ratio of CPU cores on; smaller
/// differences do not justify a delayed claim.
constexpr double PreferredCoreRatio = 1.5;
/// Delay of a claim in favour of a process with many more CPU cores, whose own
/// claim takes three calls to the store.
constexpr Duration LargerProcessDelay{300};
/// After several changes of the owner within this time, the owners are probably
/// overloaded by their takeovers rather than dead, so each next one gets more
/// time to answer and a longer lease.
constexpr Duration ChangeWindow{10000};
constexpr size_t UsualChanges = 2; ///< Changes in that time with no effect.
constexpr int MaxPatience = 8;
constexpr Duration LongestOwnerLease{5000};
/// Limit of reads to find out whether an unanswered claim took effect.
constexpr int MaxResolveAttempts = 40;

StoreMirrorOptions ownerKeyOptions() {
  StoreMirrorOptions Options;
  Options.Prefix = OwnerKey;
  Options.WatchWait = Duration(1500);
  return Options;
}

} // namespace

std::string OwnerRecord::encode() const {
  return nlohmann::json{
      {"process", ProcessId}, {"self", Process.encode()}, {"epoch", Epoch}}
      .dump();
}

OwnerRecord OwnerRecord::decode(const std::string &Text) {
  try {
    nlohmann::json Document = nlohmann::json::parse(Text);
    return {Document.at("process"),
            ProcessRecord::decode(Document.at("self").get<std::string>()),
            integerField(Document, "epoch", 1, MaxEpoch)};
  } catch (const nlohmann::json::exception &Failure) {
    throw Error(std::string("cannot read owner record: ") + Failure.what());
  }
}

bool hasMuchMoreCores(const ProcessRecord &Other, const ProcessRecord &Self) {
  return Other.Cores > Self.Cores * PreferredCoreRatio;
}

OwnerElection::OwnerElection(Executor &Clock, Store &Storage, Recorder &Log,
                             OwnerCalls &Peers, Candidate Given,
                             Hooks Callbacks)
    : Clock(Clock), Storage(Storage), Log(Log), Self(std::move(Given)),
      Callbacks(std::move(Callbacks)),
      OwnerKeyMirror(Clock, Storage, Log, ownerKeyOptions(),
                     [this](const StoreItem &Item) { onItem(Item); }),
      Peers(Peers),
      Detector(Clock, Peers, Log, [this] { scheduleClaim(Self.ClaimDelay); }) {}

void OwnerElection::start() {
  OwnerKeyMirror.start([this] {
    IsSynced = true;
    if (!KnownOwner)
      scheduleClaim(Self.ClaimDelay);
  });
}

void OwnerElection::onItem(const StoreItem &Item) {
  if (Item.Key != OwnerKey)
    return;
  if (Item.Deleted) {
    KnownOwner.reset();
    KnownRevision = 0;
    Detector.stop();
    if (IsSynced)
      scheduleClaim(Self.ClaimDelay);
    return;
  }
  KnownRevision = Item.Revision;
  try {
    KnownOwner = OwnerRecord::decode(Item.Value);
  } catch (const Error &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"key", Item.Key}, {"reason", Failure.what()}});
    return onOwnerUnknown();
  }
  noteChange(KnownOwner->Epoch);
  bool IsOwn = KnownOwner->ProcessId == Self.ProcessId;
  // A process with far fewer CPU cores than the owner does not watch it, as it
  // would leave the claim to others.
  if (!IsOwn && !hasMuchMoreCores(KnownOwner->Process, Self.Process))
    Detector.watch(KnownOwner->ProcessId, KnownOwner->Process.Address);
  else
    Detector.stop();
  if (isOwner() && !IsOwn)
    stepDown("the store names another process as the owner");
}

/// The record may have no lease that ends, so it is replaced like that of an
/// owner that does not answer.
void OwnerElection::onOwnerUnknown() {
  KnownOwner.reset();
  Detector.stop();
  if (isOwner())
    return stepDown("the owner record cannot be read");
  if (IsSynced)
    scheduleClaim(Self.ClaimDelay);
}

void OwnerElection::scheduleClaim(Duration Delay) {
  if (HasResigned || IsClaimScheduled)
    return;
  IsClaimScheduled = true;
  Clock.after(Delay, guarded([this] {
                IsClaimScheduled = false;
                considerClaim();
              }));
}

bool OwnerElection::isVacant() const {
  if (!KnownOwner)
    return true;
  OwnerHealth Health = Detector.health(KnownOwner->ProcessId);
  return Health == OwnerHealth::Suspected || Health == OwnerHealth::Dead;
}

bool OwnerElection::mayClaim() const {
  return !HasResigned && !IsClaiming && !isOwner() && isVacant();
}

void OwnerElection::considerClaim() {
  if (!mayClaim())
    return;
  if (!Callbacks.MayClaim())
    return scheduleClaim(RetryPause);
  IsClaiming = true;
  Storage.list(ProcessPrefix, CallTimeout,
               guarded([this](const StoreItems &Processes) {
                 IsClaiming = false;
                 onProcesses(Processes);
               }));
}

void OwnerElection::onProcesses(const StoreItems &Processes) {
  if (!mayClaim())
    return;
  bool LargerIsPresent = false;
  std::vector<protocol::Address> Others;
  for (const StoreItem &Item : Processes.Items) {
    std::optional<ProcessRecord> Other = readProcessRecord(Item, Log);
    bool IsOwner =
        Other && KnownOwner && Other->Address == KnownOwner->Process.Address;
    if (!Other || IsOwner)
      continue;
    LargerIsPresent |= hasMuchMoreCores(*Other, Self.Process);
    bool Watches =
        !KnownOwner || !hasMuchMoreCores(KnownOwner->Process, *Other);
    if (Watches && Other->Address != Self.Process.Address)
      Others.push_back(Other->Address);
  }
  if (KnownOwner &&
      Detector.health(KnownOwner->ProcessId) == OwnerHealth::Suspected)
    return confirmSuspicion(Others);
  claimAfter(LargerIsPresent ? LargerProcessDelay : Duration(0));
}

/// Claims only if another process suspects the owner too and none finds it
/// alive: otherwise this process may be the one that is partitioned.
void OwnerElection::confirmSuspicion(
    const std::vector<protocol::Address> &Others) {
  struct Poll {
    size_t Unanswered = 0;
    size_t Confirming = 0;
    size_t Denying = 0;
  };
  auto Asked = std::make_shared<Poll>();
  Asked->Unanswered = Others.size();
  for (const protocol::Address &Other : Others)
    Peers.health(Other, KnownOwner->ProcessId,
                 guarded([this, Asked](OwnerHealth Health) {
                   bool Confirms = Health == OwnerHealth::Suspected ||
                                   Health == OwnerHealth::Dead;
                   --Asked->Unanswered;
                   Asked->Confirming += Confirms ? 1 : 0;
                   Asked->Denying += Health == OwnerHealth::Alive ? 1 : 0;
                   if (Asked->Unanswered > 0)
                     return;
                   if (Asked->Confirming > 0 && Asked->Denying == 0)
                     return claim();
                   scheduleClaim(RetryPause);
                 }));
}

void OwnerElection::claimAfter(Duration Delay) {
  IsClaimScheduled = true;
  Clock.after(Delay, guarded([this] {
                IsClaimScheduled = false;
                claim();
              }));
}

void OwnerElection::claim() {
  if (!mayClaim())
    return;
  IsClaiming = true;
  ReplacedRevision = KnownRevision;
  Storage.grantLease(std::min(OwnerLease * patience(), LongestOwnerLease),
                     CallTimeout, guarded([this](const LeaseResult &Result) {
                       if (Result.Outcome == StoreOutcome::Done)
                         return claimWithLease(Result.LeaseId);
                       IsClaiming = false;
                       scheduleClaim(RetryPause);
                     }));
}

void OwnerElection::claimWithLease(int64_t NewLease) {
  Storage.read(EpochKey, CallTimeout,
               guarded([this, NewLease](const StoreItems &StoredEpoch) {
                 bool IsKnown = StoredEpoch.Outcome == StoreOutcome::Done ||
                                StoredEpoch.Outcome == StoreOutcome::NotFound;
                 if (!IsKnown)
                   return abandonClaim(NewLease);
                 commitClaim(NewLease, StoredEpoch);
               }));
}

void OwnerElection::commitClaim(int64_t NewLease,
                                const StoreItems &StoredEpoch) {
  EpochRecord Record{Self.ProcessId, 1, 0};
  int64_t Revision = 0;
  if (!StoredEpoch.Items.empty()) {
    Revision = StoredEpoch.Items.front().Revision;
    Record.Epoch = epochIn(StoredEpoch.Items.front()).value_or(LatestEpoch) + 1;
  }
  StoreTransaction Change;
  Change.Conditions = {{OwnerKey, ReplacedRevision}, {EpochKey, Revision}};
  Change.Puts = {
      {OwnerKey,
       OwnerRecord{Self.ProcessId, Self.Process, Record.Epoch}.encode(),
       NewLease},
      {EpochKey, Record.encode(), 0}};
  Storage.commit(Change, CallTimeout,
                 guarded([this, NewLease, Record](const CommitResult &Result) {
                   onClaimed(NewLease, Record, Result);
                 }));
}

std::optional<int64_t> OwnerElection::epochIn(const StoreItem &Stored) const {
  try {
    return EpochRecord::decode(Stored.Value).Epoch;
  } catch (const Error &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"key", Stored.Key}, {"reason", Failure.what()}});
    return std::nullopt;
  }
}

void OwnerElection::onClaimed(int64_t NewLease, const EpochRecord &Record,
                              const CommitResult &Result) {
  if (Result.Outcome == StoreOutcome::Done)
    return becomeOwner(NewLease, Record, Result.Revision);
  if (Result.Outcome == StoreOutcome::Unknown)
    return resolveClaim(NewLease, Record, 0);
  abandonClaim(NewLease);
}

void OwnerElection::resolveClaim(int64_t NewLease, const EpochRecord &Record,
                                 int Attempt) {
  Storage.read(
      EpochKey, CallTimeout,
      guarded([this, NewLease, Record, Attempt](const StoreItems &StoredEpoch) {
        if (StoredEpoch.Outcome == StoreOutcome::Done) {
          const StoreItem &Item = StoredEpoch.Items.front();
          if (Item.Value == Record.encode())
            return becomeOwner(NewLease, Record, Item.Revision);
          return abandonClaim(NewLease);
        }
        // If the lease expires in the meantime, `OwnerKey` is gone although the
        // claim succeeded; the next renewal detects that.
        if (Attempt >= MaxResolveAttempts ||
            StoredEpoch.Outcome == StoreOutcome::NotFound)
          return abandonClaim(NewLease);
        Clock.after(RetryPause, guarded([this, NewLease, Record, Attempt] {
                      resolveClaim(NewLease, Record, Attempt + 1);
                    }));
      }));
}

void OwnerElection::becomeOwner(int64_t NewLease, const EpochRecord &Record,
                                int64_t Revision) {
  IsClaiming = false;
  LeaseId = NewLease;
  IsElected = true;
  ConfirmedAt = Clock.now();
  Detector.stop();
  KnownOwner = OwnerRecord{Self.ProcessId, Self.Process, Record.Epoch};
  Log.event(EventName::OwnerClaimed, {{"epoch", std::to_string(Record.Epoch)},
                                      {"revision", std::to_string(Revision)}});
  renewLater();
  Callbacks.Elected(Record, Revision);
}

void OwnerElection::abandonClaim(int64_t NewLease) {
  IsClaiming = false;
  Storage.endLease(NewLease, CallTimeout, [](const LeaseResult &) {});
  scheduleClaim(RetryPause);
}

void OwnerElection::renew() {
  if (!isOwner())
    return;
  TimePoint Sent = Clock.now();
  int64_t Renewed = LeaseId;
  Storage.renewLease(LeaseId, RenewTimeout,
                     guarded([this, Sent, Renewed](const LeaseResult &Result) {
                       if (!isOwner() || LeaseId != Renewed)
                         return;
                       if (Result.Outcome == StoreOutcome::NotFound)
                         return stepDown("the owner lease has expired");
                       if (Result.Outcome == StoreOutcome::Done)
                         return verifyOwnerKey(Sent);
                       renewLater();
                     }));
}

bool OwnerElection::isOwnRecord(const std::string &Text) const {
  try {
    return OwnerRecord::decode(Text).ProcessId == Self.ProcessId;
  } catch (const Error &) {
    return false;
  }
}

/// Checks that `OwnerKey` still names this process. A renewal does not show
/// that: the lease stays valid when another process has overwritten the key.
void OwnerElection::verifyOwnerKey(TimePoint Sent) {
  Storage.read(
      OwnerKey, RenewTimeout,
      guarded([this, Sent, Checked = LeaseId](const StoreItems &Found) {
        if (!isOwner() || LeaseId != Checked)
          return;
        bool IsGone = Found.Outcome == StoreOutcome::NotFound;
        if (Found.Outcome == StoreOutcome::Done)
          IsGone = !isOwnRecord(Found.Items.front().Value);
        if (IsGone)
          return stepDown("the owner record was replaced or removed");
        if (Found.Outcome == StoreOutcome::Done)
          ConfirmedAt = Sent;
        renewLater();
      }));
}

void OwnerElection::renewLater() {
  Clock.after(RenewInterval, guarded([this, Renewed = LeaseId] {
                if (LeaseId == Renewed)
                  renew();
              }));
}

void OwnerElection::stepDown(const char *Reason) {
  if (!isOwner())
    return;
  IsElected = false;
  int64_t Ended = std::exchange(LeaseId, 0);
  Storage.endLease(Ended, CallTimeout, [](const LeaseResult &) {});
  Log.event(EventName::OwnerLost, {{"reason", Reason}});
  if (KnownOwner && KnownOwner->ProcessId == Self.ProcessId) {
    KnownOwner.reset();
    KnownRevision = 0;
  }
  Callbacks.Lost(Reason);
  if (!KnownOwner)
    scheduleClaim(RetryPause);
}

void OwnerElection::noteChange(int64_t Epoch) {
  if (Epoch <= LatestEpoch)
    return;
  LatestEpoch = Epoch;
  Changes.push_back(Clock.now());
  while (Clock.now() - Changes.front() > ChangeWindow)
    Changes.pop_front();
  Detector.setPatience(patience());
}

int OwnerElection::patience() const {
  TimePoint Oldest = Clock.now() - ChangeWindow;
  auto Recent = static_cast<size_t>(
      std::count_if(Changes.begin(), Changes.end(),
                    [Oldest](TimePoint At) { return At > Oldest; }));
  int Factor = 1;
  for (size_t I = UsualChanges; I < Recent && Factor < MaxPatience; ++I)
    Factor *= 2;
  return Factor;
}

void OwnerElection::resign() {
  HasResigned = true;
  stepDown("this process is stopping");
}

} // namespace teaselwalk::cell
