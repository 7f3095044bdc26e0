#pragma once

#include "teaselwalk/cell/adaptive_timeout.hpp"
#include "teaselwalk/cell/caller.hpp"
#include "teaselwalk/cell/configuration.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace teaselwalk::cell {

/// The owner's answer to a query for a job.
struct JobQueryResult {
  bool IsAnswered = false; ///< False: the owner gave no answer.
  bool IsKnown = false;    ///< The owner has loaded the job.
  JobPhase Status = JobPhase::Queued;
  std::string Queue;
  std::string Team;
};

/// The owner's answer to a query for the pending jobs of a queue.
struct PendingQueryResult {
  bool IsAnswered = false; ///< False: the owner gave no answer.
  int64_t Count = 0;
};

/// Queries the owner, in this process or in another one.
class OwnerQueries {
public:
  virtual ~OwnerQueries() = default;
  virtual void job(const JobId &Id,
                   std::function<void(JobQueryResult)> Done) = 0;
  virtual void pending(const std::string &Queue,
                       std::function<void(PendingQueryResult)> Done) = 0;
};

/// What the `RequestHandler` needs from the rest of the process.
struct RequestHandlerHooks {
  const DesiredState *Desired = nullptr;
  /// When the store last confirmed that `Desired` is up to date.
  std::function<std::optional<TimePoint>()> ConfigConfirmedAt;
  /// When the store last carried out a call of this process.
  std::function<TimePoint()> StoreReachedAt;
  /// Decodes the body of a submission; throws if it is malformed.
  std::function<JobSpec(const std::string &Body)> DecodeSubmission;
  size_t MaxRecordBytes = 0; ///< Largest value that the store takes.
};

/// Handles the requests of callers. A submission is accepted only after its
/// record is stored. It is refused only if the record certainly is not stored
/// and never will be.
class RequestHandler {
public:
  RequestHandler(Executor &Clock, Store &Storage, Recorder &Log,
                 OwnerQueries &Queries, Duration KeyRevocation,
                 RequestHandlerHooks Hooks);

  void handle(const CallerRequest &Request, const AnswerCallback &Answer);

  /// True if this process can check caller keys and store submissions.
  bool isReady() const { return canCheckKeys() && canReachStore(); }

private:
  struct Context;
  using ContextPtr = std::shared_ptr<Context>;

  /// True if the copy of the configuration is recent enough.
  bool canCheckKeys() const;
  bool canReachStore() const;
  void submit(const ContextPtr &Call, const std::string &Body);
  void storeJob(const ContextPtr &Call, const std::string &Record);
  void onStored(const ContextPtr &Call, const CommitResult &Result);
  void onStoreConflict(const ContextPtr &Call, const CommitResult &Result);
  /// Commits \p Change, which must be idempotent, and retries until it is
  /// certain whether it took effect or the request's store deadline has passed.
  void commit(const ContextPtr &Call, const StoreTransaction &Change,
              std::function<void(const CommitResult &)> Done);
  void status(const ContextPtr &Call);
  void statusFromStore(const ContextPtr &Call);
  void cancel(const ContextPtr &Call);
  /// Cancels the job if the caller may access it. \p Item is its record.
  void cancelStored(const ContextPtr &Call, const StoreItem &Item);
  /// Marks a job that is not stored as cancelled: a write of its record may
  /// still be under way and take effect after this request is answered.
  void preventJob(const ContextPtr &Call);
  void markCancelled(const ContextPtr &Call, int64_t JobRevision);
  void pending(const ContextPtr &Call);
  void finish(const ContextPtr &Call, CallerAnswer Answer) const;
  bool mayAccess(const Context &Call, const std::string &Queue,
                 const std::string &Team) const;
  void answerUncertain(const ContextPtr &Call, const char *Why) const;
  void refuse(const ContextPtr &Call, const char *Why) const;

  Executor &Clock;
  Store &Storage;
  Recorder &Log;
  OwnerQueries &Queries;
  const Duration KeyRevocation;
  const RequestHandlerHooks Hooks;
  AdaptiveTimeout Timer; ///< Timeouts of writes to the store.
};

} // namespace teaselwalk::cell
