#include "owner_limits.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/owner.hpp"
#include "teaselwalk/cell/sliced_work.hpp"

#include <algorithm>
#include <cstring>

namespace teaselwalk::cell {
namespace {

constexpr Duration LoadPageTimeout{3000};
constexpr Duration LoadRetry{150};
/// A new owner connects to all endpoints. More at a time would keep it from
/// renewing its own lease and answering probes on a small VM.
constexpr int FirstContactsPerMs = 2;
/// The wall clock may jump forward by this time without making a record end
/// early.
constexpr Duration ClockJumpMargin{10000};
/// A job has three keys: the job, its cancellation and its progress.
constexpr size_t KeysPerJob = 3;

StoreMirrorOptions intakeOptions() {
  StoreMirrorOptions Options;
  Options.Prefix = IntakePrefix;
  Options.WatchPause = Duration(12);
  Options.RelistInterval = Duration(10000);
  return Options;
}

StoreMirrorOptions discoveryOptions(const std::string &Prefix) {
  StoreMirrorOptions Options;
  Options.Prefix = Prefix;
  Options.IsWatched = false;
  // A drain must take effect within 2 s.
  Options.RelistInterval = Duration(700);
  return Options;
}

/// True if other steps may be placed according to \p B than to \p A.
bool differForPlacement(const EndpointInfo &A, const EndpointInfo &B) {
  return !(A.Capacity == B.Capacity) || A.Labels != B.Labels ||
         A.Service != B.Service || A.DataCentre != B.DataCentre ||
         A.Draining != B.Draining || A.IncarnationMs != B.IncarnationMs;
}

bool startsWith(const std::string &Text, const char *Prefix) {
  return Text.compare(0, std::strlen(Prefix), Prefix) == 0;
}

} // namespace

Owner::Owner(Executor &Clock, Store &Storage, EndpointCalls &Endpoints,
             Advisor &AdvisoryService, Recorder &Log, OwnerOptions Given,
             OwnerHooks Calls, const EpochRecord &Held, int64_t Revision)
    : Clock(Clock), Storage(Storage), Endpoints(Endpoints), Log(Log),
      Options(std::move(Given)), Hooks(std::move(Calls)),
      LeaseTime(std::min(TaskLease, Options.MaxTaskLease)),
      Lengths{withDrift(LeaseTime), withDrift(Options.MaxTaskLease)},
      Epoch(Held.Epoch), GainedAt(Clock.now()),
      Writer(Clock, Storage, Log, Held, Revision),
      Intake(Clock, Storage, Log, intakeOptions(),
             [this](const StoreItem &Item) { onIntakeItem(Item); }),
      Discovery(Clock, Storage, Log, discoveryOptions(Options.EndpointPrefix),
                [this](const StoreItem &Item) { onEndpointItem(Item); }),
      Dispatcher(Clock, AdvisoryService, Log),
      HighestToken(Epoch * TokensPerEpoch + 1) {}

void Owner::start() {
  if (Options.Features.has(Feature::UrgentRoom))
    Dispatcher.preferShortRequests();
  loadState();
}

void Owner::loadState() {
  Storage.list(StatePrefix, LoadPageTimeout, guarded([this](StoreItems Result) {
                 if (Result.Outcome != StoreOutcome::Done) {
                   Clock.after(LoadRetry, guarded([this] { loadState(); }));
                   return;
                 }
                 Loading.StateListed = Clock.now();
                 loadRecords(std::move(Result.Items));
               }));
}

void Owner::loadRecords(std::vector<StoreItem> Items) {
  size_t Count = Items.size();
  doInSlices(
      Clock, Alive, Count,
      [this, Items = std::move(Items)](size_t Index) mutable {
        loadRecord(std::move(Items[Index]));
      },
      [this] {
        Loading.StateApplied = Clock.now();
        Intake.start([this] { onLoaded(); });
      });
}

void Owner::onLoaded() {
  IsLoaded = true;
  RecordsToRestore.clear();
  forgetUnusedBundles();
  logReady();
  Discovery.start();
  tick();
}

void Owner::logReady() {
  TimePoint Now = Clock.now();
  // Without jobs no first one has arrived.
  if (Jobs.empty())
    Loading.JobsListed = Now;
  auto Between = [](TimePoint From, TimePoint To) {
    return std::to_string((To - From).count());
  };
  Log.event(
      EventName::OwnerReady,
      {{"epoch", std::to_string(Epoch)},
       {"jobs", std::to_string(Jobs.size())},
       {"open", std::to_string(Open.size())},
       {"after_ms", Between(GainedAt, Now)},
       {"list_state_ms", Between(GainedAt, Loading.StateListed)},
       {"apply_state_ms", Between(Loading.StateListed, Loading.StateApplied)},
       {"list_jobs_ms", Between(Loading.StateApplied, Loading.JobsListed)},
       {"apply_jobs_ms", Between(Loading.JobsListed, Now)}});
}

void Owner::loadRecord(StoreItem Item) {
  Log.count("records_loaded", 1);
  if (isBundleKey(Item.Key))
    return loadBundle(Item.Key, Item.Value);
  JobId Id(Item.Key.substr(std::strlen(StatePrefix)));
  RecordsToRestore[Id].Separate = std::move(Item.Value);
}

void Owner::restoreProgress(JobProgress &Job, const StoredRecords &Stored) {
  // Only a job that was in a bundle can have two records, so it is rare that a
  // record is parsed twice.
  bool BundleIsNewer =
      Stored.BundledVersion > 0 &&
      Stored.BundledVersion > JobProgress::versionOf(Stored.Separate);
  Job.restore(BundleIsNewer ? Stored.Bundled : Stored.Separate);
  if (!BundleIsNewer)
    Job.SeparateVersion = Job.Version;
}

void Owner::onIntakeItem(const StoreItem &Item) {
  if (startsWith(Item.Key, CancelPrefix)) {
    JobId Id(Item.Key.substr(std::strlen(CancelPrefix)));
    if (Item.Deleted)
      EarlyCancellations.erase(Id);
    else
      cancelJob(Id);
  } else if (!Item.Deleted && startsWith(Item.Key, JobPrefix)) {
    addJob(JobId(Item.Key.substr(std::strlen(JobPrefix))), Item.Value);
  }
}

void Owner::addJob(const JobId &Id, const std::string &Text) {
  if (Jobs.count(Id) != 0)
    return;
  if (!IsLoaded) {
    if (Loading.JobsListed == TimePoint())
      Loading.JobsListed = Clock.now();
    Log.count("records_loaded", 1);
  }
  try {
    auto Added = std::make_unique<JobProgress>(decodeJob(Id, Text));
    JobProgress &Job = *Added;
    auto Stored = RecordsToRestore.find(Id);
    if (Stored != RecordsToRestore.end())
      restoreProgress(Job, Stored->second);
    Job.AcceptedAt = acceptanceTime(Job.Spec);
    Duration Chain = longestChain(Job.Spec);
    Job.Objective =
        Job.AcceptedAt +
        Duration(static_cast<int64_t>(static_cast<double>(Chain.count()) *
                                      Job.Spec.Policy.SlackFactor)) +
        Job.Spec.Policy.Target;
    if (const Team *SubmittingTeam =
            Hooks.Desired->Config.teamNamed(Job.Spec.Team))
      Job.IsOverRate = Rates.addAndCheck(
          SubmittingTeam->Name, Job.Spec.AcceptedMs, SubmittingTeam->Weight);
    Jobs[Id] = std::move(Added);
    restoreAssignments(Job);
    if (!Job.isEnded())
      Open.add(Job);
    else
      ToRemove.emplace(Job.EndedMs, Id);
  } catch (const Error &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"job", Id.str()}, {"reason", Failure.what()}});
    return;
  }
  JobProgress &Job = *Jobs[Id];
  if (EarlyCancellations.erase(Id) != 0)
    cancelJob(Id);
  if (!Job.isEnded())
    addReadySteps(Job);
}

TimePoint Owner::acceptanceTime(const JobSpec &Job) const {
  TimePoint Now = Clock.now();
  Duration Age(std::max<int64_t>(0, Clock.wallMillis() - Job.AcceptedMs));
  // The wall clock may have jumped since. A job that was not there when the
  // intake was last read cannot be older than that.
  std::optional<TimePoint> LastRead = Intake.answeredAt();
  if (IsLoaded && LastRead)
    Age = std::min(Age, Now - *LastRead);
  return Now - Age;
}

void Owner::restoreAssignments(JobProgress &Job) {
  for (auto &[Number, Occurrence] : Job.Occurrences)
    for (size_t S = 0; S < Job.Spec.Steps.size(); ++S)
      for (size_t T = 0; T < Occurrence.Steps[S].Tasks.size(); ++T) {
        TaskProgress &Task = Occurrence.Steps[S].Tasks[T];
        TaskKey Key{Job.Spec.Id, Number, static_cast<int32_t>(S),
                    static_cast<int32_t>(T)};
        restoreSuspicions(Key, Task);
        if (Task.Phase != TaskPhase::Assigned)
          continue;
        // A former owner may have sent the start request.
        Task.IsStartSent = true;
        Task.AssignedAt = GainedAt;
        TrackedEndpoint &Endpoint = restoredEndpoint(Task.AssignedTo);
        if (!Task.MayHaveLongLease && Task.IncarnationMs != 0)
          Endpoint.UsualLeaseIncarnations.insert(Task.IncarnationMs);
        reserveResources(Endpoint, Job, Key);
      }
}

TrackedEndpoint &Owner::restoredEndpoint(const EndpointId &Id) {
  TrackedEndpoint &Endpoint = Table[Id];
  if (Endpoint.Token == 0) {
    Endpoint.Info.Id = Id;
    Endpoint.Token = HighestToken;
    Endpoint.UnlistedSince = GainedAt;
    // The endpoint may have restarted just before, and calls of the former
    // owner may have reached its next incarnation.
    Endpoint.Leases.misdirect(GainedAt);
    Endpoint.Leases.fence(GainedAt);
    // The former owner may have extended leases until then.
    Endpoint.Leases.extend(GainedAt + MaxConfirmationAgeToExtend);
  }
  return Endpoint;
}

void Owner::cancelJob(const JobId &Id) {
  JobProgress *Job = jobOf(Id);
  if (Job == nullptr) {
    EarlyCancellations.emplace(Id, Clock.now());
    return;
  }
  if (Job->isEnded())
    return;
  Log.event(EventName::JobCancelled, {{"job", Id.str()}});
  endJob(*Job, JobPhase::Cancelled, "cancelled");
}

void Owner::onEndpointItem(const StoreItem &Item) {
  EndpointId Id(Item.Key.substr(Options.EndpointPrefix.size()));
  if (Item.Deleted) {
    auto Found = Table.find(Id);
    if (Found == Table.end() || !Found->second.IsListed)
      return;
    Found->second.IsListed = false;
    Found->second.UnlistedSince = Clock.now();
    Log.event(EventName::EndpointGone, {{"endpoint", Id.str()}});
    return;
  }
  EndpointInfo Info;
  try {
    Info = Options.DecodeEndpoint(Item);
  } catch (const std::exception &Failure) {
    Log.count("endpoint_entries_malformed");
    Log.event(EventName::RecordMalformed,
              {{"endpoint", Id.str()}, {"reason", Failure.what()}});
    auto Found = Table.find(Id);
    // No task is started there any more. The leases of its runs are still
    // extended.
    if (Found != Table.end())
      Found->second.IsListed = false;
    return;
  }
  TrackedEndpoint &Endpoint = Table[Id];
  bool IsNew = Endpoint.Info.Address.Port == 0;
  bool StartsToDrain = Info.Draining && !Endpoint.Info.Draining;
  bool WasListed = std::exchange(Endpoint.IsListed, true);
  // Most entries are heartbeats that change nothing else.
  bool MayGain = !WasListed || differForPlacement(Endpoint.Info, Info);
  Endpoint.Info = std::move(Info);
  Table.updateRoom(Endpoint);
  if (MayGain)
    Table.noteGain(Endpoint);
  if (Endpoint.Token == 0)
    Endpoint.Token = HighestToken;
  if (!WasListed)
    Log.event(EventName::EndpointJoined,
              {{"endpoint", Id.str()},
               {"data_centre", Endpoint.Info.DataCentre},
               {"draining", Endpoint.Info.Draining ? "true" : "false"}});
  if (IsNew)
    renewLater(Id, firstContactDelay());
  if (StartsToDrain) {
    Log.event(EventName::EndpointLeaving, {{"endpoint", Id.str()}});
    drainEndpoint(Endpoint);
  }
}

Duration Owner::firstContactDelay() {
  TimePoint Now = Clock.now();
  if (NextContactAt < Now) {
    NextContactAt = Now;
    ContactsThen = 0;
  }
  if (ContactsThen == FirstContactsPerMs) {
    NextContactAt += Duration(1);
    ContactsThen = 0;
  }
  ++ContactsThen;
  return NextContactAt - Now;
}

void Owner::addRemovals(StoreTransaction &Change, StoreWrite &Next) {
  int64_t Limit =
      Clock.wallMillis() - (Options.StatusKept + ClockJumpMargin).count();
  auto HasRoom = [&Change] {
    return Change.Puts.size() + Change.Removes.size() + KeysPerJob <=
           FencedWriter::Capacity;
  };
  // A record that moves out of a bundle is put although its job is unchanged.
  auto IsPut = [&Next](const JobId &Id) {
    return std::any_of(
        Next.Separate.begin(), Next.Separate.end(),
        [&](const RecordVersion &Row) { return Row.first == Id; });
  };
  auto It = ToRemove.begin();
  while (It != ToRemove.end() && It->first <= Limit && HasRoom()) {
    const JobId &Id = It->second;
    const JobProgress *Job = jobOf(Id);
    if (Job != nullptr && (Job->StoredVersion < Job->Version ||
                           Job->ReservedTasks > 0 || IsPut(Id))) {
      ++It;
      continue;
    }
    Next.Removed.push_back(Id);
    Change.Removes.push_back(jobKey(Id));
    Change.Removes.push_back(cancelKey(Id));
    Change.Removes.push_back(stateKey(Id));
    It = ToRemove.erase(It);
  }
}

void Owner::addCancellationRemovals(StoreTransaction &Change) {
  TimePoint Latest = Clock.now() - Options.StatusKept;
  for (const auto &[Id, ReadAt] : EarlyCancellations) {
    if (Change.Puts.size() + Change.Removes.size() >= FencedWriter::Capacity)
      return;
    if (ReadAt < Latest)
      Change.Removes.push_back(cancelKey(Id));
  }
}

void Owner::removeEndedJobs() {
  if (Writer.isBusy() || !WriteQueue.empty())
    return;
  StoreTransaction Change;
  StoreWrite Next;
  addRemovals(Change, Next);
  addCancellationRemovals(Change);
  if (!Change.Removes.empty())
    commitWrite(std::move(Change), std::move(Next));
}

void Owner::dropRemoved(const std::vector<JobId> &Removed) {
  for (const JobId &Id : Removed) {
    Jobs.erase(Id);
    Bundles.drop(Id);
    Log.event(EventName::JobRemoved, {{"job", Id.str()}});
  }
}

} // namespace teaselwalk::cell
