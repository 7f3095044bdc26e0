#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/event_name.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/job.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Interfaces through which the scheduler reaches the clock, the store, the
/// endpoints, the advisory service and the log. No call blocks. Each callback
/// runs exactly once, after the call has returned, on the scheduler's thread.
namespace teaselwalk::cell {

/// Clock and timer queue of the scheduler's thread.
class Executor {
public:
  virtual ~Executor() = default;
  /// Monotonic time. Also advances while the machine is suspended.
  virtual TimePoint now() const = 0;
  /// Wall clock in ms since 1970-01-01 UTC; may jump.
  virtual int64_t wallMillis() const = 0;
  /// Runs \p Work once \p Delay has passed.
  virtual void after(Duration Delay, std::function<void()> Work) = 0;
};

using EventFields = std::vector<std::pair<std::string, std::string>>;

/// Log and metrics of the process.
class Recorder {
public:
  virtual ~Recorder() = default;
  /// Writes one log line. Never blocks.
  virtual void event(EventName Name, EventFields Fields) = 0;
  /// Adds to the counter of \p Name, such as `orders_failed`.
  virtual void count(const char *Name, int64_t Amount = 1) = 0;
  /// Adds one sample to the distribution of durations of \p Name.
  virtual void time(const char *Name, Duration Length) = 0;
};

enum class StoreOutcome {
  Done,
  Conflict,  ///< A condition did not hold; nothing was changed.
  NotFound,  ///< The key or lease does not exist; nothing was changed.
  Refused,   ///< Certainly not carried out; safe to retry.
  Unknown,   ///< No answer: carried out, not carried out, or still to be.
  Compacted, ///< The store has dropped changes that a watch asked for.
  Invalid,   ///< The store rejects the call as malformed.
};

constexpr std::array<EnumName<StoreOutcome>, 7> StoreOutcomeNames = {{
    {StoreOutcome::Done, "done"},
    {StoreOutcome::Conflict, "conflict"},
    {StoreOutcome::NotFound, "not_found"},
    {StoreOutcome::Refused, "refused"},
    {StoreOutcome::Unknown, "unknown"},
    {StoreOutcome::Compacted, "history_gone"},
    {StoreOutcome::Invalid, "invalid"},
}};

struct StoreItem {
  std::string Key;
  std::string Value;
  int64_t Revision = 0; ///< Revision of its latest change; 0: does not exist.
  bool Deleted = false; ///< A reported change has removed the item.
};

struct StoreItems {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  std::vector<StoreItem> Items;
  int64_t AtRevision = 0; ///< Revision of the store that was read.
};

struct StorePut {
  std::string Key;
  std::string Value;
  /// Id of the lease that the item is bound to; the store removes the item
  /// when the lease ends. 0: the item stays until it is removed.
  int64_t LeaseId = 0;
};

/// A conditional write, applied as a whole or not at all. Conditions, puts and
/// removes together are at most `MaxTransactionEntries`.
struct StoreTransaction {
  /// Pairs of a key and the revision that it must have; 0: must not exist.
  std::vector<std::pair<std::string, int64_t>> Conditions;
  std::vector<StorePut> Puts;
  std::vector<std::string> Removes;
};

constexpr size_t MaxTransactionEntries = 32; ///< Limit of the platform's store.

struct CommitResult {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  int64_t Revision = 0; ///< On Done: revision of the written items.
  /// On Conflict: current items of the keys that the conditions name.
  std::vector<StoreItem> Items;

  /// The item \p Key of a conflict; null if it does not exist.
  const StoreItem *itemOf(const std::string &Key) const {
    for (const StoreItem &Item : Items)
      if (Item.Key == Key && Item.Revision != 0)
        return &Item;
    return nullptr;
  }
};

struct LeaseResult {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  int64_t LeaseId = 0;
  Duration Ttl{0};
};

/// Client of the platform's key-value store.
class Store {
public:
  virtual ~Store() = default;
  /// Reads one item. The outcome is `NotFound` if it does not exist.
  virtual void read(const std::string &Key, Duration Timeout,
                    std::function<void(StoreItems)> Done) = 0;
  /// Lists all items under \p Prefix, page by page. Not a snapshot: later pages
  /// may be newer. `AtRevision` is that of the first page. The list fails if a
  /// page is not answered within \p PageTimeout.
  virtual void list(const std::string &Prefix, Duration PageTimeout,
                    std::function<void(StoreItems)> Done) = 0;
  /// Returns the changes under \p Prefix after \p Revision. Long poll: if there
  /// is none yet, the store waits for one for up to \p Wait.
  virtual void watch(const std::string &Prefix, int64_t Revision, Duration Wait,
                     std::function<void(StoreItems)> Done) = 0;
  virtual void commit(const StoreTransaction &Change, Duration Timeout,
                      std::function<void(CommitResult)> Done) = 0;
  virtual void grantLease(Duration Ttl, Duration Timeout,
                          std::function<void(LeaseResult)> Done) = 0;
  virtual void renewLease(int64_t Lease, Duration Timeout,
                          std::function<void(LeaseResult)> Done) = 0;
  virtual void endLease(int64_t Lease, Duration Timeout,
                        std::function<void(LeaseResult)> Done) = 0;
};

/// An endpoint's entry in the discovery list.
struct EndpointInfo {
  EndpointId Id;
  protocol::Address Address;
  std::string DataCentre;
  std::string Service;
  bool Draining = false;
  Resources Capacity;
  std::vector<std::string> Labels;
  /// Start of the endpoint's current incarnation, ms since 1970-01-01 UTC.
  int64_t IncarnationMs = 0;
};

enum class EndpointOutcome {
  Done,
  StaleToken,      ///< A higher fencing token was seen; nothing was done.
  Superseded,      ///< This or a later attempt was ended or stopped there.
  LeaseTimePassed, ///< The requested lease had expired on arrival.
  NoRoom,          ///< The endpoint has too few free resources.
  TicketRefused,
  Invalid,          ///< The endpoint rejects the message as malformed.
  Unavailable,      ///< Certainly not carried out.
  WrongIncarnation, ///< Another incarnation answered; nothing was done.
  Unknown, ///< No answer: carried out, not carried out, or still to be.
};

constexpr std::array<EnumName<EndpointOutcome>, 10> EndpointOutcomeNames = {{
    {EndpointOutcome::Done, "done"},
    {EndpointOutcome::StaleToken, "stale_token"},
    {EndpointOutcome::Superseded, "superseded"},
    {EndpointOutcome::LeaseTimePassed, "too_late"},
    {EndpointOutcome::NoRoom, "no_room"},
    {EndpointOutcome::TicketRefused, "ticket_refused"},
    {EndpointOutcome::Invalid, "invalid"},
    {EndpointOutcome::Unavailable, "unavailable"},
    {EndpointOutcome::WrongIncarnation, "other_life"},
    {EndpointOutcome::Unknown, "unknown"},
}};

struct StartRequest {
  TaskKey Task;
  int64_t Attempt = 0;
  std::string Payload;
  int64_t LeaseUntilMs = 0; ///< Lease expiry, ms on the endpoint's clock.
  int64_t FencingToken = 0;
  std::string Checkpoint; ///< Empty: starts from the beginning.
  std::string Ticket;     ///< From the advisory service; empty: not needed.
};

/// How a run ended. Only `Failed` counts against the attempts of the task;
/// after any other end but `Done` the task is placed again, unless its job has
/// ended.
enum class RunOutcome {
  Done,
  Failed,
  Stopped,      ///< By a stop request.
  LeaseExpired, ///< The endpoint killed the run because its lease expired.
  GangBroken,   ///< Another member of the gang ended, so this run was ended.
  GangTimedOut  ///< The gang timeout passed before the other members started.
};

/// A running task as its endpoint reports it.
struct ActiveRun {
  TaskKey Task;
  int64_t Attempt = 0;
  std::string Checkpoint;
  int32_t ProgressPercent = 0;
  /// Tail latency of the responses in ms for a service, CPU usage in
  /// millicores for any other task.
  int64_t LoadMetric = 0;
};

/// A run that has ended, listed by its endpoint until it is acknowledged.
struct EndedRun {
  int64_t Number = 0; ///< Increases within one incarnation of the endpoint.
  TaskKey Task;
  int64_t Attempt = 0;
  RunOutcome Outcome = RunOutcome::Failed;
  std::string Checkpoint;
};

/// Renews the leases of all tasks of an endpoint and asks for its state.
struct RenewRequest {
  int64_t FencingToken = 0;
  /// The endpoint may forget the ended runs up to this number.
  int64_t AcknowledgedEnd = 0;
  /// New lease expiry, ms on the endpoint's clock; 0: leases are not extended.
  int64_t LeaseUntilMs = 0;
  /// Long poll: the endpoint delays its answer by up to this time while it has
  /// no ended run to report.
  Duration Wait{0};
};

struct RenewResult {
  EndpointOutcome Outcome = EndpointOutcome::Unknown;
  int64_t ClockMs = 0;       ///< The endpoint's clock when it answered.
  int64_t IncarnationMs = 0; ///< Start of the incarnation that answered.
  std::vector<ActiveRun> Running;
  std::vector<EndedRun> Ends;
};

struct EndpointResult {
  EndpointOutcome Outcome = EndpointOutcome::Unknown;
  int64_t ClockMs = 0; ///< The endpoint's clock; 0: not in the answer.
};

/// Client of the endpoints.
class EndpointCalls {
public:
  virtual ~EndpointCalls() = default;
  virtual void start(const EndpointInfo &To, const StartRequest &Request,
                     std::function<void(EndpointResult)> Done) = 0;
  virtual void stop(const EndpointInfo &To, const TaskKey &Task,
                    int64_t Attempt, int64_t FencingToken,
                    std::function<void(EndpointResult)> Done) = 0;
  virtual void renew(const EndpointInfo &To, const RenewRequest &Request,
                     std::function<void(RenewResult)> Done) = 0;
  /// Limits the CPU usage of a task to \p Percent of its CPUs.
  virtual void setCpuLimit(const EndpointInfo &To, const TaskKey &Task,
                           int64_t Attempt, int32_t Percent,
                           int64_t FencingToken,
                           std::function<void(EndpointResult)> Done) = 0;
};

/// Identifies a step in one occurrence of a job.
struct StepKey {
  JobId Job;
  int32_t Occurrence = 0;
  int32_t Step = 0;

  friend bool operator<(const StepKey &A, const StepKey &B) {
    return std::tie(A.Job, A.Occurrence, A.Step) <
           std::tie(B.Job, B.Occurrence, B.Step);
  }
};

enum class AdviceOutcome {
  Answered,
  Busy,    ///< The service refused the request for the time being.
  Unknown, ///< There was no answer, or none that could be read.
  Dropped  ///< The request was not sent: there was nothing left to ask about.
};

struct Advice {
  AdviceOutcome Outcome = AdviceOutcome::Unknown;
  /// The endpoints on which the step may run, each with the ticket that a
  /// start there has to carry.
  std::vector<std::pair<EndpointId, std::string>> Tickets;
  Duration Validity{0}; ///< Lifetime of the tickets.
};

/// Client of the advisory service, which decides on which endpoints a step may
/// run.
class Advisor {
public:
  virtual ~Advisor() = default;
  /// Asks which of \p Candidates may run \p Step. The request is sent by the
  /// process at \p Through, or by this process if the address is empty.
  virtual void ask(const protocol::Address &Through, const StepKey &Step,
                   const std::vector<EndpointId> &Candidates, Duration Timeout,
                   std::function<void(Advice)> Done) = 0;
};

} // namespace teaselwalk::cell
