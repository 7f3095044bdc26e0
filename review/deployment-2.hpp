#pragma once

#include "endpoint.hpp"
#include "node_process-2.hpp"
#include "store.hpp"

#include "teaselwalk/fakes/http_host.hpp"
#include "teaselwalk/http/client.hpp"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// A small deployment on loopback addresses for the cases of the review: entry
/// processes of the program under test, and stand-ins of the store and the
/// workers, which are the project's own.
namespace teaselwalk::review {

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

struct DeploymentOptions {
  int Entries = 3;
  int Workers = 12;
  int WorkerMilliCpu = 64000;
  int WorkerMemoryMb = 262144;
  /// `limits.memory_mb` of an entry machine.
  int MemoryLimitMb = 260;
  int MaxAttempts = 2;
};

/// What one task of a submission does.
struct JobPlan {
  int Tasks = 1;
  int MilliCpu = 1000;
  int MemoryMb = 256;
  Duration Length{500};
};

/// An answer to a client; status 0: none.
struct Answer {
  int Status = 0;
  std::string Body;
  /// The value of `state` in the body; empty if there is none.
  std::string state() const;
};

/// Methods may be called on any thread.
class Deployment : private soak::RunObserver {
public:
  /// \p RecordFile: what is sent, answered and run, one line each.
  Deployment(DeploymentOptions Options, const std::string &RecordFile);
  ~Deployment();

  /// Starts the processes and waits until all are ready. False: they are not.
  bool start();

  void record(const std::string &Line);

  /// One attempt of a client at entry \p Entry.
  Answer send(int Entry, const std::string &Method, const std::string &Id,
              const std::string &Body = "");
  /// Tries all entries in turn until one answers, for \p Time at most.
  Answer sendUntilAnswered(const std::string &Method, const std::string &Id,
                           const std::string &Body, Duration Time);
  /// The body of a submission with one step.
  static std::string bodyOf(const JobPlan &Job);
  /// 16 hexadecimal digits.
  static std::string idOf(int Number);

  /// Calls \p Work on the thread of the stand-ins and waits for it.
  void onHost(const std::function<void()> &Work);
  /// The process of entry \p Entry; to be used on the thread that called
  /// `start` only.
  NodeProcess &process(int Entry) {
    return *Entries[static_cast<size_t>(Entry)].Process;
  }
  /// The stand-ins; to be used on their thread only.
  soak::EndpointStandIn &worker(size_t Number) { return *Workers[Number]; }
  size_t workers() const { return Workers.size(); }
  /// The worker that runs \p Task now; null: none.
  soak::EndpointStandIn *holderOf(const std::string &Task);
  soak::StoreStandIn &store() { return *Store; }

  /// Starts of tasks of job \p Id, and ends by their kind.
  int startsOf(const std::string &Id);
  int endsOf(const std::string &Id, const std::string &How);

  /// Tasks of which two runs were at work at the same time, on workers that
  /// were up.
  std::set<std::string> tasksRunTwice();

  /// Resident memory of entry \p Entry in MB; 0: it does not run.
  int memoryMb(int Entry);
  /// Ends a process that exceeds its memory, as the platform does, and starts
  /// each that has ended again.
  void watchMemory();

  int endsForMemory(int Entry) const {
    return Entries[static_cast<size_t>(Entry)].EndsForMemory;
  }

  int entries() const { return Options.Entries; }
  int memoryLimitMb() const { return Options.MemoryLimitMb; }
  /// Address of the callers' port of entry \p Entry.
  std::string callersAt(int Entry) const;

private:
  struct Entry {
    std::unique_ptr<NodeProcess> Process;
    std::string Ip;
    Duration DownSince{0};
    int EndsForMemory = 0;
  };

  void onStart(const soak::EndpointStandIn &Where, const soak::TaskName &Task,
               int64_t Attempt, const std::string &Payload) override;
  void onEnd(const soak::EndpointStandIn &Where, const soak::TaskName &Task,
             int64_t Attempt, const std::string &How) override;
  void onCrash(const soak::EndpointStandIn &Where,
               const soak::TaskName &Task) override;
  void onNoted(const soak::NotedEnd &End) override;

  std::string address(int Group, int Number) const;
  std::string settingsOf(int Number) const;
  std::string configuration() const;
  Duration now() const { return Host.now() - StartedAt; }

  const DeploymentOptions Options;
  fakes::HttpHost Host;
  const TimePoint StartedAt;
  std::string Folder;
  std::ofstream Record;
  std::mutex RecordMutex;
  uint16_t CallersPort, ReadinessPort, ControlPort, PeerPort, StorePort,
      WorkerPort;
  std::unique_ptr<soak::StoreStandIn> Store;
  std::vector<std::unique_ptr<soak::EndpointStandIn>> Workers;
  std::vector<Entry> Entries;
  std::thread HostThread;
  std::mutex CountMutex;
  std::map<std::string, int> Starts;
  std::map<std::pair<std::string, std::string>, int> Ends;
  /// The runs of each task as worker and attempt.
  std::map<std::string, std::set<std::pair<std::string, int64_t>>> Runs;
  std::set<std::string> RunTwice;
};

/// Waits on the real clock.
void pauseFor(Duration Time);

/// `TROUBLE=0` in the environment: the case runs without its disruption.
bool isTroubled();

} // namespace teaselwalk::review
