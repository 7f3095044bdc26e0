#include "convert.hpp"

#include "teaselwalk/base/overloaded.hpp"
#include <utility>

namespace teaselwalk::entry {
namespace {

const char *messageFor(protocol::Refusal Reason) {
  switch (Reason) {
  case protocol::Refusal::UnknownKey:
    return "no valid team key";
  case protocol::Refusal::NotFound:
    return "no such job of this team";
  case protocol::Refusal::StoreUnavailable:
    return "the record of the job cannot be read or written at present";
  default:
    return "";
  }
}

} // namespace

engine::Event toEvent(const callers::CallerEvent &Value) {
  return std::visit(
      Overloaded{[](const callers::CallReceived &E) -> engine::Event {
                   return engine::CallReceived{E.Id, E.Call};
                 },
                 [](const callers::JobReceived &E) -> engine::Event {
                   return engine::JobReceived{E.Id, E.Job};
                 },
                 [](const callers::JobQuery &E) -> engine::Event {
                   return engine::JobQuery{E.Id, E.Key, E.Job};
                 },
                 [](const callers::JobCancel &E) -> engine::Event {
                   return engine::JobCancel{E.Id, E.Key, E.Job};
                 },
                 [](const callers::StatusQuery &E) -> engine::Event {
                   return engine::StatusQuery{E.Id};
                 }},
      Value);
}

engine::EndpointReply toReply(const endpoints::Answer &Value) {
  return std::visit(
      Overloaded{
          [](const endpoints::Started &) -> engine::EndpointReply {
            return engine::RunStarted{};
          },
          [](const endpoints::NoRoom &) -> engine::EndpointReply {
            return engine::NoRoom{};
          },
          [](const endpoints::Failed &E) -> engine::EndpointReply {
            return engine::CommandFailed{E.State, E.Outcome, {}};
          },
          [](const auto &Message) -> engine::EndpointReply { return Message; }},
      Value);
}

callers::JobAnswer toAnswer(const engine::AnswerJob &Value) {
  callers::JobAnswer Answer;
  Answer.Reason = Value.Reason;
  Answer.Outcome = Value.Outcome;
  Answer.Job = Value.Job;
  Answer.Message = Value.Message;
  return Answer;
}

callers::JobAnswer toAnswer(const engine::AnswerJobStatus &Value) {
  callers::JobAnswer Answer;
  Answer.Reason = Value.Reason;
  Answer.Job = Value.Status.Job;
  if (Value.Reason == protocol::Refusal::None)
    Answer.Status = Value.Status;
  else
    Answer.Message = messageFor(Value.Reason);
  return Answer;
}

engine::EngineOptions toOptions(const settings::Settings &Settings,
                                const ProcessId &Self,
                                const protocol::Address &PeerAddress,
                                uint64_t Seed) {
  const settings::Timing &Times = Settings.Times;
  engine::EngineOptions Options;
  Options.Self = Self;
  Options.DataCentre = Settings.DataCentre;
  Options.PeerAddress = PeerAddress;
  Options.Seed = Seed;
  Options.HeadReadInterval = Times.DocumentRead;
  Options.HeartbeatInterval = Times.Heartbeat;
  Options.StoreTimeout = Times.StoreTimeout;
  Options.EndpointTimeout = Times.EndpointTimeout;
  Options.Ownership.Authority = Times.Authority;
  Options.Ownership.RenewInterval = Times.Renew;
  Options.Ownership.UnreachableAfter = Times.ContactLost;
  Options.Ownership.TaskLease = Times.TaskLease;
  Options.Ownership.AnswerTimeout = Times.EndpointTimeout;
  Options.Scheduling.CheckpointGrace = Times.Reclaim;
  Options.Membership.HeartbeatInterval = Times.Heartbeat;
  Options.Membership.SuspectAfter = Times.Suspect;
  Options.Membership.DeadAfter = Times.Dead;
  Options.Membership.DigestInterval = Times.Digest;
  Options.Freshness.MaxAge = Times.DocumentAge;
  return Options;
}

} // namespace teaselwalk::entry
