#include "teaselwalk/cell/owner_election.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/keys.hpp"

#include <nlohmann/json.hpp>

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
constexpr double MuchStronger = 1.5;
/// Delay of a claim in favour of a process with many more CPU cores, whose own
/// claim takes three calls to the store.
constexpr Duration StrongerFirst{300};
/// Limit of reads to find out whether an unanswered claim took effect.
constexpr int MaxResolveAttempts = 40;

StoreMirrorOptions presenceOptions() {
  StoreMirrorOptions Options;
  Options.Prefix = OwnerKey;
  Options.Wait = Duration(1500);
  return Options;
}

} // namespace

std::string OwnerRecord::encode() const {
  return nlohmann::json{
      {"process", Process}, {"self", Self.encode()}, {"epoch", Epoch}}
      .dump();
}

OwnerRecord OwnerRecord::decode(const std::string &Text) {
  try {
    nlohmann::json Document = nlohmann::json::parse(Text);
    return {Document.at("process"),
            ProcessRecord::decode(Document.at("self").get<std::string>()),
            Document.at("epoch")};
  } catch (const nlohmann::json::exception &Failure) {
    throw Error(std::string("owner record: ") + Failure.what());
  }
}

bool isMuchStronger(const ProcessRecord &Other, const ProcessRecord &Self) {
  return Other.Cores > Self.Cores * MuchStronger;
}

OwnerElection::OwnerElection(Executor &Clock, Store &Source, Recorder &Log,
                             OwnerCalls &Peers, Candidacy Given, Hooks Calls)
    : Clock(Clock), Source(Source), Log(Log), Running(std::move(Given)),
      Calls(std::move(Calls)),
      Presence(Clock, Source, Log, presenceOptions(),
               [this](const StoreItem &Item) { onItem(Item); }),
      Peers(Peers), Detector(Clock, Peers, Log,
                             [this] { scheduleClaim(Running.ClaimDelay); }) {}

void OwnerElection::start() {
  Presence.start([this] {
    IsSynced = true;
    if (!Seen)
      scheduleClaim(Running.ClaimDelay);
  });
}

void OwnerElection::onItem(const StoreItem &Item) {
  if (Item.Key != OwnerKey)
    return;
  if (Item.Deleted) {
    Seen.reset();
    SeenRevision = 0;
    Detector.stop();
    if (IsSynced)
      scheduleClaim(Running.ClaimDelay);
    return;
  }
  try {
    Seen = OwnerRecord::decode(Item.Value);
  } catch (const Error &Failure) {
    // Ignored: its writer does not renew it, so its lease expires.
    Log.event(EventName::RecordMalformed,
              {{"key", Item.Key}, {"reason", Failure.what()}});
    return;
  }
  SeenRevision = Item.Revision;
  bool IsOwn = Seen->Process == Running.Process;
  // A process with far fewer CPU cores than the owner does not watch it, as it
  // would leave the claim to others.
  if (!IsOwn && !isMuchStronger(Seen->Self, Running.Self))
    Detector.watch(Seen->Process, Seen->Self.Address);
  else
    Detector.stop();
  if (isOwner() && !IsOwn)
    depose("the store names another process as the owner");
}

void OwnerElection::scheduleClaim(Duration Delay) {
  if (Released || ClaimScheduled)
    return;
  ClaimScheduled = true;
  Clock.after(Delay, guarded([this] {
                ClaimScheduled = false;
                considerClaim();
              }));
}

bool OwnerElection::isVacant() const {
  if (!Seen)
    return true;
  OwnerHealth Health = Detector.health(Seen->Process);
  return Health == OwnerHealth::Suspected || Health == OwnerHealth::Dead;
}

bool OwnerElection::mayClaim() const {
  return !Released && !Claiming && !isOwner() && isVacant();
}

void OwnerElection::considerClaim() {
  if (!mayClaim())
    return;
  if (!Calls.MayOwn())
    return scheduleClaim(RetryPause);
  Claiming = true;
  Source.list(ProcessPrefix, CallTimeout,
              guarded([this](const StoreItems &Processes) {
                Claiming = false;
                onProcesses(Processes);
              }));
}

void OwnerElection::onProcesses(const StoreItems &Processes) {
  if (!mayClaim())
    return;
  bool StrongerIsPresent = false;
  std::vector<protocol::Address> Others;
  for (const StoreItem &Item : Processes.Items) {
    std::optional<ProcessRecord> Other = readProcessRecord(Item, Log);
    bool IsOwner = Other && Seen && Other->Address == Seen->Self.Address;
    if (!Other || IsOwner)
      continue;
    StrongerIsPresent |= isMuchStronger(*Other, Running.Self);
    bool Watches = !Seen || !isMuchStronger(Seen->Self, *Other);
    if (Watches && Other->Address != Running.Self.Address)
      Others.push_back(Other->Address);
  }
  if (Seen && Detector.health(Seen->Process) == OwnerHealth::Suspected)
    return confirmSuspicion(Others);
  claimAfter(StrongerIsPresent ? StrongerFirst : Duration(0));
}

/// Claims only if another process suspects the owner too and none finds it
/// alive: otherwise this process may be the one that is partitioned.
void OwnerElection::confirmSuspicion(
    const std::vector<protocol::Address> &Others) {
  struct Poll {
    size_t Open = 0;
    size_t Agreeing = 0;
    size_t Denying = 0;
  };
  auto Asked = std::make_shared<Poll>();
  Asked->Open = Others.size();
  for (const protocol::Address &Other : Others)
    Peers.health(Other, Seen->Process,
                 guarded([this, Asked](OwnerHealth Health) {
                   bool Agrees = Health == OwnerHealth::Suspected ||
                                 Health == OwnerHealth::Dead;
                   --Asked->Open;
                   Asked->Agreeing += Agrees ? 1 : 0;
                   Asked->Denying += Health == OwnerHealth::Alive ? 1 : 0;
                   if (Asked->Open > 0)
                     return;
                   if (Asked->Agreeing > 0 && Asked->Denying == 0)
                     return claim();
                   scheduleClaim(RetryPause);
                 }));
}

void OwnerElection::claimAfter(Duration Delay) {
  ClaimScheduled = true;
  Clock.after(Delay, guarded([this] {
                ClaimScheduled = false;
                claim();
              }));
}

void OwnerElection::claim() {
  if (!mayClaim())
    return;
  Claiming = true;
  Replaced = SeenRevision;
  Source.grantLease(OwnerLease, CallTimeout,
                    guarded([this](const LeaseResult &Result) {
                      if (Result.Outcome == StoreOutcome::Done)
                        return claimWithLease(Result.LeaseId);
                      Claiming = false;
                      scheduleClaim(RetryPause);
                    }));
}

void OwnerElection::claimWithLease(int64_t NewLease) {
  Source.read(EpochKey, CallTimeout,
              guarded([this, NewLease](const StoreItems &Guard) {
                bool IsKnown = Guard.Outcome == StoreOutcome::Done ||
                               Guard.Outcome == StoreOutcome::NotFound;
                if (!IsKnown)
                  return giveUpClaim(NewLease);
                commitClaim(NewLease, Guard);
              }));
}

void OwnerElection::commitClaim(int64_t NewLease, const StoreItems &Guard) {
  EpochRecord Record{Running.Process, 1, 0};
  int64_t Revision = 0;
  if (!Guard.Items.empty()) {
    Revision = Guard.Items.front().Revision;
    Record.Epoch = EpochRecord::decode(Guard.Items.front().Value).Epoch + 1;
  }
  StoreTransaction Change;
  Change.Conditions = {{OwnerKey, Replaced}, {EpochKey, Revision}};
  Change.Puts = {
      {OwnerKey,
       OwnerRecord{Running.Process, Running.Self, Record.Epoch}.encode(),
       NewLease},
      {EpochKey, Record.encode(), 0}};
  Source.commit(Change, CallTimeout,
                guarded([this, NewLease, Record](const CommitResult &Result) {
                  onClaimed(NewLease, Record, Result);
                }));
}

void OwnerElection::onClaimed(int64_t NewLease, const EpochRecord &Record,
                              const CommitResult &Result) {
  if (Result.Outcome == StoreOutcome::Done)
    return gain(NewLease, Record, Result.Revision);
  if (Result.Outcome == StoreOutcome::Unknown)
    return resolveClaim(NewLease, Record, 0);
  giveUpClaim(NewLease);
}

void OwnerElection::resolveClaim(int64_t NewLease, const EpochRecord &Record,
                                 int Attempt) {
  Source.read(
      EpochKey, CallTimeout,
      guarded([this, NewLease, Record, Attempt](const StoreItems &Guard) {
        if (Guard.Outcome == StoreOutcome::Done) {
          const StoreItem &Item = Guard.Items.front();
          EpochRecord Found = EpochRecord::decode(Item.Value);
          if (Found.Process == Record.Process && Found.Epoch == Record.Epoch)
            return gain(NewLease, Record, Item.Revision);
          return giveUpClaim(NewLease);
        }
        // If the lease expires in the meantime, `OwnerKey` is gone although the
        // claim succeeded; the next renewal detects that.
        if (Attempt >= MaxResolveAttempts ||
            Guard.Outcome == StoreOutcome::NotFound)
          return giveUpClaim(NewLease);
        Clock.after(RetryPause, guarded([this, NewLease, Record, Attempt] {
                      resolveClaim(NewLease, Record, Attempt + 1);
                    }));
      }));
}

void OwnerElection::gain(int64_t NewLease, const EpochRecord &Record,
                         int64_t Revision) {
  Claiming = false;
  Lease = NewLease;
  Owns = true;
  ConfirmedAt = Clock.now();
  Detector.stop();
  Seen = OwnerRecord{Running.Process, Running.Self, Record.Epoch};
  Log.event(EventName::OwnerClaimed, {{"epoch", std::to_string(Record.Epoch)},
                                      {"revision", std::to_string(Revision)}});
  renewLater();
  Calls.Gained(Record, Revision);
}

void OwnerElection::giveUpClaim(int64_t NewLease) {
  Claiming = false;
  Source.endLease(NewLease, CallTimeout, [](const LeaseResult &) {});
  scheduleClaim(RetryPause);
}

void OwnerElection::renew() {
  if (!isOwner())
    return;
  TimePoint Sent = Clock.now();
  int64_t Renewed = Lease;
  Source.renewLease(Lease, RenewTimeout,
                    guarded([this, Sent, Renewed](const LeaseResult &Result) {
                      if (!isOwner() || Lease != Renewed)
                        return;
                      if (Result.Outcome == StoreOutcome::NotFound)
                        return depose("the owner lease has expired");
                      if (Result.Outcome == StoreOutcome::Done)
                        return checkRecord(Sent);
                      renewLater();
                    }));
}

/// Checks that `OwnerKey` still names this process. A renewal does not show
/// that: the lease lives on when another process has overwritten the key.
void OwnerElection::checkRecord(TimePoint Sent) {
  Source.read(OwnerKey, RenewTimeout,
              guarded([this, Sent, Checked = Lease](const StoreItems &Found) {
                if (!isOwner() || Lease != Checked)
                  return;
                bool IsGone = Found.Outcome == StoreOutcome::NotFound;
                if (Found.Outcome == StoreOutcome::Done)
                  IsGone =
                      OwnerRecord::decode(Found.Items.front().Value).Process !=
                      Running.Process;
                if (IsGone)
                  return depose("the owner record was replaced or removed");
                if (Found.Outcome == StoreOutcome::Done)
                  ConfirmedAt = Sent;
                renewLater();
              }));
}

void OwnerElection::renewLater() {
  Clock.after(RenewInterval, guarded([this, Renewed = Lease] {
                if (Lease == Renewed)
                  renew();
              }));
}

void OwnerElection::depose(const char *Reason) {
  if (!isOwner())
    return;
  Owns = false;
  int64_t Ended = std::exchange(Lease, 0);
  Source.endLease(Ended, CallTimeout, [](const LeaseResult &) {});
  Log.event(EventName::OwnerLost, {{"reason", Reason}});
  if (Seen && Seen->Process == Running.Process) {
    Seen.reset();
    SeenRevision = 0;
  }
  Calls.Lost(Reason);
  if (!Seen)
    scheduleClaim(RetryPause);
}

void OwnerElection::release() {
  Released = true;
  depose("this process is stopping");
}

} // namespace teaselwalk::cell
