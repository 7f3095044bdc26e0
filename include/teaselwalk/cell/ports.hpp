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

/// Interfaces towards the outside. All calls return at once; a callback runs
/// later, exactly once, on the thread that runs the decisions.
namespace teaselwalk::cell {

class Executor {
public:
  virtual ~Executor() = default;
  virtual TimePoint now() const = 0;      ///< Also counts suspended time.
  virtual int64_t wallMillis() const = 0; ///< Ms since 1970; may jump.
  virtual void after(Duration Delay, std::function<void()> Work) = 0;
};

using EventFields = std::vector<std::pair<std::string, std::string>>;

/// Logs and metrics of the process.
class Recorder {
public:
  virtual ~Recorder() = default;
  /// One log line. Never blocks.
  virtual void event(EventName Name, EventFields Fields) = 0;
  /// Adds to the counter of \p Name, such as `orders_lost`.
  virtual void count(const char *Name, int64_t Amount = 1) = 0;
  /// Adds one sample to the distribution of \p Name.
  virtual void time(const char *Name, Duration Length) = 0;
};

enum class StoreOutcome {
  Done,
  Conflict,  ///< A condition did not hold; nothing was done.
  NotFound,  ///< No such key or lease; nothing was done.
  Refused,   ///< Surely nothing was done; may be tried again.
  Unknown,   ///< No answer: done, not done, or done later.
  Compacted, ///< Changes before the revision are no longer available.
  Invalid,   ///< The store does not accept the call.
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
  int64_t Revision = 0; ///< 0: the key does not exist.
  bool Deleted = false; ///< In events only.
};

struct StoreItems {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  std::vector<StoreItem> Items;
  int64_t AtRevision = 0;
};

struct StorePut {
  std::string Key;
  std::string Value;
  int64_t LeaseId = 0; ///< 0: the item stays until it is removed.
};

/// All or nothing. At most `MaxTransactionEntries` entries together.
struct StoreTransaction {
  /// Key and the revision that it must have; 0: must not exist.
  std::vector<std::pair<std::string, int64_t>> Conditions;
  std::vector<StorePut> Puts;
  std::vector<std::string> Removes;
};

constexpr size_t MaxTransactionEntries = 32; ///< Limit of the platform.

struct CommitResult {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  int64_t Revision = 0;
  std::vector<StoreItem> Items; ///< On Conflict: the conditions' items.
};

struct LeaseResult {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  int64_t LeaseId = 0;
  Duration Ttl{0};
};

class Store {
public:
  virtual ~Store() = default;
  /// One item; `NotFound` if it does not exist.
  virtual void read(const std::string &Key, Duration Timeout,
                    std::function<void(StoreItems)> Done) = 0;
  /// All items under \p Prefix, page by page; not a snapshot. `AtRevision` is
  /// that of the first page.
  virtual void list(const std::string &Prefix, Duration Timeout,
                    std::function<void(StoreItems)> Done) = 0;
  /// Changes under \p Prefix after \p Revision; waits up to \p Wait for one.
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

/// What an endpoint says about itself in the discovery list.
struct EndpointInfo {
  EndpointId Id;
  protocol::Address Address;
  std::string DataCentre;
  std::string Service;
  bool Draining = false;
  Resources Capacity;
  std::vector<std::string> Labels;
  int64_t IncarnationMs = 0; ///< Start of this life, ms since 1970.
};

enum class EndpointOutcome {
  Done,
  StaleToken, ///< A higher fencing token was seen; nothing was done.
  Superseded, ///< The attempt is not newer than an ended one.
  TooLate,    ///< The lease time had passed.
  NoRoom,
  TicketRefused,
  Invalid,
  Unavailable,      ///< Surely nothing was done.
  WrongIncarnation, ///< Another incarnation answered; nothing was done.
  Unknown,          ///< No answer: done, not done, or done later.
};

constexpr std::array<EnumName<EndpointOutcome>, 10> EndpointOutcomeNames = {{
    {EndpointOutcome::Done, "done"},
    {EndpointOutcome::StaleToken, "stale_token"},
    {EndpointOutcome::Superseded, "superseded"},
    {EndpointOutcome::TooLate, "too_late"},
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
  int64_t LeaseUntilMs = 0; ///< On the endpoint's clock.
  int64_t FencingToken = 0; ///< Fencing token.
  std::string Checkpoint;   ///< Empty: starts from the beginning.
  std::string Ticket;       ///< Empty: the queue needs none.
};

/// How a run ended.
enum class RunOutcome {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  GangBroken,
  GangTimedOut
};

/// A task at work. For a serving task `LoadMetric` is the tail of its response
/// times in ms, for others the processors in use in thousandths.
struct ActiveRun {
  TaskKey Task;
  int64_t Attempt = 0;
  std::string Checkpoint;
  int32_t ProgressPercent = 0;
  int64_t LoadMetric = 0;
};

struct EndedRun {
  int64_t Number = 0; ///< Rises within one life of the endpoint.
  TaskKey Task;
  int64_t Attempt = 0;
  RunOutcome Outcome = RunOutcome::Failed;
  std::string Checkpoint;
};

struct RenewRequest {
  int64_t FencingToken = 0;
  int64_t AcknowledgedEnd = 0; ///< Ends up to this number are forgotten.
  int64_t LeaseUntilMs = 0;    ///< On the endpoint's clock; 0: unchanged.
  Duration Wait{0};            ///< The answer waits this long for an end.
};

struct RenewResult {
  EndpointOutcome Outcome = EndpointOutcome::Unknown;
  int64_t ClockMs = 0;
  int64_t IncarnationMs = 0;
  std::vector<ActiveRun> Running;
  std::vector<EndedRun> Ends;
};

struct EndpointResult {
  EndpointOutcome Outcome = EndpointOutcome::Unknown;
  int64_t ClockMs = 0; ///< 0: not told.
};

class Endpoints {
public:
  virtual ~Endpoints() = default;
  virtual void start(const EndpointInfo &To, const StartRequest &Order,
                     std::function<void(EndpointResult)> Done) = 0;
  virtual void stop(const EndpointInfo &To, const TaskKey &Task,
                    int64_t Attempt, int64_t FencingToken,
                    std::function<void(EndpointResult)> Done) = 0;
  virtual void renew(const EndpointInfo &To, const RenewRequest &Order,
                     std::function<void(RenewResult)> Done) = 0;
  /// Limits the share of its processors that a task may use, in percent.
  virtual void setCpuLimit(const EndpointInfo &To, const TaskKey &Task,
                           int64_t Attempt, int32_t Percent,
                           int64_t FencingToken,
                           std::function<void(EndpointResult)> Done) = 0;
};

/// A step whose placement the advisory service decides.
struct StepKey {
  JobId Job;
  int32_t Occurrence = 0;
  int32_t Step = 0;

  friend bool operator<(const StepKey &A, const StepKey &B) {
    return std::tie(A.Job, A.Occurrence, A.Step) <
           std::tie(B.Job, B.Occurrence, B.Step);
  }
};

enum class AdviceOutcome { Answered, Busy, Unknown };

struct Advice {
  AdviceOutcome Outcome = AdviceOutcome::Unknown;
  std::vector<std::pair<EndpointId, std::string>> Tickets;
  Duration Validity{0};
};

class Advisor {
public:
  virtual ~Advisor() = default;
  /// Asks through process \p Through; an empty address: from this process.
  virtual void ask(const protocol::Address &Through, const StepKey &Step,
                   const std::vector<EndpointId> &Candidates, Duration Timeout,
                   std::function<void(Advice)> Done) = 0;
};

} // namespace teaselwalk::cell
