// Entry processes that are stopped and started in turn under open connections.
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int Clients = 12;
constexpr int Rounds = 2;
constexpr int64_t DeadlineMs = 3000;
constexpr int64_t LossSlackMs = 200;
constexpr int64_t GraceMs = 6000;

std::string idOf(int Client, int Number) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%08x%08x", 0xc0 + Client, Number);
  return Text;
}

/// A client that sends one request after the other on one connection, for as
/// long as that is open. New connections go to processes that are ready.
class Client {
public:
  Client(Cluster &Deployment, int Number)
      : Deployment(Deployment), Number(Number) {}

  std::atomic<bool> IsDone{false};
  std::atomic<int> Sent{0}, Answered{0}, Broken{0}, Lost{0};
  /// When the process at each place has last got SIGTERM.
  std::vector<std::atomic<int64_t>> *StoppedAt = nullptr;
  std::vector<std::atomic<bool>> *IsReady = nullptr;

  void run() {
    for (int I = 0; !IsDone; ++I) {
      if (Socket < 0 && !connect()) {
        sleepMs(20);
        continue;
      }
      exchange(I);
      sleepMs(30 + Number);
    }
    close();
  }

private:
  bool connect() {
    for (size_t Tries = 0; Tries < Deployment.Nodes.size(); ++Tries) {
      Place = (static_cast<size_t>(Number) + Tries) % Deployment.Nodes.size();
      if (!(*IsReady)[Place])
        continue;
      Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in Name = socketAddress(Deployment.Nodes[Place]->callers());
      if (::connect(Socket, reinterpret_cast<sockaddr *>(&Name), sizeof Name) ==
          0)
        return true;
      close();
    }
    return false;
  }

  void close() {
    if (Socket >= 0)
      ::close(Socket);
    Socket = -1;
    Buffer.clear();
  }

  /// A submission, a question for its state, and one for the queue's backlog.
  void exchange(int I) {
    std::string Method = I % 3 == 0 ? "POST" : "GET";
    std::string Path = "/lohu930/" + (I % 3 == 2 ? "" : idOf(Number, I / 3));
    std::string Body;
    if (I % 3 == 0)
      Body = Json{{"spec", Json{{"ms", 50}}.dump()},
                  {"steps",
                   {{{"count", 1},
                     {"cpu", 100},
                     {"task_memory_mb", 64},
                     {"estimated_ms", 50}}}}}
                 .dump();
    std::string Text =
        Method + ' ' + Path + " HTTP/1.1\r\nHost: " + Cluster::Host +
        "\r\nCredential: " + Cluster::Key +
        "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body;
    if (!writeAll(Socket, Text)) {
      close();
      return;
    }
    ++Sent;
    int64_t SentAt = steadyMs();
    std::string Head, Answer;
    if (readMessage(Socket, Buffer, Head, Answer, DeadlineMs)) {
      ++Answered;
      if (lower(Head).find("connection: close") != std::string::npos)
        close();
      return;
    }
    int64_t Now = steadyMs();
    int64_t Stopped = (*StoppedAt)[Place];
    bool IsPlanned =
        Stopped != 0 && SentAt >= Stopped && SentAt <= Stopped + GraceMs + 1000;
    // A request at its time limit isn't counted.
    bool IsLost =
        IsPlanned && Now - SentAt > LossSlackMs && Now - SentAt < DeadlineMs;
    ++Broken;
    Lost += IsLost ? 1 : 0;
    record().line("client ", Number, ": ", Method, ' ', Path, " sent to ",
                  Deployment.Nodes[Place]->name(), ' ', SentAt - Stopped,
                  " ms after its SIGTERM; the connection ended without an "
                  "answer ",
                  Now - SentAt, " ms later");
    close();
  }

  Cluster &Deployment;
  const int Number;
  size_t Place = 0;
  int Socket = -1;
  std::string Buffer;
};

} // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  record().open("review/5/record.txt");
  Cluster Deployment;
  if (!Deployment.start(3, 8))
    return finish(NotRun, "the deployment did not come up");
  Deployment.Seen.IsQuiet = true;
  size_t Count = Deployment.Nodes.size();
  std::vector<std::atomic<int64_t>> StoppedAt(Count);
  std::vector<std::atomic<bool>> IsReady(Count);
  std::vector<std::unique_ptr<Client>> All;
  std::vector<std::thread> Threads;
  std::atomic<bool> IsDone{false};

  // Asks each process once a second; after two misses it gets no new
  // connections until it is ready again.
  for (auto &Each : IsReady)
    Each = true;
  std::thread Platform([&] {
    std::vector<int> Misses(Count, 0);
    while (!IsDone) {
      for (size_t I = 0; I < Count; ++I) {
        Misses[I] = Deployment.Nodes[I]->isReady() ? 0 : Misses[I] + 1;
        IsReady[I] = Misses[I] < 2;
      }
      sleepMs(1000);
    }
  });
  for (int I = 0; I < Clients; ++I) {
    All.push_back(std::make_unique<Client>(Deployment, I));
    All.back()->StoppedAt = &StoppedAt;
    All.back()->IsReady = &IsReady;
    Threads.emplace_back([Each = All.back().get()] { Each->run(); });
  }
  sleepMs(1500);
  for (int Round = 0; Round < Rounds; ++Round)
    for (size_t I = 0; I < Count; ++I) {
      if (hasTrouble()) {
        record().line("platform: SIGTERM to ", Deployment.Nodes[I]->name());
        StoppedAt[I] = steadyMs();
        Deployment.Nodes[I]->kill(SIGTERM);
        record().line("entry ", Deployment.Nodes[I]->name(), ": ended after ",
                      steadyMs() - StoppedAt[I], " ms");
        sleepMs(300);
        Deployment.Nodes[I]->start();
      }
      sleepMs(5000);
    }
  IsDone = true;
  Platform.join();
  int Sent = 0, Answered = 0, Broken = 0, Lost = 0;
  for (auto &Each : All)
    Each->IsDone = true;
  for (std::thread &Each : Threads)
    Each.join();
  for (auto &Each : All) {
    Sent += Each->Sent;
    Answered += Each->Answered;
    Broken += Each->Broken;
    Lost += Each->Lost;
  }
  record().line(
      "requests sent: ", Sent, ", answered: ", Answered,
      ", connection ended without an answer: ", Broken,
      ", of these later than ", LossSlackMs,
      " ms after a request was sent to a process being stopped: ", Lost);
  record().line("workers: ", Deployment.Seen.starts().size(), " starts, ",
                Deployment.Seen.ends().size(), " ends");
  if (Answered == 0)
    return finish(NotRun, "no request was answered");
  if (Lost > 0)
    return finish(standin::Broken, std::to_string(Lost) + " requests lost");
  return finish(Held, "no request was lost");
}
