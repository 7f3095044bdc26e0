#include "teaselwalk/world/world.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

/// Callers and operators, and what they are told.
namespace teaselwalk::world {

using namespace engine;

namespace {

std::string expectedResult(const std::string &Payload) {
  auto Json = nlohmann::json::parse(Payload, nullptr, false);
  return Json.is_object() ? Json.value("result", "") : Payload;
}

} // namespace

RequestToken World::call(size_t Process, const std::string &Payload,
                         bool Idempotent, Duration Deadline,
                         const std::string &Key, const std::string &Queue) {
  CallReceived Event;
  Event.From = NextToken++;
  Event.Call.Request = RequestId("r" + std::to_string(Event.From));
  Event.Call.Key = Key;
  Event.Call.Queue = QueueId(Queue);
  Event.Call.Size = {1000, 1000, 0, 1, 1};
  Event.Call.Idempotent = Idempotent;
  Event.Call.Deadline = Deadline;
  Event.Call.Payload = Payload;
  CallFact &Fact = Calls[Event.From];
  Fact.Process = Process;
  Fact.Incarnation = Processes[Process].Incarnation;
  Fact.SentAt = Time;
  Fact.SoundSince =
      isSound(Processes[Process]) ? Processes[Process].SoundSince : Time;
  Fact.Request = Event.Call;
  Fact.Expected = expectedResult(Payload);
  RequestToken Id = Event.From;
  give(Process, Event);
  return Id;
}

RequestToken World::submit(size_t Process, protocol::JobSpec Spec,
                           const std::string &Request, const std::string &Key) {
  JobReceived Event;
  Event.From = NextToken++;
  Event.Job.Request = RequestId(Request);
  Event.Job.Key = Key;
  Event.Job.Spec = std::move(Spec);
  Jobs[Event.From] = {Time, Event.Job, std::nullopt};
  RequestToken Id = Event.From;
  give(Process, Event);
  return Id;
}

RequestToken World::query(size_t Process, const JobId &Job) {
  RequestToken Id = NextToken++;
  give(Process, JobQuery{Id, "blue-1.secret", Job});
  return Id;
}

RequestToken World::cancel(size_t Process, const JobId &Job) {
  RequestToken Id = NextToken++;
  give(Process, JobCancel{Id, "blue-1.secret", Job});
  return Id;
}

std::map<std::string, std::vector<fakes::RunRecord>> World::runs() const {
  std::map<std::string, std::vector<fakes::RunRecord>> All;
  for (const auto &Row : Endpoints)
    for (const fakes::RunRecord &Record : Row.second->log())
      All[Record.Id.Task.str()].push_back(Record);
  return All;
}

std::vector<std::string> World::overlaps() const {
  std::vector<std::string> Found;
  for (const auto &Row : runs()) {
    std::vector<fakes::RunRecord> Records = Row.second;
    std::sort(Records.begin(), Records.end(),
              [](const fakes::RunRecord &A, const fakes::RunRecord &B) {
                return A.Start < B.Start;
              });
    for (size_t I = 1; I < Records.size(); ++I)
      if (!Records[I - 1].End || *Records[I - 1].End > Records[I].Start)
        Found.push_back(Row.first);
  }
  return Found;
}

void World::propose(size_t Process, size_t Base, const config::Document &Next) {
  ProposalReceived Event;
  Event.From = NextToken++;
  const DocumentFact &From = Documents.at(Base);
  Event.BaseRevision = From.Revision;
  Event.Next = config::nextHead(Heads.at(Base), {From.Revision, From.Content},
                                Next, {"op", 0, "test"});
  Proposals[Event.From].Text = config::serialise(Next);
  give(Process, Event);
}

void World::answer(const AnswerCall &Value) {
  AnswerCall Shown = Value;
  if (Options.Fault == Sabotage::SwapAnswers &&
      Value.Answer.Outcome == Verdict::Ran) {
    if (!HeldAnswer) {
      HeldAnswer = Value;
      return;
    }
    Shown.Answer.Result = HeldAnswer->Answer.Result;
    HeldAnswer->Answer.Result = Value.Answer.Result;
    AnswerCall Other = *HeldAnswer;
    HeldAnswer.reset();
    tell(Other);
  }
  tell(Shown);
}

void World::tell(const AnswerCall &Value) {
  CallFact &Fact = Calls[Value.To];
  if (Fact.Answer)
    AnsweredTwice.push_back(Value.Answer.Request.str());
  Fact.Answer = Value.Answer;
  Fact.AnsweredAt = Time;
  CallAnswers[Value.To] = Value.Answer;
}

} // namespace teaselwalk::world
