#pragma once

#include "teaselwalk/cell/advice_desk.hpp"
#include "teaselwalk/cell/configuration.hpp"
#include "teaselwalk/cell/endpoint_table.hpp"
#include "teaselwalk/cell/fenced_writer.hpp"
#include "teaselwalk/cell/job_progress.hpp"
#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/cell/store_mirror.hpp"
#include "teaselwalk/cell/team_rates.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace teaselwalk::cell {

struct OwnerOptions {
  Duration MaxTaskLease{6000}; ///< Longest lease an endpoint grants.
  Duration StatusKept{120000}; ///< Records of ended jobs stay this long.
  std::string EndpointPrefix;  ///< Of the discovery list in the store.
  /// Reads an entry of the discovery list; throws `Error` if it cannot.
  std::function<EndpointInfo(const StoreItem &)> DecodeEndpoint;
};

/// What the owner asks of its process.
struct OwnerHooks {
  std::function<void(const char *Reason)> Deposed;
  /// When the store last confirmed the ownership.
  std::function<TimePoint()> ConfirmedAt;
  const DesiredState *Current = nullptr;
  std::function<std::optional<TimePoint>()> DesiredStateConfirmedAt;
};

/// Decides about all jobs and endpoints. Only one process is the owner. A
/// start is ordered only after the assignment of the task to its endpoint is
/// stored, so a later owner knows every endpoint where a task may run. An end
/// is acknowledged only after it is stored.
class Owner {
public:
  Owner(Executor &Clock, Store &Source, EndpointCalls &Workers,
        Advisor &Service, Recorder &Log, OwnerOptions Options, OwnerHooks Hooks,
        const EpochRecord &Held, int64_t Revision);

  /// Reads the stored state and then begins to act.
  void start();

  /// True once the stored state is read.
  bool isReady() const { return IsLoaded; }

  struct JobView {
    JobPhase Status = JobPhase::Queued;
    std::string Queue;
    std::string Team;
  };
  /// The job as callers see it; nothing if the owner does not know it.
  std::optional<JobView> find(const JobId &Id) const;

  /// Accepted jobs of \p Queue of which no task has started.
  int64_t pending(const std::string &Queue) const;

  void desiredStateChanged() { requestPass(); }
  void setLanes(const std::vector<protocol::Address> &Addresses) {
    Desk.setLanes(Addresses);
  }

private:
  struct Ticket {
    std::string Text;
    TimePoint ValidUntil;
  };
  /// What the advisory service said of one step.
  struct StepAdvice {
    std::unordered_map<EndpointId, Ticket> Allowed;
    std::unordered_set<EndpointId> Refused;
    bool InFlight = false;
    TimePoint NotBefore;
  };
  /// A waiting step, in the order in which steps are served.
  struct Candidate {
    JobProgress *Job = nullptr;
    StepKey Key;
    int32_t Priority = 0;
    bool IsHopeless = false; ///< Too late to be worth anything.
    bool IsExcess = false;   ///< Beyond the rate of its team.
    TimePoint Objective;
  };

  /// Job and version of its record.
  using Written = std::pair<JobId, int64_t>;
  /// One write of the owner.
  struct Flush {
    std::vector<Written> Alone;
    std::string Bundle; ///< Key; empty if there is none.
    std::vector<Written> Bundled;
  };

  /// Records of one job that were read.
  struct StoredState {
    std::string Alone; ///< Empty: none.
    std::string Bundled;
    int64_t BundledVersion = 0;
  };

  // owner_load.cpp
  void loadState();
  void loadRecord(StoreItem Item);
  static void restoreState(JobProgress &Job, const StoredState &Stored);
  void onIntake(const StoreItem &Item);
  void addJob(const JobId &Id, const std::string &Text);
  void cancelJob(const JobId &Id);
  void restoreAssignments(JobProgress &Job);
  void onEndpointItem(const StoreItem &Item);
  void removeEnded();

  // owner_store.cpp
  void markChanged(JobProgress &Job);
  void queueWrite(const JobId &Id);
  /// Takes the next job out of `Changed`; null if there is none.
  const JobProgress *nextChanged();
  void flush();
  void onFlushed(const Flush &Stored);
  void acknowledgeStored(const JobId &Id);
  void endJob(JobProgress &Job, JobPhase Status);

  // owner_bundles.cpp
  std::string encodeBundle(Flush &Next, size_t MaxBytes);
  void loadBundle(const std::string &Key, const std::string &Value);
  void dissolveBundles();

  // owner_renewals.cpp
  void renewLater(const EndpointId &Id, Duration Delay);
  void renew(const EndpointId &Id, bool Waits);
  void onRenewed(const EndpointId &Id, const RenewResult &Result,
                 uint64_t Number, int64_t Token, TimePoint Sent, bool Waited);
  bool noteLife(TrackedEndpoint &Endpoint, const RenewResult &Result);
  void noteEnds(TrackedEndpoint &Endpoint, const std::vector<EndedRun> &Ends);
  void noteEnd(TrackedEndpoint &Endpoint, const EndedRun &End);
  void noteRuns(TrackedEndpoint &Endpoint, const RenewResult &Result,
                int64_t Token, TimePoint Sent);
  void noteStray(TrackedEndpoint &Endpoint, const ActiveRun &Row);
  void noteSilence(TrackedEndpoint &Endpoint, TimePoint Now);
  void raiseToken(TrackedEndpoint &Endpoint);
  int64_t leaseUntil(const TrackedEndpoint &Endpoint, TimePoint Now) const;

  // owner_orders.cpp
  void orderAssigned(JobProgress &Job);
  void orderStart(JobProgress &Job, const TaskKey &Key, TaskProgress &Task);
  void onStarted(const TaskKey &Key, int64_t Attempt, const EndpointId &Where,
                 int64_t Token, const EndpointResult &Result);
  void orderStop(const TaskKey &Key, TaskProgress &Task);
  void stopRuns(JobProgress &Job);
  void stopStep(JobProgress &Job, const TaskKey &Member);
  void releaseTask(const TaskKey &Key, const char *Why);
  void taskDone(JobProgress &Job, const TaskKey &Key, bool IsCurrent);
  void taskFailed(JobProgress &Job, const TaskKey &Key);
  bool mayStartOn(const TrackedEndpoint &Endpoint,
                  const JobProgress &Job) const;
  void avoid(TrackedEndpoint &Endpoint, Duration First);

  // owner_progress.cpp
  Duration usualLength(const JobProgress &Job, const StepSpec &Step) const;
  static void noteSlowness(TrackedEndpoint &Endpoint, double Sample,
                           double Weight);
  void noteLength(TrackedEndpoint &Endpoint, const JobProgress &Job,
                  const TaskKey &Key, const TaskProgress &Task);
  void noteProgress(TrackedEndpoint &Endpoint, const JobProgress &Job,
                    const TaskKey &Key, TaskProgress &Task, int32_t Percent);

  // owner_cpu_limits.cpp
  void updateCpuLimits(TrackedEndpoint &Endpoint);
  void drainEndpoint(TrackedEndpoint &Endpoint);

  // owner_placement.cpp
  void requestPass();
  void pass();
  void updateDue();
  void updateReady(JobProgress &Job);
  std::vector<Candidate> candidates();
  void placeStep(const Candidate &Next);
  void placeGang(const Candidate &Next, StepProgress &State,
                 StepAdvice *Advice);
  TrackedEndpoint *choose(const JobProgress &Job, const StepSpec &Step,
                          const StepKey &Key, StepAdvice *Advice);
  bool fitsTeam(const JobProgress &Job, const Resources &Need) const;
  double score(const TrackedEndpoint &Endpoint, const StepSpec &Step) const;
  int32_t countOn(const TrackedEndpoint &Endpoint, const StepKey &Key) const;
  void occupy(TrackedEndpoint &Endpoint, const JobProgress &Job,
              const TaskKey &Key);
  void vacate(const JobProgress &Job, const TaskKey &Key,
              const EndpointId &Where);

  // owner_advice.cpp
  StepAdvice *adviceFor(const JobProgress &Job, const StepKey &Key);
  void askAdvice(const JobProgress &Job, const StepKey &Key, StepAdvice &Advice,
                 int32_t Wanted);
  void onAdvice(const StepKey &Key, const std::vector<EndpointId> &Asked,
                const std::string &Queue, TimePoint Sent, const Advice &Result);

  const QueuePolicy &policyOf(const JobProgress &Job) const;
  JobProgress *jobOf(const JobId &Id);
  void tick();

  template <typename Call> auto guarded(Call Body) const {
    return Alive.guard(std::move(Body));
  }

  Executor &Clock;
  Store &Source;
  EndpointCalls &Workers;
  Recorder &Log;
  const OwnerOptions Options;
  const OwnerHooks Hooks;
  const Duration Lease; ///< Of tasks.
  const int64_t Epoch;
  const TimePoint GainedAt;
  FencedWriter Writes;
  StoreMirror Intake;
  StoreMirror Discovery;
  AdviceDesk Desk;

  std::unordered_map<JobId, std::unique_ptr<JobProgress>> Jobs;
  /// Records that were read, until their jobs come.
  std::unordered_map<JobId, StoredState> StoredStates;
  std::map<std::string, std::vector<Written>> Bundles; ///< In the store.
  std::unordered_set<JobId> CancelledBefore; ///< Marks seen before their job.
  std::unordered_set<JobId> Open;            ///< Jobs that have not ended.
  std::set<StepKey> Backlog;                 ///< Ready steps that wait.
  EndpointTable Table;
  /// No endpoint has seen a higher token of this owner, also none that was
  /// forgotten and is listed again.
  int64_t HighestToken;
  std::unordered_map<std::string, Resources> TeamUsage;
  TeamRates Rates;
  std::map<StepKey, StepAdvice> Advices;
  std::unordered_map<std::string, double> AllowedShare; ///< By queue.
  /// Run time over the declared one, by queue.
  std::unordered_map<std::string, double> LengthRatio;
  int64_t NextBundle = 1;
  std::deque<JobId> Changed; ///< To be stored.
  std::unordered_set<JobId> InChanged;
  std::deque<JobId> ToRemove;
  bool IsLoaded = false;
  bool PassRequested = false;
  TimePoint RemovedAt;
  Lifetime Alive;
};

} // namespace teaselwalk::cell
