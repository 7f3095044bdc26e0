#include "teaselwalk/engine/engine.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/config/access.hpp"
#include "teaselwalk/engine/durable_write.hpp"
#include "teaselwalk/engine/record.hpp"

#include <utility>

/// Jobs: acceptance, status and cancellation. A job that another process owns
/// is read and cancelled through its record in the store.
namespace teaselwalk::engine {

using protocol::Refusal;
using protocol::StoreReply;
using protocol::StoreStatus;

/// A job submission that has not been answered yet.
struct Engine::JobSubmission {
  RequestToken From = 0;
  RequestId Request;
  Job Value;
};

void Engine::refuseJob(RequestToken From, const JobId &Id, Refusal Reason,
                       Verdict Outcome, std::string Message) {
  ++RefusedRequests;
  Commands.emit(
      RecordEvent{EventName::RequestRefused,
                  {{"job", Id.str()},
                   {"reason", std::string(protocol::rowOf(Reason).Name)}}});
  Commands.emit(AnswerJob{From, Id, Reason, Outcome, std::move(Message)});
}

void Engine::on(const JobReceived &Event, TimePoint Now) {
  const protocol::JobSpec &Spec = Event.Job.Spec;
  TeamId Team;
  std::string Message;
  Refusal Reason = checkAccess(Event.Job.Key, Spec.Queue, Now, Team, Message);
  if (Reason != Refusal::None)
    return refuseJob(Event.From, {}, Reason, Verdict::NotRun, Message);
  ShardController *Controller = controllerWithMostRoom(Now);
  if (!Controller)
    return refuseJob(Event.From, {}, Refusal::Overloaded, Verdict::NotRun,
                     "this process holds no shard");
  schedule::Admission Check = Controller->checkJob(Team, Spec);
  if (!Check)
    return refuseJob(Event.From, {}, Check.Reason, Verdict::NotRun,
                     Check.Message);
  auto Request = std::make_shared<JobSubmission>();
  Request->From = Event.From;
  Request->Request = Event.Job.Request;
  JobId Id = makeJobId(Controller->status(Now).Shard, Team, Event.Job.Request);
  Request->Value = makeJob(Id, Team, Spec);
  claimRequestId(Request);
}

void Engine::claimRequestId(const std::shared_ptr<JobSubmission> &Request) {
  const Job &Value = Request->Value;
  writeDurably(Commands, requestClaimKey(Value.Team, Request->Request),
               Value.Id.str(), 0, Options.StoreTimeout,
               [this, Request](const WriteResult &Result, TimePoint) {
                 switch (Result.Outcome) {
                 case WriteOutcome::Applied:
                   return writeJob(Request);
                 case WriteOutcome::Conflict:
                   // An earlier submission chose the job id, and with it the
                   // shard. Record the job under that id.
                   Request->Value.Id = JobId(Result.Value);
                   return writeJob(Request);
                 case WriteOutcome::NotApplied:
                 case WriteOutcome::Unknown:
                   // The job cannot run without its record, even if the claim
                   // was written.
                   return refuseJob(Request->From, Request->Value.Id,
                                    Refusal::StoreUnavailable, Verdict::NotRun,
                                    "the job cannot be recorded at present");
                 }
               });
}

void Engine::writeJob(const std::shared_ptr<JobSubmission> &Request) {
  const Job &Value = Request->Value;
  writeDurably(
      Commands, jobKey(Value.Id), encodeJob(Value), 0, Options.StoreTimeout,
      [this, Request](const WriteResult &Result, TimePoint Now) {
        Job &Accepted = Request->Value;
        switch (Result.Outcome) {
        case WriteOutcome::Applied:
          Accepted.Version = Result.Version;
          if (ShardController *Controller = localOwnerOf(Accepted.Id, Now))
            Controller->addJob(Accepted, Now);
          break;
        case WriteOutcome::Conflict: // An earlier submission recorded the job.
          break;
        case WriteOutcome::NotApplied:
          return refuseJob(Request->From, Accepted.Id,
                           Refusal::StoreUnavailable, Verdict::NotRun,
                           "the job cannot be recorded at present");
        case WriteOutcome::Unknown:
          return refuseJob(
              Request->From, Accepted.Id, Refusal::StoreUnavailable,
              Verdict::MayHaveRun,
              "the job may have been recorded; ask for its status or submit "
              "it again with the same request id");
        }
        Commands.emit(AnswerJob{
            Request->From, Accepted.Id, Refusal::None, Verdict::NotRun, {}});
      });
}

ShardController *Engine::localOwnerOf(const JobId &Id, TimePoint Now) {
  auto Home = homeShardOf(Id);
  if (!Home || Home->DataCentre != Options.DataCentre)
    return nullptr;
  auto Found = Controllers.find(Home->Number);
  if (Found == Controllers.end() || !Found->second->hasAuthority(Now))
    return nullptr;
  return Found->second.get();
}

void Engine::on(const JobQuery &Event, TimePoint Now) {
  auto Team = config::authenticate(Follower.document(), Event.Key);
  if (!Team) {
    Commands.emit(AnswerJobStatus{Event.From, Refusal::UnknownKey, {}});
    return;
  }
  ShardController *Controller = localOwnerOf(Event.Job, Now);
  const Job *Found = Controller ? Controller->findJob(Event.Job) : nullptr;
  if (!Found)
    return statusFromStore(Event, *Team);
  if (Found->Team != *Team) {
    Commands.emit(AnswerJobStatus{Event.From, Refusal::NotFound, {}});
    return;
  }
  Commands.emit(AnswerJobStatus{Event.From, Refusal::None, statusOf(*Found)});
}

namespace {

/// Applies the ended tasks in \p Batches that belong to \p Value.
void applyBatches(Job &Value,
                  const std::vector<protocol::StoreEntry> &Batches) {
  for (const protocol::StoreEntry &Entry : Batches)
    for (const CompletedTask &Item : decodeCompletions(Entry.Value)) {
      if (Item.Job != Value.Id || Item.Index >= Value.Tasks.size())
        continue;
      applyCompletion(Value.Tasks[Item.Index], Item);
    }
}

} // namespace

void Engine::readRecordedJob(const JobId &Id, const TeamId &Team,
                             std::function<void(Refusal, const Job &)> Then) {
  if (!homeShardOf(Id))
    return Then(Refusal::NotFound, {});
  protocol::StoreRequest Read;
  Read.Key = jobKey(Id);
  Commands.callStore(
      std::move(Read), Options.StoreTimeout,
      [this, Key = jobKey(Id), Team,
       Then = std::move(Then)](const StoreReply &Reply, TimePoint) {
        if (Reply.Status == StoreStatus::NotFound)
          return Then(Refusal::NotFound, {});
        if (Reply.Status != StoreStatus::Ok)
          return Then(Refusal::StoreUnavailable, {});
        Job Value;
        try {
          Value = decodeJob(Reply.Value, Reply.Version);
        } catch (const Error &Failure) {
          // One malformed record must not end the process.
          Commands.emit(RecordEvent{EventName::RecordMalformed,
                                    {{"key", Key}, {"why", Failure.what()}}});
          return Then(Refusal::StoreUnavailable, {});
        }
        Then(Value.Team == Team ? Refusal::None : Refusal::NotFound, Value);
      });
}

void Engine::statusFromStore(const JobQuery &Event, const TeamId &Team) {
  auto Answer = [this, From = Event.From](Refusal Reason,
                                          protocol::JobStatus Status) {
    Commands.emit(AnswerJobStatus{From, Reason, std::move(Status)});
  };
  auto Finish = [this, Answer](Job Recorded, const StoreReply &Batches) {
    if (Batches.Status != StoreStatus::Ok)
      return Answer(Refusal::StoreUnavailable, {});
    for (JobTask &Row : Recorded.Tasks)
      Row.State = protocol::TaskState::Unknown;
    try {
      applyBatches(Recorded, Batches.Entries);
    } catch (const Error &Failure) {
      Commands.emit(
          RecordEvent{EventName::RecordMalformed,
                      {{"job", Recorded.Id.str()}, {"why", Failure.what()}}});
      return Answer(Refusal::StoreUnavailable, {});
    }
    protocol::JobStatus Status = statusOf(Recorded);
    Status.Reason = "as recorded in the store; another process owns the shard";
    Answer(Refusal::None, std::move(Status));
  };
  // Uses the id in the request, because the id in a stored record is not
  // checked and may be wrong.
  auto Home = homeShardOf(Event.Job);
  if (!Home)
    return Answer(Refusal::NotFound, {});
  readRecordedJob(Event.Job, Team,
                  [this, Answer, Finish, Prefix = completionPrefix(*Home)](
                      Refusal Reason, const Job &Value) {
                    if (Reason != Refusal::None)
                      return Answer(Reason, {});
                    protocol::StoreRequest List;
                    List.Operation = protocol::StoreOperation::List;
                    List.Key = Prefix;
                    Commands.callStore(
                        std::move(List), Options.StoreTimeout,
                        [Finish, Value](const StoreReply &Batches, TimePoint) {
                          Finish(Value, Batches);
                        });
                  });
}

void Engine::on(const JobCancel &Event, TimePoint Now) {
  auto Team = config::authenticate(Follower.document(), Event.Key);
  if (!Team) {
    Commands.emit(AnswerJobStatus{Event.From, Refusal::UnknownKey, {}});
    return;
  }
  ShardController *Controller = localOwnerOf(Event.Job, Now);
  const Job *Found = Controller ? Controller->findJob(Event.Job) : nullptr;
  if (!Found)
    return cancelInStore(Event.From, Event.Job, *Team);
  if (Found->Team != *Team) {
    Commands.emit(AnswerJobStatus{Event.From, Refusal::NotFound, {}});
    return;
  }
  Controller->cancelJob(
      Event.Job, Now, [this, Controller, Event](bool IsRecorded) {
        const Job *Value = Controller->findJob(Event.Job);
        if (!IsRecorded || !Value) {
          Commands.emit(
              AnswerJobStatus{Event.From, Refusal::StoreUnavailable, {}});
          return;
        }
        Commands.emit(
            AnswerJobStatus{Event.From, Refusal::None, statusOf(*Value)});
      });
}

void Engine::cancelInStore(RequestToken From, const JobId &Id,
                           const TeamId &Team) {
  auto Answer = [this, From](Refusal Reason, protocol::JobStatus Status) {
    Commands.emit(AnswerJobStatus{From, Reason, std::move(Status)});
  };
  readRecordedJob(
      Id, Team, [this, Answer](Refusal Reason, const Job &Recorded) {
        if (Reason != Refusal::None)
          return Answer(Reason, {});
        if (isEnded(Recorded.State))
          return Answer(Refusal::None, statusOf(Recorded));
        Job Value = Recorded;
        Value.State = protocol::JobState::Cancelled;
        writeDurably(Commands, jobKey(Value.Id), encodeJob(Value),
                     Value.Version, Options.StoreTimeout,
                     [Answer, Value](const WriteResult &Result, TimePoint) {
                       if (Result.Outcome != WriteOutcome::Applied)
                         return Answer(Refusal::StoreUnavailable, {});
                       Answer(Refusal::None, statusOf(Value));
                     });
      });
}

} // namespace teaselwalk::engine
