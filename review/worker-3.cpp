#include "worker-3.hpp"

#include <algorithm>
#include <chrono>

namespace review {
namespace {

constexpr Duration TickInterval{20};
constexpr Duration ReportInterval{1500};
constexpr Duration LongestWait{2000};
/// `rate_window_ms`: an order on pace takes effect from then on.
constexpr Duration RateWindow{100};
constexpr size_t EndsPerAnswer = 500;
constexpr int64_t FirstClockMs = 100000;

int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Worker::Worker(Deployment &Of, int Number, WorkerOptions Given)
    : Of(Of), Options(std::move(Given)), Ip(Of.workerIp(Number)),
      Born(Of.Host.now()), BornMs(wallMs()) {
  Port = Of.Host.listen(
      Ip, 0, [this](const http::Request &Message, const fakes::Reply &Answer) {
        receive(Message, Answer);
      });
  if (Options.NamedPort)
    Port = Options.NamedPort(Ip, Port);
  tick();
}

bool Worker::holds(const std::string &Task) const {
  return std::any_of(Runs.begin(), Runs.end(),
                     [&](const auto &Row) { return Row.first.first == Task; });
}

void Worker::receive(const http::Request &Message, fakes::Reply Answer) {
  std::string Path = http::pathOf(Message);
  if (Path == "/health")
    return Answer.send({200, "{}"});
  Json Body = Json::parse(Message.Body, nullptr, false);
  if (!Body.is_object())
    return Answer.send({400, Json{{"clock_ms", clockMs()}}.dump()});
  if (Path == "/hold")
    return hold(Body, Answer);
  std::optional<Duration> Late = Lateness ? Lateness(Path) : std::nullopt;
  if (!Late)
    return Answer.send(carryOut(Path, Body));
  Of.Log.add(Options.Id + " leaves unanswered: " + Path + ' ' + Body.dump());
  Unanswered.push_back(std::move(Answer));
  Of.Host.after(*Late, [this, Path, Body] {
    http::Response Result = carryOut(Path, Body);
    Of.Log.add(Options.Id + " has carried out late: " + Path + ' ' +
               Body.dump() + ": " + std::to_string(Result.Status));
    if (OnLate)
      OnLate();
  });
}

http::Response Worker::carryOut(const std::string &Path, const Json &Body) {
  expireLease();
  if (!acceptToken(Body))
    return refuse("fence");
  if (Path == "/run-start")
    return start(Body);
  if (Path == "/run-stop")
    return stop(Body);
  if (Path == "/pace")
    return pace(Body);
  return {400, Json{{"clock_ms", clockMs()}}.dump()};
}

bool Worker::acceptToken(const Json &Body) {
  auto Given = Body.value("fencing_token", int64_t(0));
  if (Given < Token)
    return false;
  Token = Given;
  return true;
}

http::Response Worker::refuse(const char *Reason) const {
  return {409, Json{{"clock_ms", clockMs()}, {"reason", Reason}}.dump()};
}

http::Response Worker::start(const Json &Body) {
  if (Body.at("deadline_ms").get<int64_t>() <= clockMs())
    return refuse("late");
  extendLease(Body);
  std::string Task = Body.at("task");
  int64_t Number = Body.at("run");
  RunKey Key{Task, Number};
  http::Response Accepted{200, Json{{"clock_ms", clockMs()}}.dump()};
  if (Runs.count(Key) != 0)
    return Accepted;
  auto Ended = HighestEnded.find(Task);
  if (Ended != HighestEnded.end() && Number <= Ended->second)
    return refuse("old");
  Run &Started = Runs[Key];
  Started.Task = Task;
  Started.Number = Number;
  Started.Spec = Body.at("spec");
  Started.Since = Of.Host.now();
  Started.PacedAt = Started.Since;
  note(Started, "starts");
  std::optional<Duration> Time = Length ? Length(Started) : std::nullopt;
  if (Time)
    Of.Host.after(*Time, [this, Key] {
      if (Runs.count(Key) != 0)
        finish(Key, "done");
    });
  return Accepted;
}

http::Response Worker::stop(const Json &Body) {
  std::string Task = Body.at("task");
  int64_t Number = Body.at("run");
  int64_t &Highest = HighestEnded[Task];
  Highest = std::max(Highest, Number);
  for (auto &[Key, Each] : Runs)
    if (Key.first == Task && Key.second <= Number &&
        !std::exchange(Each.IsStopping, true))
      Of.Host.after(Options.StopTime, [this, Key = Key] {
        if (Runs.count(Key) != 0)
          finish(Key, "stopped");
      });
  return {200, Json{{"clock_ms", clockMs()}}.dump()};
}

http::Response Worker::pace(const Json &Body) {
  RunKey Key{Body.at("task"), Body.at("run")};
  if (Runs.count(Key) == 0)
    return refuse("old");
  int Percent = Body.at("percent");
  Of.Host.after(RateWindow, [this, Key, Percent] {
    auto Found = Runs.find(Key);
    if (Found == Runs.end())
      return;
    Run &Paced = Found->second;
    TimePoint Now = Of.Host.now();
    Paced.Worked += (Now - Paced.PacedAt) * Paced.Percent / 100;
    Paced.PacedAt = Now;
    Paced.Percent = Percent;
    Of.Log.add(Options.Id + " paces " + Key.first + " at " +
               std::to_string(Percent) + " %");
  });
  return {200, Json{{"clock_ms", clockMs()}}.dump()};
}

int64_t Worker::progressOf(const Run &About) const {
  std::optional<Duration> Whole = Length ? Length(About) : std::nullopt;
  if (!Whole)
    return 100;
  Duration Worked =
      About.Worked + (Of.Host.now() - About.PacedAt) * About.Percent / 100;
  return std::min<int64_t>(99, Worked.count() * 100 / Whole->count());
}

void Worker::hold(const Json &Body, const fakes::Reply &Answer) {
  expireLease();
  if (!acceptToken(Body))
    return fakes::Reply(Answer).send(refuse("fence"));
  extendLease(Body);
  auto Seen = Body.value("last_seen", int64_t(0));
  while (!Ends.empty() && Ends.front().Number <= Seen)
    Ends.erase(Ends.begin());
  Duration Wait(
      std::min(LongestWait.count(), Body.value("wait_ms", Duration::rep(0))));
  if (Wait.count() == 0 || !Ends.empty())
    return fakes::Reply(Answer).send(lists());
  OpenHolds.push_back({Of.Host.now() + Wait, Answer});
}

http::Response Worker::lists() const {
  Json Running = Json::array();
  for (const auto &[Key, Each] : Runs)
    Running.push_back({Key.first, Key.second, "", progressOf(Each),
                       Load ? Load(*this, Each) : 0});
  Json Ended = Json::array();
  for (size_t I = 0; I < Ends.size() && I < EndsPerAnswer; ++I)
    Ended.push_back(
        {Ends[I].Number, Ends[I].Task, Ends[I].Run, Ends[I].How, ""});
  return {200, Json{{"clock_ms", clockMs()},
                    {"born", BornMs},
                    {"running", std::move(Running)},
                    {"ended_runs", std::move(Ended)}}
                   .dump()};
}

void Worker::note(const Run &About, const std::string &What) const {
  if (!IsRecorded || IsRecorded(About))
    Of.Log.add(Options.Id + ' ' + What + ' ' + About.Task + " run " +
               std::to_string(About.Number));
}

void Worker::finish(RunKey Key, const std::string &How) {
  Run Ended = Runs.at(Key);
  Runs.erase(Key);
  int64_t &Highest = HighestEnded[Key.first];
  Highest = std::max(Highest, Key.second);
  Ends.push_back({++LastEnd, Key.first, Key.second, How});
  note(Ended, "ends " + How + ":");
  if (OnEnd)
    OnEnd(Ended, How);
  answerWaiting(true);
}

void Worker::extendLease(const Json &Body) {
  auto Until = Body.value("deadline_ms", int64_t(0));
  Until = std::min(Until, clockMs() + Options.LongestLease.count());
  LeaseUntilMs = std::max(LeaseUntilMs, Until);
}

void Worker::expireLease() {
  if (clockMs() < LeaseUntilMs)
    return;
  while (!Runs.empty())
    finish(Runs.begin()->first, "lapsed");
}

void Worker::answerWaiting(bool HasEnd) {
  std::vector<Waiting> Open;
  for (Waiting &Each : OpenHolds)
    if (HasEnd || Of.Host.now() >= Each.Until)
      Each.Answer.send(lists());
    else
      Open.push_back(std::move(Each));
  OpenHolds = std::move(Open);
}

void Worker::tick() {
  Of.Host.after(TickInterval, [this] { tick(); });
  TimePoint Now = Of.Host.now();
  if (Now - ReportedAt >= ReportInterval)
    report();
  expireLease();
  answerWaiting(false);
}

void Worker::report() {
  ReportedAt = Of.Host.now();
  Of.Store->put(
      "servers/" + Options.Id,
      Json{{"service", Deployment::Service},
           {"address", Ip + ':' + std::to_string(Port)},
           {"zone", Options.Zone},
           {"version", "v1"},
           {"slots", 8},
           {"state", "ready"},
           {"warmup_remaining_ms", 0},
           {"capacity",
            {{"cpu", Options.Cpu}, {"task_memory_mb", 32768}, {"gpu", 0}}},
           {"labels", {"a", Options.Rack}},
           {"clock_ms", clockMs()},
           {"born", BornMs},
           {"sequence", ++Sequence}}
          .dump());
}

int64_t Worker::clockMs() const {
  return FirstClockMs + (Of.Host.now() - Born).count();
}

} // namespace review
