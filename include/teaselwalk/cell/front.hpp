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

/// A job as its owner or the store shows it.
struct JobQueryResult {
  bool IsAnswered = false; ///< False: nothing is known.
  bool IsKnown = false;    ///< The job exists.
  JobPhase Status = JobPhase::Queued;
  std::string Queue;
  std::string Team;
};

struct PendingQueryResult {
  bool IsAnswered = false;
  int64_t Count = 0;
};

/// Asks the owner, wherever it is.
class OwnerQueries {
public:
  virtual ~OwnerQueries() = default;
  virtual void job(const JobId &Id,
                   std::function<void(JobQueryResult)> Done) = 0;
  virtual void pending(const std::string &Queue,
                       std::function<void(PendingQueryResult)> Done) = 0;
};

struct FrontHooks {
  const DesiredState *Current = nullptr;
  std::function<std::optional<TimePoint>()> ConfirmedAt;
  /// When the store last took a call of this process.
  std::function<TimePoint()> StoreTookAt;
  /// Reads the body of a submission; throws if it is not one.
  std::function<JobSpec(const std::string &Body)> DecodeSubmission;
};

/// Answers callers. A submission is accepted only after its record is stored;
/// a refusal is sent only if the record surely is not and never will be.
class Front {
public:
  Front(Executor &Clock, Store &Source, Recorder &Log, OwnerQueries &Owner,
        Duration KeyRevocation, FrontHooks Hooks);

  void handle(const CallerRequest &Request, const Reply &Answer);

  /// True if this process can check keys and store submissions.
  bool isReady() const { return canCheckKeys() && reachesStore(); }

private:
  struct Context;
  using ContextPtr = std::shared_ptr<Context>;

  /// True if the copy of the configuration is recent enough.
  bool canCheckKeys() const;
  bool reachesStore() const;
  void submit(const ContextPtr &Call, const std::string &Body);
  void store(const ContextPtr &Call, const std::string &Record);
  void onStored(const ContextPtr &Call, const CommitResult &Result);
  /// Sends \p Change, which can be repeated without harm, until the store has
  /// answered or the request's time for it is over.
  void commit(const ContextPtr &Call, const StoreTransaction &Change,
              std::function<void(const CommitResult &)> Done);
  void status(const ContextPtr &Call);
  void statusFromStore(const ContextPtr &Call);
  void cancel(const ContextPtr &Call);
  void markCancelled(const ContextPtr &Call, int64_t JobRevision);
  void pending(const ContextPtr &Call);
  void finish(const ContextPtr &Call, CallerAnswer Answer) const;
  bool isOwnJob(const Context &Call, const std::string &Queue,
                const std::string &Team) const;
  void uncertain(const ContextPtr &Call, const char *Why) const;
  void refuse(const ContextPtr &Call, const char *Why) const;

  Executor &Clock;
  Store &Source;
  Recorder &Log;
  OwnerQueries &Owner;
  const Duration KeyRevocation;
  const FrontHooks Hooks;
  AdaptiveTimeout Timer; ///< Of writes.
};

} // namespace teaselwalk::cell
