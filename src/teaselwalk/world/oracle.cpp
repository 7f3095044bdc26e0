#include "teaselwalk/world/oracle.hpp"

#include "teaselwalk/config/access.hpp"

#include <algorithm>

namespace teaselwalk::world {
namespace {

/// Until a withdrawn key, a data centre out of service or an endpoint that
/// leaves takes effect (I3, I5, I9).
constexpr Duration CutBound{3000};
/// Until a document is in force (I4, I11).
constexpr Duration DocumentBound{9000};
/// Until a caller is answered, after the deadline of its call.
constexpr Duration AnswerBound{5000};

struct Run {
  std::string Endpoint;
  fakes::RunRecord Record;
  TimePoint End; ///< `TimePoint::max()` while it runs.
};

/// What is checked, with the runs in the order of their starts.
struct Evidence {
  const World &W;
  std::vector<Run> Runs;
  std::vector<Violation> Found;

  void add(int Invariant, std::string Text) {
    Found.push_back({Invariant, std::move(Text)});
  }
};

std::string textOf(TimePoint At) {
  return std::to_string(At.time_since_epoch().count());
}

std::string describe(const Run &Value) {
  return Value.Record.Id.Task.str() + " attempt " +
         std::to_string(Value.Record.Id.Number) + " on " + Value.Endpoint +
         " from " + textOf(Value.Record.Start) + " to " +
         (Value.End == TimePoint::max() ? "now" : textOf(Value.End));
}

Evidence collect(const World &W) {
  Evidence Value{W, {}, {}};
  for (const auto &Row : W.Endpoints)
    for (const fakes::RunRecord &Record : Row.second->log())
      Value.Runs.push_back(
          {Row.first, Record, Record.End.value_or(TimePoint::max())});
  std::stable_sort(Value.Runs.begin(), Value.Runs.end(),
                   [](const Run &A, const Run &B) {
                     return A.Record.Start < B.Record.Start;
                   });
  return Value;
}

/// The documents in the store at some time from \p From to \p Until.
std::vector<const config::Document *>
documentsIn(const World &W, TimePoint From, TimePoint Until) {
  std::vector<const config::Document *> List;
  for (size_t I = 0; I < W.Documents.size(); ++I) {
    bool Began = W.Documents[I].At <= Until;
    bool Ended = I + 1 < W.Documents.size() && W.Documents[I + 1].At < From;
    if (Began && !Ended)
      List.push_back(&W.Documents[I].Content);
  }
  return List;
}

bool isCall(const Run &Value) {
  return Value.Record.Id.Task.str().rfind("call/", 0) == 0;
}

const CallFact *callOf(const World &W, const Run &Value) {
  const std::string &Task = Value.Record.Id.Task.str();
  for (const auto &Row : W.Calls)
    if (Task.rfind("call/" + Row.second.Request.Request.str() + "/", 0) == 0)
      return &Row.second;
  return nullptr;
}

/// Submissions that can have become the job of \p Value.
std::vector<const JobFact *> jobsOf(const World &W, const Run &Value) {
  std::vector<const JobFact *> List;
  auto Place = engine::jobTaskOf(Value.Record.Id.Task);
  if (!Place)
    return List;
  std::string Hash = Place->Job.str().substr(Place->Job.str().rfind('.') + 1);
  for (const auto &Row : W.Jobs)
    for (const char *Team : {"blue", "red"})
      if (engine::requestHash(TeamId(Team), Row.second.Request.Request) == Hash)
        List.push_back(&Row.second);
  return List;
}

// I1, I4: sums over the runs that overlap, at each start.
void checkSums(Evidence &E) {
  for (const Run &Started : E.Runs) {
    TimePoint At = Started.Record.Start;
    Resources OnVm;
    Resources OfTeam;
    for (const Run &Other : E.Runs) {
      if (Other.Record.Start > At || Other.End <= At)
        continue;
      if (Other.Endpoint == Started.Endpoint)
        OnVm += Other.Record.Size;
      if (Other.Record.Team == Started.Record.Team)
        OfTeam += Other.Record.Size;
    }
    if (!fits(OnVm, E.W.capacityOf(Started.Endpoint)))
      E.add(1, "VM over its capacity: " + describe(Started));
    bool Allowed = false;
    for (const auto *Document : documentsIn(E.W, At - DocumentBound, At)) {
      const auto *Team = config::findTeam(*Document, Started.Record.Team);
      Allowed = Allowed || (Team && fits(OfTeam, Team->Limit));
    }
    if (!Allowed)
      E.add(4, "team over its limit: " + describe(Started));
  }
}

// I2, I8: attempts of one task.
void checkAttempts(Evidence &E) {
  std::map<std::string, std::vector<const Run *>> ByTask;
  for (const Run &Value : E.Runs) {
    const CallFact *Call = isCall(Value) ? callOf(E.W, Value) : nullptr;
    ByTask[Call ? Call->Request.Request.str() : Value.Record.Id.Task.str()]
        .push_back(&Value);
  }
  for (const auto &Row : ByTask) {
    const std::vector<const Run *> &Runs = Row.second;
    for (size_t I = 1; I < Runs.size(); ++I)
      for (size_t J = 0; J < I; ++J)
        if (Runs[J]->End > Runs[I]->Record.Start)
          E.add(2, "in two places: " + describe(*Runs[J]) + "; " +
                       describe(*Runs[I]));
    if (Runs.size() < 2)
      continue;
    const CallFact *Call = callOf(E.W, *Runs[0]);
    auto Jobs = jobsOf(E.W, *Runs[0]);
    bool Once = Call ? !Call->Request.Idempotent
                     : !Jobs.empty() && !Jobs[0]->Request.Spec.Idempotent;
    if (Once)
      E.add(8, "non-idempotent ran twice: " + describe(*Runs[0]) + "; " +
                   describe(*Runs[1]));
  }
}

bool acceptable(const World &W, const std::string &Key, const QueueId &Queue,
                const TeamId &Charged, TimePoint SentAt, TimePoint Start) {
  for (const auto *Document : documentsIn(W, SentAt - CutBound, Start)) {
    auto Team = config::chargedTeam(*Document, Queue,
                                    config::authenticate(*Document, Key));
    if (Team && *Team == Charged)
      return true;
  }
  return false;
}

// I3: the key that was sent; I5, I9: where and when a task starts.
void checkStarts(Evidence &E) {
  for (const Run &Value : E.Runs) {
    TimePoint Start = Value.Record.Start;
    const TeamId &Team = Value.Record.Team;
    bool Allowed = false;
    if (const CallFact *Call = callOf(E.W, Value))
      Allowed = acceptable(E.W, Call->Request.Key, Call->Request.Queue, Team,
                           Call->SentAt, Start);
    for (const JobFact *Job : jobsOf(E.W, Value))
      Allowed =
          Allowed || acceptable(E.W, Job->Request.Key, Job->Request.Spec.Queue,
                                Team, Job->SentAt, Start);
    if (!Allowed)
      E.add(3, "no valid key of " + Team.str() + ": " + describe(Value));

    DataCentreId Centre = E.W.centreOf(Value.Endpoint);
    bool InService = false;
    for (const auto *Document : documentsIn(E.W, Start - CutBound, Start)) {
      const auto *Found = config::findDataCentre(*Document, Centre);
      InService =
          InService || (Found && Found->State == config::DataCentreState::In);
    }
    if (!InService)
      E.add(5, "started in " + Centre.str() +
                   ", out of service: " + describe(Value));

    auto Leaves = E.W.Leaves.find(Value.Endpoint);
    if (Leaves != E.W.Leaves.end())
      for (const LeavingFact &Leave : Leaves->second)
        if (Start > Leave.From + CutBound && Start < Leave.Until)
          E.add(9, "endpoint leaves since " + textOf(Leave.From) + ": " +
                       describe(Value));
  }
}

// I6: the answer to each call; I7: "not run" against the runs.
void checkAnswers(Evidence &E) {
  std::set<std::string> Ran;
  for (const Run &Value : E.Runs)
    if (const CallFact *Call = isCall(Value) ? callOf(E.W, Value) : nullptr)
      Ran.insert(Call->Request.Request.str());
  for (const std::string &Request : E.W.AnsweredTwice)
    E.add(6, "answered twice: " + Request);
  for (const auto &Row : E.W.Calls) {
    const CallFact &Call = Row.second;
    const std::string &Request = Call.Request.Request.str();
    const WorldProcess &Process = E.W.Processes[Call.Process];
    bool Lives = Process.Incarnation == Call.Incarnation && !Process.Paused;
    bool IsLate = E.W.now() > Call.SentAt + Call.Request.Deadline + AnswerBound;
    if (!Call.Answer) {
      if (Lives && IsLate)
        E.add(6, "no answer: " + Request + " of " + textOf(Call.SentAt));
      continue;
    }
    bool IsOwn = Call.Answer->Request == Call.Request.Request;
    bool HasResult = Call.Answer->Reason == protocol::Refusal::None;
    if (!IsOwn || (HasResult && Call.Answer->Result != Call.Expected))
      E.add(6, "wrong answer to " + Request + ": " + Call.Answer->Result);
    if (HasResult && Ran.count(Request) == 0)
      E.add(6, "a result without a run: " + Request);
    if (Call.Answer->Outcome == Verdict::NotRun && Ran.count(Request) != 0)
      E.add(7, "told \"not run\" (" + Call.Answer->Message +
                   ") but ran: " + Request);
  }
}

// I7: refused jobs and tasks that ended as "not run".
void checkJobAnswers(Evidence &E) {
  std::set<RequestId> Possible;
  for (const auto &Row : E.W.Jobs)
    if (!Row.second.Answer ||
        Row.second.Answer->Reason == protocol::Refusal::None ||
        Row.second.Answer->Outcome != Verdict::NotRun)
      Possible.insert(Row.second.Request.Request);
  for (const Run &Value : E.Runs)
    for (const JobFact *Job : jobsOf(E.W, Value))
      if (Possible.count(Job->Request.Request) == 0)
        E.add(7, "job refused with \"not run\" (" + Job->Answer->Message +
                     ") but ran: " + describe(Value));
  for (const auto &Row : E.W.StatusAnswers) {
    const protocol::JobStatus &Status = Row.second.Status;
    for (const protocol::TaskStatus &Task : Status.Tasks) {
      bool Claims = Task.State == protocol::TaskState::Failed &&
                    Task.Outcome == Verdict::NotRun;
      TaskId Id = engine::makeTaskId(Status.Job, Task.Index);
      for (const Run &Value : E.Runs)
        if (Claims && Value.Record.Id.Task == Id)
          E.add(7, "task ended as \"not run\" but ran: " + describe(Value));
    }
  }
}

// I10: calls in flight at a planned stop.
void checkStops(Evidence &E) {
  for (const std::string &Request : E.W.Interrupted)
    E.add(10, "a planned stop left without an answer: " + Request);
}

// I11: keys at processes that reach the store, and what operators were told.
void checkDocuments(Evidence &E) {
  for (const auto &Row : E.W.Calls) {
    const CallFact &Call = Row.second;
    bool Judged = Call.Answer && Call.Request.Queue == QueueId("calls") &&
                  Call.SentAt - Call.SoundSince >= DocumentBound;
    if (!Judged)
      continue;
    bool EverValid = false;
    bool AlwaysValid = true;
    for (const auto *Document :
         documentsIn(E.W, Call.SentAt - DocumentBound, Call.AnsweredAt)) {
      bool IsValid =
          config::authenticate(*Document, Call.Request.Key).has_value();
      EverValid = EverValid || IsValid;
      AlwaysValid = AlwaysValid && IsValid;
    }
    bool Refused = Call.Answer->Reason == protocol::Refusal::UnknownKey;
    if ((AlwaysValid && Refused) ||
        (!EverValid && Call.Answer->Outcome == Verdict::Ran))
      E.add(11, "another document in force for " + Call.Request.Request.str() +
                    " of " + textOf(Call.SentAt));
  }
  for (const auto &Row : E.W.Proposals) {
    const auto &Answer = Row.second.Answer;
    if (!Answer || Answer->Outcome != engine::ProposalOutcome::Accepted)
      continue;
    bool Taken = false;
    for (const DocumentFact &Fact : E.W.Documents)
      Taken = Taken || (Fact.Revision == Answer->Revision &&
                        config::serialise(Fact.Content) == Row.second.Text);
    if (!Taken)
      E.add(11, "accepted as revision " + std::to_string(Answer->Revision) +
                    " but not in the store");
  }
}

} // namespace

std::vector<Violation> findViolations(const World &W) {
  Evidence E = collect(W);
  for (auto *Check : {checkSums, checkAttempts, checkStarts, checkAnswers,
                      checkJobAnswers, checkStops, checkDocuments})
    Check(E);
  return E.Found;
}

} // namespace teaselwalk::world
