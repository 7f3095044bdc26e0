// A recurring submission and all others.
#include "standin.hpp"

using namespace standin;

namespace {

constexpr const char *Recurring = "5c0e7a21d94b36f8";
/// Every five minutes for four weeks.
constexpr int Repetitions = 8064;
constexpr int64_t IntervalMs = 300000;
constexpr int Width = 64;
constexpr int Others = 6;

Json step(int Count, int64_t Ms) {
  return {{"count", Count},
          {"cpu", 1000},
          {"task_memory_mb", 512},
          {"estimated_ms", Ms}};
}

std::string idOf(int Number) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016x", 0xa000 + Number);
  return Text;
}

} // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  record().open("review/2/record.txt");
  Cluster Deployment;
  if (!Deployment.start(3, 8))
    return finish(NotRun, "the deployment did not come up");
  auto Submit = [&](int Number) {
    Json Body = {{"spec", Json{{"ms", 500}}.dump()},
                 {"steps", Json::array({step(4, 500)})}};
    return Deployment.noted("POST", idOf(Number), Body.dump(),
                            static_cast<size_t>(Number % 3));
  };
  Submit(0);
  if (!waitFor(5000, [&] { return Deployment.state(idOf(0)) == "completed"; }))
    return finish(NotRun, "a first submission was not done");
  if (hasTrouble()) {
    Json Body = {{"spec", Json{{"ms", 500}}.dump()},
                 {"steps", Json::array({step(Width, 500)})},
                 {"repetitions", Repetitions},
                 {"interval_ms", IntervalMs},
                 {"start_at_ms", wallMs() + 500}};
    record().line("client: ", Body.dump());
    Response Answer = Deployment.noted("POST", Recurring, Body.dump());
    if (Answer.Status / 100 != 2)
      return finish(Held, "the recurring submission was not accepted");
  }
  sleepMs(3000);
  for (int I = 1; I <= Others; ++I)
    Submit(I);
  sleepMs(30000);
  int Done = 0;
  for (int I = 1; I <= Others; ++I) {
    Response Answer = Deployment.noted("GET", idOf(I), "", 1);
    Done += Answer.Body.find("completed") != std::string::npos;
  }
  for (auto &Each : Deployment.Nodes)
    record().line("entry ", Each->name(), ": ",
                  Each->isUp() ? "up" : "has ended by itself", ", ",
                  Each->residentMb(), " MB");
  record().line("store: has refused ", Deployment.Storage.Oversized.load(),
                " writes that are too large");
  size_t Busy = 0;
  for (auto &Each : Deployment.Workers)
    Busy += Each->running();
  record().line("tasks at work: ", Busy, " on ", Deployment.Workers.size(),
                " workers");
  if (Done < Others)
    return finish(Broken, std::to_string(Others - Done) + " of " +
                              std::to_string(Others) +
                              " accepted submissions have not been done in "
                              "30 s, on empty workers");
  return finish(Held, "all submissions were done");
}
