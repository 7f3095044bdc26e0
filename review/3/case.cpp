// A submission that was answered "no such submission" when it was cancelled.
#include "standin.hpp"

using namespace standin;

namespace {

constexpr const char *Cancelled = "5c0e7a21d94b36f8";
constexpr int64_t LateMs = 6000;
constexpr int64_t CancelMs = 3000;
constexpr int64_t TouchMs = 3000;

/// Two steps, one after the other.
Json submission(int64_t TaskMs) {
  Json First = {{"count", 2},
                {"cpu", 1000},
                {"task_memory_mb", 512},
                {"estimated_ms", TaskMs}};
  Json Second = First;
  Second["after"] = {0};
  return {{"spec", Json{{"ms", TaskMs}}.dump()},
          {"steps", Json::array({First, Second})}};
}

std::string idOf(int Number) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016x", 0xa000 + Number);
  return Text;
}

} // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  record().open("review/3/record.txt");
  Cluster Deployment;
  if (!Deployment.start(3, 8))
    return finish(NotRun, "the deployment did not come up");

  // Loses the answers of some writes and carries these writes out late.
  std::atomic<bool> IsLosing{hasTrouble()};
  std::atomic<int> Lost{0}, Written{0};
  std::atomic<int64_t> LastLoss{0};
  Deployment.Storage.FateOf = [&](const Json &Call) -> Store::Fate {
    ++Written;
    for (const Json &Put : Call.value("puts", Json::array()))
      if (IsLosing &&
          Put.at("key") == "teaselwalk/intake/job/" + std::string(Cancelled)) {
        ++Lost;
        LastLoss = steadyMs();
        return {true, LateMs};
      }
    return {};
  };

  // Other clients, whose submissions are not affected.
  Written = 0;
  std::atomic<bool> IsDone{false};
  std::thread Others([&] {
    for (int I = 0; !IsDone; ++I) {
      Deployment.request("POST", idOf(I), submission(200).dump(), 2);
      sleepMs(50);
    }
  });
  Response Sent =
      Deployment.noted("POST", Cancelled, submission(4000).dump(), 0);
  int LostWrites = Lost;
  record().line("store: has not answered ", LostWrites, " of ", Written.load(),
                " writes meanwhile");
  IsLosing = false;
  Response Removed = Deployment.noted("DELETE", Cancelled, "", 1);
  int64_t AcknowledgedAt = steadyMs();
  IsDone = true;
  Others.join();
  bool IsAcknowledged = Removed.Status == 410 || Removed.Status / 100 == 2;
  if (!IsAcknowledged)
    return finish(Held, "the cancelling was not acknowledged");

  sleepMs(16000);
  Deployment.noted("GET", Cancelled, "", 1);
  int Late = 0, Touched = 0;
  for (const Start &Each : Deployment.Seen.starts())
    if (Each.Task.compare(0, 16, Cancelled) == 0) {
      Late += Each.AtMs > AcknowledgedAt + CancelMs;
      // All is calm again: no write has been lost or is still to be done.
      Touched += Each.AtMs > AcknowledgedAt + CancelMs &&
                 Each.AtMs > LastLoss + LateMs + TouchMs;
    }
  record().line("starts later than ", CancelMs,
                " ms after the cancelling was acknowledged: ", Late, ", ",
                Touched, " of them ", TouchMs,
                " ms after the last late write was due");
  if (Sent.Status == 429 || Sent.Status == 503)
    record().line("the submission had been refused");
  if (Touched > 0)
    return finish(Broken, "a cancelled submission ran");
  return finish(Held, "nothing of the submission ran late");
}
