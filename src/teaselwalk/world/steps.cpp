#include "teaselwalk/world/steps.hpp"

#include <algorithm>

namespace teaselwalk::world {
namespace {

using protocol::JobKind;

/// What a step may use beside the world.
struct Course {
  World W;
  std::vector<std::pair<RequestToken, std::string>>
      Submitted; ///< Token, request.

  size_t process(uint32_t Number) const { return Number % W.Processes.size(); }
  std::string endpoint(uint32_t Number) const {
    auto It = W.Endpoints.begin();
    std::advance(It, Number % W.Endpoints.size());
    return It->first;
  }
};

constexpr const char *Keys[] = {"blue-1.secret", "red-1.secret",
                                "blue-2.secret", "blue-1.wrong"};
constexpr int64_t RunTimes[] = {10, 300, 2500, 900};

std::string payloadOf(uint32_t A, uint32_t B) {
  std::string Fail = B % 11 == 10 ? R"(,"fail":true)" : "";
  return R"({"run_ms":)" + std::to_string(RunTimes[A % 4]) +
         R"(,"result":"answer-)" + std::to_string(A) + "-" + std::to_string(B) +
         "\"" + Fail + "}";
}

void doCalls(Course &C, uint32_t A, uint32_t B) {
  for (uint32_t I = 0; I < 1 + B % 8; ++I)
    C.W.call(C.process(A + I), payloadOf(A + I, B), (A + I) % 2 == 0,
             Duration(500 + (B % 4) * 1000), Keys[(A / 7) % 4], "calls");
}

void doOpenCall(Course &C, uint32_t A, uint32_t B) {
  C.W.call(C.process(A), payloadOf(A, B), B % 2 == 0, Duration(1500), "",
           B % 3 == 0 ? "calls" : "open");
}

void submit(Course &C, uint32_t A, uint32_t B, const std::string &Request) {
  protocol::JobSpec Spec;
  Spec.Name = "fuzz";
  Spec.Kind = static_cast<JobKind>(B % 3);
  Spec.Queue = QueueId(Spec.Kind == JobKind::Service ? "watch" : "batch");
  Spec.Tasks = 1 + (A / 3) % (Spec.Kind == JobKind::Gang ? 3 : 12);
  Spec.Size = {500 + (B % 4) * 1000, 1000, 0, 1, 1};
  Spec.RunTime = Duration(Spec.Kind == JobKind::Service ? 0 : 200 + A % 6000);
  Spec.Urgent = A % 5 == 0;
  Spec.Idempotent = (A / 2) % 2 == 0;
  // Half of the tasks run for another time than they declare.
  if (Spec.Kind != JobKind::Service && (B / 4) % 2 == 0)
    Spec.Payload = payloadOf(A, B);
  RequestToken Id = C.W.submit(C.process(A), Spec, Request, Keys[B % 2]);
  C.Submitted.emplace_back(Id, Request);
}

void doSubmit(Course &C, uint32_t A, uint32_t B) {
  submit(C, A, B, "job-" + std::to_string(C.Submitted.size()));
}

void doRepeatSubmit(Course &C, uint32_t A, uint32_t /*B*/) {
  if (C.Submitted.empty())
    return;
  const auto &Earlier = C.Submitted[A % C.Submitted.size()];
  JobFact Fact = C.W.Jobs.at(Earlier.first);
  C.W.submit(C.process(A / 3), Fact.Request.Spec, Earlier.second,
             Fact.Request.Key);
}

void withJob(Course &C, uint32_t A, bool Cancel) {
  if (C.Submitted.empty())
    return;
  const JobFact &Fact = C.W.Jobs.at(C.Submitted[A % C.Submitted.size()].first);
  if (!Fact.Answer || Fact.Answer->Job.empty())
    return;
  size_t Process = C.process(A / 5);
  if (Cancel)
    C.W.cancel(Process, Fact.Answer->Job);
  else
    C.W.query(Process, Fact.Answer->Job);
}

void doCancel(Course &C, uint32_t A, uint32_t) { withJob(C, A, true); }
void doQuery(Course &C, uint32_t A, uint32_t) { withJob(C, A, false); }

void doPause(Course &C, uint32_t A, uint32_t) {
  WorldProcess &Process = C.W.Processes[C.process(A)];
  if (Process.Core && !Process.Paused)
    C.W.pauseProcess(C.process(A));
  else if (Process.Core)
    C.W.resumeProcess(C.process(A));
}

void doKill(Course &C, uint32_t A, uint32_t) {
  if (C.W.Processes[C.process(A)].Core)
    C.W.killProcess(C.process(A));
  else
    C.W.startProcess(C.process(A));
}

void doDrain(Course &C, uint32_t A, uint32_t B) {
  const WorldProcess &Process = C.W.Processes[C.process(A)];
  if (!Process.Core || Process.Paused)
    return;
  C.W.call(C.process(A), payloadOf(2, B), true, Duration(3500));
  C.W.runFor(Duration(20));
  C.W.drainProcess(C.process(A));
}

void doCutStore(Course &C, uint32_t A, uint32_t) {
  bool &Cut = C.W.Processes[C.process(A)].StoreCut;
  Cut = !Cut;
}

void doCutEndpoint(Course &C, uint32_t A, uint32_t B) {
  auto &Cuts = C.W.Processes[C.process(A)].EndpointCuts;
  for (uint32_t I = 0; I < 1 + B % 4; ++I)
    if (Cuts.erase(C.endpoint(B + I)) == 0)
      Cuts.insert(C.endpoint(B + I));
}

void doCutPeers(Course &C, uint32_t A, uint32_t B) {
  WorldProcess &From = C.W.Processes[C.process(A)];
  const std::string &To = C.W.Processes[C.process(A + 1 + B % 3)].Name;
  if (From.PeerCuts.erase(To) == 0)
    From.PeerCuts.insert(To);
}

void doHeal(Course &C, uint32_t, uint32_t) { C.W.heal(); }

void doStoreDown(Course &C, uint32_t, uint32_t) {
  C.W.StoreDown = !C.W.StoreDown;
}

void doLoseAnswers(Course &C, uint32_t A, uint32_t B) {
  C.W.LoseStoreAnswers = static_cast<int>(A % 4);
  C.W.LoseRunAnswers = static_cast<int>(B % 5);
}

void doNoise(Course &C, uint32_t A, uint32_t B) {
  C.W.LatePercent = static_cast<int>(A % 3 * 10);
  C.W.RepeatPercent = static_cast<int>(B % 3 * 10);
}

void doCrash(Course &C, uint32_t A, uint32_t) {
  C.W.crashEndpoint(C.endpoint(A));
}

void doLeave(Course &C, uint32_t A, uint32_t B) {
  C.W.setLeaving(C.endpoint(A), B % 3 != 0);
}

void doGone(Course &C, uint32_t A, uint32_t) {
  // A VM that has left the list runs nothing.
  std::string Name = C.endpoint(A);
  if (C.W.GoneEndpoints.erase(Name) != 0)
    return;
  C.W.crashEndpoint(Name);
  C.W.GoneEndpoints.insert(Name);
}

void doLag(Course &C, uint32_t A, uint32_t) {
  C.W.VmListLag = Duration(A % 3 * 4000);
}

config::Document withChange(config::Document Next, uint32_t A, uint32_t B) {
  switch (B % 4) {
  case 0: { // Withdraw a key, or issue it.
    auto &List = Next.Teams[0].Keys;
    KeyId Wanted(A % 2 == 0 ? "blue-1" : "blue-2");
    auto Found =
        std::find_if(List.begin(), List.end(), [&](const config::TeamKey &Key) {
          return Key.Id == Wanted;
        });
    if (Found != List.end())
      List.erase(Found);
    else
      List.push_back({Wanted, Next.Operators[0].Secret});
    break;
  }
  case 1: {
    int64_t Slots = 4 + A % 5 * 4;
    Next.Teams[(A / 5) % 2].Limit = {Slots * 2000, Slots * 4000, 0, Slots,
                                     Slots};
    break;
  }
  default:
    Next.DataCentres[A % Next.DataCentres.size()].State =
        static_cast<config::DataCentreState>((A / 2) % 3);
  }
  bool AnyIn = std::any_of(Next.DataCentres.begin(), Next.DataCentres.end(),
                           [](const config::DataCentre &Row) {
                             return Row.State == config::DataCentreState::In;
                           });
  if (!AnyIn)
    Next.DataCentres[0].State = config::DataCentreState::In;
  config::indexKeys(Next);
  return Next;
}

void doChange(Course &C, uint32_t A, uint32_t B) {
  C.W.applyDocument(withChange(C.W.document(), A, B));
}

/// Operators at two processes change the same revision.
void doRace(Course &C, uint32_t A, uint32_t B) {
  size_t Base = C.W.Documents.size() - 1;
  for (uint32_t I = 0; I < 1 + B / 4 % 2; ++I)
    C.W.propose(C.process(A + I), Base, withChange(C.W.document(), A + I, B));
}

void doBack(Course &C, uint32_t, uint32_t) {
  config::Document Next = C.W.document();
  for (config::DataCentre &Row : Next.DataCentres)
    Row.State = config::DataCentreState::In;
  C.W.applyDocument(Next);
}

void doWait(Course &C, uint32_t A, uint32_t) {
  C.W.runFor(Duration(2000 + A % 14000));
}

struct KindRow {
  const char *Name;
  uint32_t Weight;
  void (*Do)(Course &, uint32_t A, uint32_t B);
};

constexpr KindRow Kinds[] = {
    {"calls", 12, doCalls},
    {"open_call", 3, doOpenCall},
    {"submit", 8, doSubmit},
    {"repeat_submit", 2, doRepeatSubmit},
    {"cancel", 2, doCancel},
    {"query", 2, doQuery},
    {"pause", 3, doPause},
    {"kill", 2, doKill},
    {"drain", 2, doDrain},
    {"cut_store", 2, doCutStore},
    {"cut_endpoint", 3, doCutEndpoint},
    {"cut_peers", 2, doCutPeers},
    {"heal", 3, doHeal},
    {"store_down", 1, doStoreDown},
    {"lose_answers", 3, doLoseAnswers},
    {"noise", 2, doNoise},
    {"crash", 2, doCrash},
    {"leave", 2, doLeave},
    {"gone", 1, doGone},
    {"lag", 1, doLag},
    {"change", 5, doChange},
    {"race", 3, doRace},
    {"back", 2, doBack},
    {"wait", 5, doWait},
};

const KindRow &kindOf(uint32_t Number) {
  Number %= stepKinds();
  for (const KindRow &Row : Kinds) {
    if (Number < Row.Weight)
      return Row;
    Number -= Row.Weight;
  }
  return Kinds[0];
}

/// Asks for the status of every job, so that the last words are judged too.
void askForAll(Course &C) {
  std::set<JobId> Asked;
  for (const auto &Row : C.W.Jobs)
    if (Row.second.Answer && !Row.second.Answer->Job.empty())
      Asked.insert(Row.second.Answer->Job);
  for (const JobId &Job : Asked)
    for (size_t I = 0; I < C.W.Processes.size(); ++I)
      C.W.query(I, Job);
  C.W.runFor(Duration(500));
}

WorldOptions optionsOf(uint64_t Seed, Sabotage Fault) {
  WorldOptions Options;
  Options.Seed = Seed;
  Options.DataCentres = 2;
  Options.Processes = 4;
  Options.Endpoints = 8;
  Options.Capacity = {4000, 16000, 0, 6, 60};
  Options.TeamLimit = {24000, 48000, 0, 12, 12};
  Options.Fault = Fault;
  return Options;
}

} // namespace

std::ostream &operator<<(std::ostream &Out, const Step &Value) {
  return Out << kindOf(Value.Kind).Name << '(' << Value.A << ", " << Value.B
             << ") +" << Value.GapMs << " ms";
}

uint32_t stepKinds() {
  uint32_t Sum = 0;
  for (const KindRow &Row : Kinds)
    Sum += Row.Weight;
  return Sum;
}

CaseResult runCase(uint64_t Seed, const std::vector<Step> &Steps,
                   Sabotage Fault) {
  Course C{World(optionsOf(Seed, Fault)), {}};
  C.W.runFor(Duration(8000));
  for (const Step &Value : Steps) {
    kindOf(Value.Kind).Do(C, Value.A, Value.B);
    C.W.runFor(Duration(20 + Value.GapMs));
  }
  C.W.heal();
  C.W.runFor(Duration(20000));
  askForAll(C);
  C.W.advanceEndpoints();
  CaseResult Result;
  Result.Found = findViolations(C.W);
  Result.Timeline = C.W.Timeline;
  for (const auto &Row : C.W.Endpoints)
    Result.Runs += Row.second->log().size();
  return Result;
}

} // namespace teaselwalk::world
