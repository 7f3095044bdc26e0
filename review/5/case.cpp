// Workers that come back as another kind.
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int64_t DownMs = 2500;
constexpr int Swaps = 3;

std::string idOf(int Kind, int Number) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%08x%08x", 0xa0 + Kind, Number);
  return Text;
}

} // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  record().open("review/5/record.txt");
  Cluster Deployment;
  const std::vector<std::string> Kinds = {"c", "d", "e"};
  if (!Deployment.start(3, 8, Kinds))
    return finish(NotRun, "the deployment did not come up");

  // Submissions whose tasks need the kind.
  int Number = 0;
  auto Submit = [&](int Kind) {
    Json Step = {{"count", 2},
                 {"cpu", 1000},
                 {"task_memory_mb", 512},
                 {"estimated_ms", 300},
                 {"requirements", Kinds[static_cast<size_t>(Kind)]}};
    Json Body = {{"spec", Json{{"ms", 300}}.dump()},
                 {"steps", Json::array({Step})}};
    for (int I = 0; I < 3; ++I)
      Deployment.noted("POST", idOf(Kind, Number++), Body.dump(),
                       static_cast<size_t>(I % 3));
  };
  std::vector<int64_t> BackAt(Swaps, INT64_MAX);
  for (int Kind = 0; Kind < Swaps; ++Kind) {
    Worker &Swapped = *Deployment.Workers[static_cast<size_t>(Kind)];
    Submit(Kind);
    sleepMs(1000);
    if (!hasTrouble()) {
      Submit(Kind);
      continue;
    }
    Swapped.crash();
    sleepMs(DownMs - 700);
    Submit(Kind);
    sleepMs(700);
    BackAt[static_cast<size_t>(Kind)] = steadyMs();
    Swapped.restart("a");
    sleepMs(4000);
  }
  sleepMs(2000);

  int Wrong = 0, Right = 0;
  for (const Start &Each : Deployment.Seen.starts())
    for (int Kind = 0; Kind < Swaps; ++Kind) {
      if (Each.Task.compare(0, 8, idOf(Kind, 0), 0, 8) != 0)
        continue;
      bool HasKind =
          Each.Worker == Deployment.Workers[static_cast<size_t>(Kind)]->id() &&
          Each.AtMs < BackAt[static_cast<size_t>(Kind)];
      ++(HasKind ? Right : Wrong);
      if (!HasKind)
        record().line("task ", Each.Task, " needs kind ",
                      Kinds[static_cast<size_t>(Kind)], " and was started on ",
                      Each.Worker, ", ",
                      Each.AtMs - BackAt[static_cast<size_t>(Kind)],
                      " ms after that worker had registered as kind a");
    }
  record().line("starts on a worker of the right kind: ", Right,
                ", of another kind: ", Wrong);
  if (Right == 0)
    return finish(NotRun, "no task has started");
  if (Wrong > 0)
    return finish(Broken, std::to_string(Wrong) + " starts without the label");
  return finish(Held, "all starts were on workers with the label");
}
