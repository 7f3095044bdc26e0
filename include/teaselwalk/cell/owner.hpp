#pragma once

#include "teaselwalk/cell/advice_dispatcher.hpp"
#include "teaselwalk/cell/advice_search.hpp"
#include "teaselwalk/cell/bundle_table.hpp"
#include "teaselwalk/cell/configuration.hpp"
#include "teaselwalk/cell/crash_suspects.hpp"
#include "teaselwalk/cell/decisions/failure_domains.hpp"
#include "teaselwalk/cell/decisions/urgent_room.hpp"
#include "teaselwalk/cell/endpoint_table.hpp"
#include "teaselwalk/cell/fenced_writer.hpp"
#include "teaselwalk/cell/job_progress.hpp"
#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/open_jobs.hpp"
#include "teaselwalk/cell/owner_options.hpp"
#include "teaselwalk/cell/ports.hpp"
#include "teaselwalk/cell/room_claims.hpp"
#include "teaselwalk/cell/room_reservations.hpp"
#include "teaselwalk/cell/scheduler_lag.hpp"
#include "teaselwalk/cell/scheduling_pass.hpp"
#include "teaselwalk/cell/sent_calls.hpp"
#include "teaselwalk/cell/start_window.hpp"
#include "teaselwalk/cell/step_advice.hpp"
#include "teaselwalk/cell/store_mirror.hpp"
#include "teaselwalk/cell/stored_records.hpp"
#include "teaselwalk/cell/team_rates.hpp"

#include <deque>
#include <exception>
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

/// Schedules all jobs on all endpoints. Only one process at a time is the
/// owner; `OwnerElection` chooses it. A start request is sent only after the
/// assignment of the task to its endpoint is stored, so a later owner knows
/// every endpoint where a task may run. The end of a run is acknowledged to the
/// endpoint, which then forgets it, only after it is stored.
class Owner {
public:
  /// \p Held is the epoch record of this ownership, \p Revision the store
  /// revision of the epoch key.
  Owner(Executor &Clock, Store &Storage, EndpointCalls &Endpoints,
        Advisor &AdvisoryService, Recorder &Log, OwnerOptions Options,
        OwnerHooks Hooks, const EpochRecord &Held, int64_t Revision);

  /// Reads the stored state, then starts to schedule.
  void start();

  /// True once the stored state is read.
  bool isReady() const { return IsLoaded; }

  struct JobView {
    JobPhase Status = JobPhase::Queued;
    std::string Queue;
    std::string Team;
  };
  /// The job as callers see it: an end shows only once it is stored. Nothing if
  /// the owner does not know the job.
  std::optional<JobView> find(const JobId &Id) const;

  /// Accepted jobs of \p Queue of which no task has started.
  int64_t pending(const std::string &Queue) const {
    return Open.pending(Queue);
  }

  void desiredStateChanged() { requestSchedulingPass(); }
  /// Sets the processes through which advice is asked.
  void setAdviceRoutes(const std::vector<protocol::Address> &Addresses) {
    Dispatcher.setRoutes(Addresses);
  }

private:
  /// The rules for the tasks of one step.
  class StepRules;

  /// Urgent work of one service.
  struct UrgentService {
    UrgentArrivals Arrivals;
    UrgentDemand Waiting;
    Resources Need;       ///< Mean need of one task, as last seen.
    bool IsShort = false; ///< It found too little room when last checked.
  };

  /// When the parts of the stored state were read.
  struct LoadTimes {
    TimePoint StateListed;  ///< The progress records have arrived.
    TimePoint StateApplied; ///< They are taken over; the jobs are requested.
    TimePoint JobsListed;   ///< The first job has arrived.
  };

  // owner_load.cpp
  void loadState();
  void loadRecords(std::vector<StoreItem> Items);
  void onLoaded();
  void loadRecord(StoreItem Item);
  void logReady();
  static void restoreProgress(JobProgress &Job, const StoredRecords &Stored);
  void onIntakeItem(const StoreItem &Item);
  void addJob(const JobId &Id, const std::string &Text);
  void cancelJob(const JobId &Id);
  /// When \p Job was accepted, on the steady clock.
  TimePoint acceptanceTime(const JobSpec &Job) const;
  void restoreAssignments(JobProgress &Job);
  /// The entry of an endpoint that a record names.
  TrackedEndpoint &restoredEndpoint(const EndpointId &Id);
  void onEndpointItem(const StoreItem &Item);
  /// Delay of the first renewal at an endpoint that was just listed.
  Duration firstContactDelay();
  /// Adds removals of the records of ended jobs that are no longer kept, as far
  /// as the write has entries left.
  void addRemovals(StoreTransaction &Change, StoreWrite &Next);
  /// Adds removals of the marks of jobs that were cancelled but never stored.
  void addCancellationRemovals(StoreTransaction &Change);
  /// Removes records in a write of its own if nothing else is to be written.
  void removeEndedJobs();
  void dropRemoved(const std::vector<JobId> &Removed);

  // owner_store.cpp
  void markChanged(JobProgress &Job);
  void queueWrite(const JobId &Id);
  /// Writes what has changed soon, also if the next pass is not due by then.
  void requestWrite();
  /// The same if there is something to write.
  void requestNextWrite();
  /// Removes and returns the first job of `WriteQueue`; null if there is none.
  JobProgress *takeNextChanged();
  /// Puts a job that was taken back to the front of `WriteQueue`.
  void returnToQueue(const JobId &Id);
  /// The record of \p Job; nothing, and the job is set aside, if the record is
  /// too large for the store.
  std::optional<std::string> encodeRecord(JobProgress &Job);
  void writeChanged();
  void commitWrite(StoreTransaction Change, StoreWrite Next);
  void onWritten(const StoreWrite &Stored);
  /// Lets \p Endpoint forget the ends whose effects are stored. False if it
  /// must keep some.
  bool acknowledgeStoredEnds(TrackedEndpoint &Endpoint);
  /// \p Why: for the log, such as the task that has failed.
  void endJob(JobProgress &Job, JobPhase Status, const std::string &Why);

  // owner_rejected_writes.cpp
  /// The store has rejected \p Write as invalid.
  void onRejected(const StoreWrite &Write);
  /// Queues the record of a job for a write of its own.
  void queueSeparateWrite(const JobId &Id);
  /// Writes the next record of `SeparateWrites`.
  void writeSeparately();
  /// The record of \p Job cannot be stored.
  void setAside(JobProgress &Job, size_t RecordBytes);

  // owner_bundles.cpp
  /// Clears `Next.Bundle` if no record fits into one.
  std::string encodeBundle(StoreWrite &Next, size_t MaxBytes);
  /// Limit of one record in a bundle.
  size_t maxBundledRecordBytes() const;
  /// Limit of the records in a bundle, except for the last one.
  size_t maxBundleBytes() const;
  static bool isBundleKey(const std::string &Key);
  void loadBundle(const std::string &Key, const std::string &Value);
  /// Forgets the records in bundles that are not needed by any job, once all
  /// jobs are loaded.
  void forgetUnusedBundles();
  /// Writes the records of a bundle under their own keys if nothing else is to
  /// be written.
  void compactBundles();
  /// Queues what is left of the smallest bundle if there are many.
  void limitBundles();
  /// Adds removals of bundles as far as \p Capacity allows.
  void addBundleRemovals(StoreTransaction &Change, size_t Capacity);

  // owner_renewals.cpp
  void renewLater(const EndpointId &Id, Duration Delay);
  /// \p IsLongPoll: the endpoint may hold the answer back until a run ends. At
  /// most one such renewal for each endpoint is open.
  void renew(const EndpointId &Id, bool IsLongPoll);
  void onRenewed(const SentRenewal &Call, const RenewResult &Result);
  /// Reports a call that another incarnation has carried out than the one that
  /// it was meant for.
  void logMisdirected(const char *Kind, const SentCall &Call, int64_t ClockMs,
                      EventFields Details);
  /// False if the endpoint has restarted since its last answer.
  bool updateIncarnation(TrackedEndpoint &Endpoint, const RenewResult &Result);
  void handleEndedRuns(TrackedEndpoint &Endpoint,
                       const std::vector<EndedRun> &Ends);
  void handleEndedRun(TrackedEndpoint &Endpoint, const EndedRun &End);
  void reconcileRuns(TrackedEndpoint &Endpoint, const RenewResult &Result,
                     const SentRenewal &Call);
  /// Stops a run that this owner has not assigned to the endpoint.
  void stopStrayRun(TrackedEndpoint &Endpoint, const ActiveRun &Run);
  void raiseFencingToken(TrackedEndpoint &Endpoint);

  // owner_leases.cpp
  /// End of a lease that starts now, on the endpoint's clock in ms; 0 if the
  /// clock is not known.
  int64_t leaseEndMs(const TrackedEndpoint &Endpoint, TimePoint Now) const;
  /// Releases the tasks of a silent endpoint whose leases have ended.
  void releaseIfLeasesEnded(TrackedEndpoint &Endpoint, TimePoint Now);
  /// When \p Task, which runs or may run on the silent \p Endpoint, surely
  /// does so no more.
  TimePoint releaseTime(const TrackedEndpoint &Endpoint,
                        const TaskProgress &Task) const;
  /// Incarnation \p IncarnationMs of \p Endpoint has answered for the first
  /// time. Calls that were sent before may have reached it.
  void boundMisdirectedCalls(TrackedEndpoint &Endpoint, int64_t IncarnationMs);
  /// Keeps what is needed if the endpoint is listed again.
  void rememberRemoval(const TrackedEndpoint &Endpoint);

  // owner_requests.cpp
  void sendAssignedStarts(JobProgress &Job);
  void sendStart(JobProgress &Job, const TaskKey &Key, TaskProgress &Task);
  void onStartAnswer(const SentStart &Call, const EndpointResult &Result);
  /// True if no task may be placed until an open start is answered.
  bool isStartLimitReached();
  size_t countOverdueStarts() const;
  /// Records that \p Call has an answer.
  void closeStart(const SentStart &Call);
  void sendStop(const TaskKey &Key, TaskProgress &Task);
  void stopAllRuns(JobProgress &Job);
  /// Stops the other runs of a gang.
  void stopGang(JobProgress &Job, const TaskKey &Member);
  /// Takes a task off its endpoint and puts it back into the backlog.
  void releaseTask(const TaskKey &Key, const char *Why);
  void completeTask(JobProgress &Job, const TaskKey &Key, bool IsCurrent);
  void failTask(JobProgress &Job, const TaskKey &Key);
  /// \p Service is the pool that the endpoint must belong to.
  bool mayStartOn(const TrackedEndpoint &Endpoint, const std::string &Service,
                  TimePoint Now) const;
  /// True if the endpoint to which the task is assigned may still start it.
  bool maySendStart(const TaskProgress &Task, const std::string &Service);
  void suspendEndpoint(TrackedEndpoint &Endpoint, Duration First);

  // owner_crashes.cpp
  /// The endpoint has answered a call that was sent at \p Sent. \p ClockMs: its
  /// clock then; 0: unknown.
  void noteAlive(TrackedEndpoint &Endpoint, TimePoint Sent, int64_t ClockMs);
  void noteFailure(TrackedEndpoint &Endpoint);
  /// The endpoint has answered as another incarnation than before.
  void noteRestart(TrackedEndpoint &Endpoint, const RenewResult &Result);
  /// When incarnation \p IncarnationMs, which the endpoint has answered as for
  /// the first time, has started.
  TimePoint startOf(const TrackedEndpoint &Endpoint,
                    int64_t IncarnationMs) const;
  /// Incarnation \p IncarnationMs of the endpoint has started the run.
  void noteIncarnation(const TrackedEndpoint &Endpoint, const TaskKey &Key,
                       int64_t Attempt, int64_t IncarnationMs);
  CrashTime crashTimeOf(const TrackedEndpoint &Endpoint) const;
  /// Runs that an endpoint was last known to hold. Excludes those that may be
  /// runs of \p NowMs, its present incarnation; 0: it does not answer.
  std::vector<RunAtCrash> runsAtCrash(const TrackedEndpoint &Endpoint,
                                      int64_t NowMs);
  /// Suspects the tasks that may have crashed a silent endpoint. Its next
  /// answer shows whether it has crashed.
  void suspectCrash(TrackedEndpoint &Endpoint);
  void restoreSuspicions(const TaskKey &Key, TaskProgress &Task);
  /// True if \p Run is suspected of having crashed \p Endpoint.
  bool isSuspected(const EndpointId &Endpoint, const RunAtCrash &Run);
  /// True if \p Endpoint, which is not listed, is called all the same because
  /// its answer would settle a suspicion.
  bool awaitsVerdict(const TrackedEndpoint &Endpoint);
  /// Ends jobs that would wait without end for the answers of endpoints that
  /// have been silent for `LongestSilence`.
  void giveUpAfterSilence();
  /// Counts the crash of an endpoint against the tasks that may have caused it.
  /// \p NowMs is its present incarnation.
  void countCrash(TrackedEndpoint &Endpoint, int64_t NowMs);
  void logCrash(EventName Name, const TrackedEndpoint &Endpoint, int64_t NowMs,
                const std::vector<RunAtCrash> &Suspects, bool IsProven);
  /// The endpoint of \p Run has not crashed.
  void withdrawSuspicion(const TrackedEndpoint &Endpoint,
                         const RunAtCrash &Run);
  static void dropSuspicion(TaskProgress &Task, const EndpointId &Endpoint);
  /// Adds a crash of \p Endpoint to the account of \p Run, once for each
  /// attempt.
  bool countAgainst(const RunAtCrash &Run, const EndpointId &Endpoint);
  /// Ends the jobs of those of \p Tasks with too many crashes.
  void giveUp(const std::vector<TaskKey> &Tasks, bool IsProven);
  /// True if no task of job \p Id may be placed on \p Endpoint because of a
  /// suspected task of another job.
  bool isIsolated(const TrackedEndpoint &Endpoint, const JobId &Id) const;
  /// True if another start on the endpoint of a suspected task is too close to
  /// its own.
  bool mustPostpone(const TaskKey &Key, const TaskProgress &Task);
  /// An endpoint without an answer has not crashed.
  void noteSurvival(TrackedEndpoint &Endpoint);
  /// Clears the task of a run by the time that it has lived.
  void clearSuspicion(const TrackedEndpoint &Endpoint, JobProgress &Job,
                      TaskProgress &Task);
  /// Tries to send the starts of \p Postponed again after a while.
  void retryPostponedStarts(JobProgress &Job,
                            const std::vector<TaskKey> &Postponed);
  /// Asks whether an endpoint is alive once the run that was started last is no
  /// longer suspected of a crash.
  void verifyAlive(const EndpointId &Id);

  // owner_progress.cpp
  /// Declared run time of a task, times the `RunTimeRatio` of its queue.
  Duration expectedRunTime(const JobProgress &Job, const StepSpec &Step) const;
  static void addSlownessSample(TrackedEndpoint &Endpoint, double Sample,
                                double Weight);
  void recordRunTime(TrackedEndpoint &Endpoint, JobProgress &Job,
                     const TaskKey &Key, const TaskProgress &Task);
  void checkProgress(TrackedEndpoint &Endpoint, const JobProgress &Job,
                     const TaskKey &Key, TaskProgress &Task, int32_t Percent);

  // owner_cpu_limits.cpp
  void updateCpuLimits(TrackedEndpoint &Endpoint);
  void drainEndpoint(TrackedEndpoint &Endpoint);

  // owner_placement.cpp
  /// Requests a pass over the whole backlog.
  void requestSchedulingPass();
  /// Requests a look at one step, for which something has changed. Does not
  /// wait for a long backlog.
  void requestStepPass(const StepKey &Key);
  /// Looks at the whole backlog, as far as the time of one pass allows.
  void runSchedulingPass();
  /// Looks at the steps in `ChangedSteps`.
  void runStepPass();
  /// Places \p Steps from \p From on. Returns the first for which the time of
  /// the pass was too short.
  std::vector<BacklogStep>::const_iterator
  placeSteps(const std::vector<BacklogStep> &Steps,
             std::vector<BacklogStep>::const_iterator From);
  void updateDueJobs();
  void addReadySteps(JobProgress &Job);
  void closeEndedOccurrences(JobProgress &Job);
  /// Drops the steps of one occurrence from the backlog, with their advice.
  void forgetSteps(const JobProgress &Job, int32_t Occurrence);
  /// The steps that may be placed now, in order. Drops others of \p Keys.
  std::vector<BacklogStep> collectBacklog(std::set<StepKey> &Keys);
  /// False for repetitions and services.
  static bool hasObjective(const JobProgress &Job, const StepKey &Key);
  /// True if \p Key is a step of a service whose tasks ran before.
  static bool isRestart(const JobProgress &Job, const StepKey &Key);
  /// True if there is too little processor time for all work, and the job
  /// probably cannot end by its objective if \p Key is placed now.
  bool isLate(const JobProgress &Job, const StepKey &Key) const;
  /// True if the job probably ends after its objective whatever is done. Such
  /// jobs wait for those that can be in time: in order of their objectives all
  /// jobs of a crowd would be just too late.
  bool isMissed(const JobProgress &Job, const StepKey &Key) const;
  void placeStep(const BacklogStep &Next);
  /// True if a task that needs no more than \p Need found no room in this pass.
  bool hasFailedInPass(const std::string &Service, const Resources &Need) const;
  TrackedEndpoint *chooseEndpoint(const JobProgress &Job, const StepSpec &Step,
                                  const StepKey &Key, StepAdvice *Advice,
                                  bool IsSuspected);
  bool fitsTeamLimit(const JobProgress &Job, const Resources &Need) const;
  /// Adds a step with waiting tasks to the backlog; false if it is there.
  bool addToBacklog(JobProgress &Job, const StepKey &Key);
  int32_t countTasksOn(const TrackedEndpoint &Endpoint,
                       const StepKey &Key) const;
  /// Reserves the resources of a task on an endpoint; `freeResources` frees
  /// them.
  void reserveResources(TrackedEndpoint &Endpoint, JobProgress &Job,
                        const TaskKey &Key);
  void freeResources(JobProgress &Job, const TaskKey &Key,
                     const EndpointId &AssignedTo);
  /// Records what \p Task, which was just assigned, may rely on there.
  void noteAssignment(const TrackedEndpoint &Endpoint,
                      TaskProgress &Task) const;

  // owner_scores.cpp
  /// Lower ones are preferred.
  double score(const TrackedEndpoint &Endpoint, const JobProgress &Job,
               const StepKey &Key) const;
  /// Time that the job can spare if the step starts now; long if it has no
  /// objective.
  Duration slackOf(const JobProgress &Job, const StepKey &Key) const;
  /// Chooses the data centre that keeps the tasks of \p Job together.
  void chooseHome(JobProgress &Job, const StepKey &Key);
  /// Looks at all endpoints: what they have free and which ones to avoid.
  void updateFleetView();

  // owner_urgent_room.cpp
  /// True if \p Key is a step for which others may be held back or stopped.
  bool isUrgent(const JobProgress &Job, const StepKey &Key) const;
  /// True if the step waits because urgent work needs the room.
  bool isHeldBack(const JobProgress &Job, const StepKey &Key) const;
  /// True if the step is urgent and its service has too little room.
  bool isShortOfUrgentRoom(const JobProgress &Job, const StepKey &Key) const;
  /// What a request for advice about such a step asks for.
  AdviceNeed urgentNeed(const JobProgress &Job, const StepKey &Key) const;
  /// True if the step has tickets for as many endpoints as it has tasks.
  bool hasSpareTickets(const JobProgress &Job, const StepKey &Key,
                       const StepAdvice &Advice) const;
  void noteUrgentArrival(const JobProgress &Job, const StepKey &Key);
  /// Finds out whether urgent work lacks room, and stops other runs if so.
  void makeUrgentRoom();
  void makeUrgentRoomIn(const std::string &Service, UrgentService &State);
  /// Adds the runs on \p Endpoint that may be stopped to \p Runs.
  PreemptibleEndpoint preemptibleOn(const TrackedEndpoint &Endpoint,
                                    std::vector<TaskKey> &Runs);
  void preempt(const TaskKey &Key);

  // owner_watchdog.cpp
  /// Ends and reports waits that last too long; called with each tick.
  void watchProgress();
  /// Ends waits whose usual end has not come: sends starts again that were
  /// stored but not sent, and treats one as unanswered whose answer is overdue.
  void endOverdueStarts();
  /// Gives the ownership up, and returns true, if this process keeps it but
  /// cannot start tasks.
  bool giveUpIfStandingStill();
  /// What the store has not confirmed for too long although it confirms the
  /// ownership; null: nothing.
  const char *unconfirmedState() const;
  /// Logs a write that is not answered for long.
  void reportOpenWrite();
  /// Logs why the step waits that waits longest, those of services that ran
  /// before first.
  void reportLongestWait();
  WaitReason waitReason(const JobProgress &Job, const StepKey &Key) const;
  /// Calls \p Body. An exception is logged and sets \p Job aside for a while,
  /// but does not keep other jobs from being handled.
  template <typename Call> void isolateFaults(JobProgress &Job, Call Body);
  void onFault(JobProgress &Job, const char *Reason);

  // owner_gangs.cpp
  void placeGang(const BacklogStep &Next, StepProgress &State,
                 StepAdvice *Advice);

  // owner_advice.cpp
  StepAdvice *adviceFor(const JobProgress &Job, const StepKey &Key);
  /// Asks for tickets for the waiting tasks of a step.
  void askAdvice(const JobProgress &Job, const StepKey &Key,
                 StepAdvice &Advice);
  /// Whatever the job does, it is late once one of its steps has waited longer
  /// than this. Unlike its objective this depends little on declared times,
  /// which are rough.
  static Duration longestDelay(const JobProgress &Job);
  AdviceNeed adviceNeed(const JobProgress &Job, const StepKey &Key) const;
  /// Chooses the endpoints that a request about \p Key names and claims room
  /// there. Returns none if the step needs no tickets any more.
  std::vector<EndpointId> claimCandidates(const StepKey &Key);
  std::vector<AdviceCandidate> adviceCandidates(const JobProgress &Job,
                                                const StepKey &Key,
                                                const AdviceNeed &Need,
                                                StepAdvice &Advice);
  // owner_reservations.cpp
  /// Room on the endpoint that no task of \p Key may use.
  Resources keptRoom(const JobProgress &Job, const StepKey &Key,
                     const EndpointId &Endpoint) const;
  /// Until the request about \p Named is answered no other work takes the room
  /// that tasks of \p Key had before they ended.
  void reserveRequested(const JobProgress &Job, const StepKey &Key,
                        const AdviceNeed &Need,
                        const std::vector<EndpointId> &Named);
  /// Waiting tasks of \p Key that ran before and may be placed now.
  int32_t startableRestarts(const JobProgress &Job, const StepKey &Key) const;
  /// Adds endpoints to \p Named where \p Tasks tasks will find room, as far as
  /// \p Candidates do not suffice.
  void addFuture(const JobProgress &Job, const StepKey &Key, AdviceNeed Need,
                 int32_t Tasks, const std::vector<AdviceCandidate> &Candidates,
                 std::vector<EndpointId> &Named);
  /// Reserves the next room for those tasks on endpoints that are allowed;
  /// \p Advice is null if all are.
  void reserveAllowed(const JobProgress &Job, const StepKey &Key,
                      const StepAdvice *Advice);
  /// The same if that was not done shortly before.
  void updateReservation(const JobProgress &Job, const StepKey &Key,
                         StepProgress &State, const StepAdvice *Advice);
  /// Endpoints on which a task of \p Key finds room once others have ended.
  std::vector<AdviceCandidate> futureCandidates(const JobProgress &Job,
                                                const StepKey &Key,
                                                const StepAdvice &Advice,
                                                RoomNow Rooms);
  void noteGains(const std::vector<EndpointId> &Endpoints);
  void dropReservations(const StepKey &Key);

  /// True if a request about the step may be sent now.
  bool mayAskAdvice(const JobProgress &Job, const StepKey &Key,
                    StepAdvice &Advice);
  /// False if a search would find no endpoint, as far as is known.
  bool isSearchPromising(const JobProgress &Job, const StepKey &Key,
                         StepAdvice &Advice);
  /// True if no endpoint of \p Service had room for a task of \p Step, or for
  /// a smaller one, shortly before.
  bool hasNoRoom(const std::string &Service, const StepSpec &Step);
  /// Records a gain on each endpoint on which tasks may start again.
  void noteUsableEndpoints();
  /// Drops the claims of \p Key.
  void removeClaims(const StepKey &Key);
  double allowedShare(const std::string &Queue) const;
  /// False if the answer names endpoints that were not asked about, one twice,
  /// or tickets that have expired.
  static bool isUsable(const std::vector<EndpointId> &Asked,
                       const cell::Advice &Result);
  void onAdvice(const StepKey &Key, const std::vector<EndpointId> &Asked,
                TimePoint Sent, const cell::Advice &Result);
  void useAdvice(const JobProgress &Job, const StepKey &Key, StepAdvice &Advice,
                 const std::vector<EndpointId> &Asked,
                 const cell::Advice &Result, bool IsMalformed);
  void recordAdvice(const JobProgress &Job, StepAdvice &Advice,
                    const std::vector<EndpointId> &Asked,
                    const cell::Advice &Result);

  /// When the store last confirmed the ownership, by a renewal or a write.
  TimePoint ownershipConfirmedAt() const;
  /// True if the configuration and the evacuations are known well enough to
  /// start tasks.
  bool isDesiredStateFresh() const;
  const QueuePolicy &policyOf(const JobProgress &Job) const;
  JobProgress *jobOf(const JobId &Id);
  void tick();

  template <typename Call> auto guarded(Call Body) const {
    return Alive.guard(std::move(Body));
  }

  Executor &Clock;
  Store &Storage;
  EndpointCalls &Endpoints;
  Recorder &Log;
  const OwnerOptions Options;
  const OwnerHooks Hooks;
  const Duration LeaseTime; ///< Length of the leases of tasks.
  const LeaseLengths Lengths;
  const int64_t Epoch;
  const TimePoint GainedAt; ///< When this process became the owner.
  FencedWriter Writer;
  StoreMirror Intake;
  StoreMirror Discovery;
  AdviceDispatcher Dispatcher;

  std::unordered_map<JobId, std::unique_ptr<JobProgress>> Jobs;
  /// Progress records, by job; read before the jobs and dropped once all jobs
  /// are loaded.
  std::unordered_map<JobId, StoredRecords> RecordsToRestore;
  BundleTable Bundles;
  /// Jobs that are not stored and whose cancellation was read, and when.
  std::unordered_map<JobId, TimePoint> EarlyCancellations;
  OpenJobs Open;
  /// Steps that may start and have waiting tasks. Others are dropped by
  /// `collectBacklog`.
  std::set<StepKey> Backlog;
  EndpointTable Table;
  /// When calls last extended leases at endpoints that were removed from
  /// `Table`, as long as such calls may be carried out.
  std::unordered_map<EndpointId, TimePoint> RemovedEndpoints;
  /// Endpoints that may have ends whose effects are not stored.
  std::unordered_set<EndpointId> WithUnacknowledgedEnds;
  /// At least the highest fencing token that this owner has sent to any
  /// endpoint. New entries of `Table` start with it. It rises when an endpoint
  /// is removed: one that is listed again may have seen any token before.
  int64_t HighestToken;
  std::unordered_map<std::string, Resources> TeamUsage;
  TeamRates Rates;
  std::map<StepKey, StepAdvice> StepAdvices;
  std::unordered_map<std::string, std::vector<FullFleet>>
      NoRoomFor;                ///< By service.
  TimePoint UsableNotedAt;      ///< Time of the latest `noteUsableEndpoints`.
  TimePoint NextRepeatedSearch; ///< The latest `StepAdvice::SearchAgainAt`.
  DataCentreRoom CentreRoom;
  double RiskThreshold = 1; ///< Endpoints with a higher risk are avoided.
  TimePoint FleetViewedAt;
  std::unordered_map<std::string, UrgentService> Urgent; ///< By service.
  LostEndpoints Lost;
  /// Tasks with suspected crashes, and others that had some.
  std::unordered_set<TaskKey> SuspectedTasks;
  RoomClaims Claims; ///< Of the steps whose requests for advice are open.
  /// For restarts of services: on endpoints that open requests name, and where
  /// the service has allowed them.
  RoomReservations RequestedRoom;
  RoomReservations AllowedRoom;
  std::unordered_map<std::string, AllowedCount> AllowedCounts; ///< By queue.
  /// Ratio of the real to the declared run time, smoothed, by queue.
  std::unordered_map<std::string, double> RunTimeRatio;
  int64_t NextBundle = 1;       ///< Number in the key of the next bundle.
  std::deque<JobId> WriteQueue; ///< Jobs whose records must be written.
  std::unordered_set<JobId> InWriteQueue; ///< The same jobs, for look-up.
  /// Jobs of a rejected write, whose records are written one at a time.
  std::deque<JobId> SeparateWrites;
  /// Ended jobs with records in the store and when they ended, on the wall
  /// clock in ms.
  std::set<std::pair<int64_t, JobId>> ToRemove;
  TimePoint NextContactAt; ///< Time of the latest first renewal that is due.
  int ContactsThen = 0;    ///< First renewals that are due at that time.
  LoadTimes Loading;       ///< Of the state that is read after the claim.
  bool IsLoaded = false;
  /// Steps to look at before the next pass over the whole backlog.
  std::set<StepKey> ChangedSteps;
  bool IsStepPassRequested = false;
  Duration LastStepPassTime{0};
  /// Where the time of the latest pass was over, and the next one goes on.
  std::optional<BacklogStep> NextToPlace;
  SchedulerLag Lag;
  bool IsPassRequested = false;
  TimePoint NextPassAt; ///< When the requested pass is due.
  bool IsWriteRequested = false;
  StartWindow Window; ///< Limits the size of `OpenStarts`.
  /// Placed tasks whose start is not answered yet, and when it was sent;
  /// `TimePoint::max()`: it is not sent yet.
  std::unordered_map<TaskKey, TimePoint> OpenStarts;
  TimePoint LastTickAt;
  /// Since then the store has confirmed the ownership without a gap.
  TimePoint SteadySince;
  /// Ticks since a pass has last ended.
  int TicksSincePass = 0;
  TimePoint NextWaitReport;
  bool AreTasksHeldBack = false; ///< The latest pass has reached the limit.
  PassState Pass;
  Duration LastPassTime{0};
  Lifetime Alive;
};

template <typename Call>
void Owner::isolateFaults(JobProgress &Job, Call Body) {
  try {
    Body();
  } catch (const std::exception &Failure) {
    onFault(Job, Failure.what());
  }
}

} // namespace teaselwalk::cell
