#include "teaselwalk/cell/request_handler.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/job_progress.hpp"
#include "teaselwalk/cell/keys.hpp"

#include <algorithm>
#include <utility>

namespace teaselwalk::cell {
namespace {

constexpr Duration ReadTimeout{600};

/// Share of its deadline that a request may spend on the store. The platform
/// charges for requests that fail after half of their deadline.
constexpr double StoreDeadlineShare = 0.45;

/// Callers that are refused are asked to retry after this time.
constexpr Duration RefusalRetryAfter{1000};

/// The store counts as unreachable after this time without an answer, which
/// means that two renewals of the registration in a row have failed.
constexpr Duration StoreContactTimeout{900};

/// Deadline of requests that state none.
constexpr Duration DefaultTimeout{3000};

/// Caller keys are checked against a copy of the configuration whose age is at
/// most this share of the revocation bound. The rest of the bound covers
/// requests in flight and changes that a watch misses.
constexpr double MaxKeyAgeShare = 0.55;

constexpr size_t JobIdLength = 16;

bool isJobId(const std::string &Text) {
  return Text.size() == JobIdLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
           return std::isxdigit(Letter) != 0;
         });
}

} // namespace

/// A request that has not been answered yet.
struct RequestHandler::Context {
  CallerRequest Request;
  AnswerCallback Answer;
  std::string Queue;
  std::string Team;
  QueuePolicy Policy;
  JobId Id;
  TimePoint StoreDeadline; ///< Writes to the store are given up then.
  int64_t ConfigVersion = 0;
  Duration ConfigAge{0};
  bool IsPublic = false;    ///< The queue accepts callers without a key.
  bool MayBeStored = false; ///< The store did not answer one of the writes.
  int Attempts = 0;         ///< Number of writes sent.
};

RequestHandler::RequestHandler(Executor &Clock, Store &Storage, Recorder &Log,
                               OwnerQueries &Queries, Duration KeyRevocation,
                               RequestHandlerHooks Hooks)
    : Clock(Clock), Storage(Storage), Log(Log), Queries(Queries),
      KeyRevocation(KeyRevocation), Hooks(std::move(Hooks)) {}

bool RequestHandler::canReachStore() const {
  return Clock.now() - Hooks.StoreReachedAt() < StoreContactTimeout;
}

bool RequestHandler::canCheckKeys() const {
  auto Confirmed = Hooks.ConfigConfirmedAt();
  auto MaxAge = Duration(static_cast<int64_t>(
      MaxKeyAgeShare * static_cast<double>(KeyRevocation.count())));
  return Hooks.Desired->Config.Version > 0 && Confirmed &&
         Clock.now() - *Confirmed < MaxAge;
}

void RequestHandler::handle(const CallerRequest &Request,
                            const AnswerCallback &Answer) {
  auto Call = std::make_shared<Context>();
  Call->Request = Request;
  Call->Request.Body.clear();
  Call->Answer = Answer;
  Duration Timeout =
      Request.Timeout.count() > 0 ? Request.Timeout : DefaultTimeout;
  Call->StoreDeadline =
      Request.ArrivedAt +
      Duration(static_cast<int64_t>(StoreDeadlineShare *
                                    static_cast<double>(Timeout.count())));
  const Configuration &Config = Hooks.Desired->Config;
  Call->ConfigVersion = Config.Version;
  auto Confirmed = Hooks.ConfigConfirmedAt();
  Call->ConfigAge = Confirmed ? Clock.now() - *Confirmed : Duration(-1);
  // Parsed early, so that the log names the job even if the request is refused
  // before its queue is known.
  std::string Last = Request.Path.substr(Request.Path.rfind('/') + 1);
  if (isJobId(Last))
    Call->Id = JobId(Last);
  if (!canCheckKeys())
    return refuse(Call, "the configuration is not confirmed");
  const Queue *MatchedQueue = Config.findQueue(Request.Host, Request.Path);
  if (MatchedQueue == nullptr)
    return finish(Call, {RequestOutcome::NoQueue, "no such queue"});
  Call->Queue = MatchedQueue->Name;
  Call->Policy = MatchedQueue->Policy;
  Call->IsPublic = MatchedQueue->IsPublic;
  const Team *CallerTeam = Config.teamOfKey(Request.Key);
  if (CallerTeam == nullptr && !MatchedQueue->IsPublic)
    return finish(Call, {RequestOutcome::KeyUnknown, "unknown key"});
  Call->Team = CallerTeam == nullptr ? "" : CallerTeam->Name;
  std::string Rest = Request.Path.substr(MatchedQueue->PathPrefix.size());
  if (Request.Action == CallerAction::Pending) {
    if (!Rest.empty())
      return finish(Call, {RequestOutcome::NoQueue, "no such path"});
    return pending(Call);
  }
  if (!isJobId(Rest))
    return finish(Call, {RequestOutcome::Malformed,
                         "a job id has 16 hexadecimal digits"});
  Call->Id = JobId(Rest);
  bool IsWrite = Request.Action == CallerAction::Submit ||
                 Request.Action == CallerAction::Cancel;
  // Refuse at once: the caller may reach the store through another process.
  if (IsWrite && !canReachStore())
    return refuse(Call, "the store is unreachable");
  if (Request.Action == CallerAction::Submit)
    return submit(Call, Request.Body);
  if (Request.Action == CallerAction::Status)
    return status(Call);
  if (Request.Action == CallerAction::Cancel)
    return cancel(Call);
  finish(Call, {RequestOutcome::Malformed, "unknown method"});
}

void RequestHandler::submit(const ContextPtr &Call, const std::string &Body) {
  JobSpec Job;
  std::string Record;
  if (static_cast<int64_t>(Body.size()) >
      Hooks.Desired->Config.Limits.MaxBodyBytes)
    return finish(Call, {RequestOutcome::Malformed, "the body is too large"});
  try {
    Job = Hooks.DecodeSubmission(Body);
    Job.Id = Call->Id;
    Job.Queue = Call->Queue;
    Job.Team = Call->Team;
    Job.Policy = Call->Policy;
    Job.AcceptedMs = Clock.wallMillis();
    validate(Job);
    if (Job.tasksPerOccurrence() > MaxTasksPerOccurrence)
      throw Error("the steps have " + std::to_string(Job.tasksPerOccurrence()) +
                  " tasks, at most " + std::to_string(MaxTasksPerOccurrence) +
                  " are allowed");
    Record = encodeJob(Job);
    if (Record.size() > Hooks.MaxRecordBytes)
      throw Error("the record of the job has " + std::to_string(Record.size()) +
                  " bytes, the store takes at most " +
                  std::to_string(Hooks.MaxRecordBytes));
  } catch (const std::exception &Failure) {
    return finish(Call, {RequestOutcome::Malformed, Failure.what()});
  }
  storeJob(Call, Record);
}

void RequestHandler::storeJob(const ContextPtr &Call,
                              const std::string &Record) {
  StoreTransaction Change;
  // A mark of a cancellation keeps out attempts that the store carries out
  // after the cancellation was acknowledged.
  Change.Conditions = {{jobKey(Call->Id), 0}, {cancelKey(Call->Id), 0}};
  Change.Puts = {{jobKey(Call->Id), Record, 0}};
  commit(Call, Change,
         [this, Call](const CommitResult &Result) { onStored(Call, Result); });
}

void RequestHandler::commit(const ContextPtr &Call,
                            const StoreTransaction &Change,
                            std::function<void(const CommitResult &)> Done) {
  TimePoint Sent = Clock.now();
  Duration Left = Call->StoreDeadline - Sent;
  if (Left.count() <= 0)
    return Done(
        {Call->MayBeStored ? StoreOutcome::Unknown : StoreOutcome::Refused});
  Storage.commit(
      Change, std::min(Left, Timer.timeout(Call->Attempts++)),
      [this, Call, Change, Sent,
       Done = std::move(Done)](const CommitResult &Result) {
        Duration Took = Clock.now() - Sent;
        bool IsAnswered = Result.Outcome != StoreOutcome::Unknown;
        if (IsAnswered)
          Timer.recordAnswer(Took);
        Call->MayBeStored |= !IsAnswered;
        bool IsUnsettled =
            !IsAnswered || Result.Outcome == StoreOutcome::Refused;
        if (!IsUnsettled || !Call->MayBeStored)
          return Done(Result);
        // An unanswered attempt may still take effect, so a refusal of a later
        // one does not settle the request. Retry for a conclusive answer.
        Clock.after(AdaptiveTimeout::pauseAfter(Took),
                    [this, Call, Change, Done] { commit(Call, Change, Done); });
      });
}

void RequestHandler::onStored(const ContextPtr &Call,
                              const CommitResult &Result) {
  switch (Result.Outcome) {
  case StoreOutcome::Done:
    return finish(Call, {RequestOutcome::Done, "stored"});
  case StoreOutcome::Unknown:
    return answerUncertain(Call, "the store did not answer");
  case StoreOutcome::Conflict:
    return onStoreConflict(Call, Result);
  case StoreOutcome::Invalid:
    // No attempt can have taken effect, and none ever will.
    return finish(Call, {RequestOutcome::Malformed,
                         "the store rejects the record as invalid"});
  default:
    break;
  }
  if (Call->MayBeStored)
    return answerUncertain(Call, "an earlier write may still take effect");
  refuse(Call, "the store refused the write");
}

void RequestHandler::onStoreConflict(const ContextPtr &Call,
                                     const CommitResult &Result) {
  if (const StoreItem *Item = Result.itemOf(jobKey(Call->Id))) {
    try {
      JobSpec Stored = decodeJob(Call->Id, Item->Value);
      if (mayAccess(*Call, Stored.Queue, Stored.Team))
        return finish(Call, {RequestOutcome::Done, "already stored"});
    } catch (const Error &Failure) {
      Log.event(EventName::RecordMalformed,
                {{"job", Call->Id.str()}, {"reason", Failure.what()}});
    }
    return finish(Call, {RequestOutcome::Malformed, "the job id is in use"});
  }
  if (Result.itemOf(cancelKey(Call->Id)) != nullptr)
    return finish(Call, {RequestOutcome::NoJob,
                         "the job was cancelled before it was stored"});
  answerUncertain(
      Call, "the store reported a conflict without the conflicting record");
}

void RequestHandler::status(const ContextPtr &Call) {
  Queries.job(Call->Id, [this, Call](const JobQueryResult &Found) {
    // The owner may not have loaded a new job yet.
    if (!Found.IsAnswered || !Found.IsKnown)
      return statusFromStore(Call);
    if (!mayAccess(*Call, Found.Queue, Found.Team))
      return finish(Call, {RequestOutcome::NoJob, "no such job in this queue"});
    CallerAnswer Answer{RequestOutcome::Done, "owner"};
    Answer.State = Found.Status;
    finish(Call, Answer);
  });
}

void RequestHandler::statusFromStore(const ContextPtr &Call) {
  Storage.read(
      jobKey(Call->Id), ReadTimeout, [this, Call](const StoreItems &R) {
        if (R.Outcome == StoreOutcome::NotFound)
          return finish(Call, {RequestOutcome::NoJob, "no such job"});
        if (R.Outcome != StoreOutcome::Done)
          return answerUncertain(Call, "the store did not answer");
        JobSpec Job;
        try {
          Job = decodeJob(Call->Id, R.Items.front().Value);
        } catch (const Error &Failure) {
          Log.event(EventName::RecordMalformed,
                    {{"job", Call->Id.str()}, {"reason", Failure.what()}});
          return answerUncertain(Call, "the record cannot be read");
        }
        if (!mayAccess(*Call, Job.Queue, Job.Team))
          return finish(Call,
                        {RequestOutcome::NoJob, "no such job in this queue"});
        Storage.read(
            stateKey(Call->Id), ReadTimeout,
            [this, Call, Job](const StoreItems &State) {
              bool HasState = State.Outcome == StoreOutcome::Done;
              if (!HasState && State.Outcome != StoreOutcome::NotFound)
                return answerUncertain(Call, "the store did not answer");
              CallerAnswer Answer{RequestOutcome::Done, "store"};
              try {
                JobProgress Progress(Job);
                if (HasState)
                  Progress.restore(State.Items.front().Value);
                Answer.State = Progress.Status;
                if (!Progress.isEnded())
                  Answer.State = Progress.mayHaveStarted() ? JobPhase::Running
                                                           : JobPhase::Queued;
              } catch (const Error &Failure) {
                Log.event(
                    EventName::RecordMalformed,
                    {{"job", Call->Id.str()}, {"reason", Failure.what()}});
                return answerUncertain(Call, "the record cannot be read");
              }
              finish(Call, Answer);
            });
      });
}

void RequestHandler::cancel(const ContextPtr &Call) {
  Storage.read(jobKey(Call->Id), ReadTimeout,
               [this, Call](const StoreItems &R) {
                 if (R.Outcome == StoreOutcome::NotFound)
                   return preventJob(Call);
                 if (R.Outcome != StoreOutcome::Done)
                   return answerUncertain(Call, "the store did not answer");
                 cancelStored(Call, R.Items.front());
               });
}

void RequestHandler::cancelStored(const ContextPtr &Call,
                                  const StoreItem &Item) {
  try {
    JobSpec Job = decodeJob(Call->Id, Item.Value);
    if (!mayAccess(*Call, Job.Queue, Job.Team))
      return finish(Call, {RequestOutcome::NoJob, "no such job in this queue"});
  } catch (const Error &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"job", Call->Id.str()}, {"reason", Failure.what()}});
    return answerUncertain(Call, "the record cannot be read");
  }
  markCancelled(Call, Item.Revision);
}

void RequestHandler::preventJob(const ContextPtr &Call) {
  StoreTransaction Change;
  Change.Conditions = {{jobKey(Call->Id), 0}};
  Change.Puts = {{cancelKey(Call->Id), "{}", 0}};
  commit(Call, Change, [this, Call](const CommitResult &Result) {
    if (Result.Outcome == StoreOutcome::Done)
      return finish(Call, {RequestOutcome::NoJob, "no such job"});
    // The job was stored meanwhile.
    const StoreItem *Item = Result.itemOf(jobKey(Call->Id));
    if (Result.Outcome == StoreOutcome::Conflict && Item != nullptr)
      return cancelStored(Call, *Item);
    answerUncertain(Call, "the store did not answer");
  });
}

void RequestHandler::markCancelled(const ContextPtr &Call,
                                   int64_t JobRevision) {
  StoreTransaction Change;
  Change.Conditions = {{jobKey(Call->Id), JobRevision}};
  Change.Puts = {{cancelKey(Call->Id), "{}", 0}};
  commit(Call, Change, [this, Call](const CommitResult &Result) {
    if (Result.Outcome == StoreOutcome::Done)
      return finish(Call, {RequestOutcome::Done, "cancelled"});
    if (Result.Outcome == StoreOutcome::Conflict)
      return finish(Call, {RequestOutcome::NoJob, "no such job"});
    answerUncertain(Call, "the store did not answer");
  });
}

void RequestHandler::pending(const ContextPtr &Call) {
  Queries.pending(Call->Queue, [this, Call](const PendingQueryResult &Found) {
    if (!Found.IsAnswered)
      return refuse(Call, "the owner did not answer");
    CallerAnswer Answer{RequestOutcome::Done, "owner"};
    Answer.Pending = Found.Count;
    finish(Call, Answer);
  });
}

bool RequestHandler::mayAccess(const Context &Call, const std::string &Queue,
                               const std::string &Team) const {
  return Call.Queue == Queue && (Call.IsPublic || Team == Call.Team);
}

void RequestHandler::answerUncertain(const ContextPtr &Call,
                                     const char *Why) const {
  finish(Call, {RequestOutcome::Uncertain, Why});
}

void RequestHandler::refuse(const ContextPtr &Call, const char *Why) const {
  CallerAnswer Answer{RequestOutcome::Refused, Why};
  Answer.RetryAfter = RefusalRetryAfter;
  finish(Call, Answer);
}

void RequestHandler::finish(const ContextPtr &Call, CallerAnswer Answer) const {
  Duration Spent = Clock.now() - Call->Request.ArrivedAt;
  Log.time("caller_answer", Spent);
  Log.event(
      EventName::CallerAnswered,
      {{"action", std::string(nameOf(CallerActionNames, Call->Request.Action))},
       {"job", Call->Id.str()},
       {"queue", Call->Queue},
       {"team", Call->Team},
       {"outcome", std::string(nameOf(RequestOutcomeNames, Answer.Kind))},
       {"reason", Answer.Reason},
       {"config", std::to_string(Call->ConfigVersion)},
       {"config_age_ms", std::to_string(Call->ConfigAge.count())},
       {"took_ms", std::to_string(Spent.count())}});
  Call->Answer(Answer);
}

} // namespace teaselwalk::cell
