#pragma once

#include "deployment-3.hpp"

#include <map>
#include <optional>
#include <random>
#include <utility>

namespace review {

/// Returns the port that a worker names in its entry, which listens on the
/// given one.
using Front = std::function<uint16_t(const std::string &Ip, uint16_t Port)>;

struct WorkerOptions {
  std::string Id;
  std::string Zone = "za";
  std::string Rack = "r1";
  int64_t Cpu = 16000; ///< Thousandths of a core.
  Duration LongestLease{6000};
  Duration StopTime{100};
  Front NamedPort; ///< If set.
};

/// A worker that follows the pages: runs under leases, fencing tokens, lists of
/// runs and ends, and shares of the processor.
class Worker {
public:
  struct Run {
    std::string Task;
    int64_t Number = 0;
    std::string Spec;
    TimePoint Since;
    int Percent = 100;  ///< Its share, by the order on pace carried out last.
    Duration Worked{0}; ///< Until `PacedAt`.
    TimePoint PacedAt;  ///< When its share was last set.
    bool IsStopping = false;
  };
  using RunKey = std::pair<std::string, int64_t>;

  Worker(Deployment &Of, int Number, WorkerOptions Options);

  const std::string &id() const { return Options.Id; }
  const std::map<RunKey, Run> &runs() const { return Runs; }
  bool holds(const std::string &Task) const;

  /// The fifth entry of a run's row.
  std::function<int64_t(const Worker &, const Run &)> Load;
  /// How long a run works until it is done; nothing: until it is stopped.
  std::function<std::optional<Duration>(const Run &)> Length;
  /// If set: the order gets no answer and is carried out this much later.
  std::function<std::optional<Duration>(const std::string &Path)> Lateness;
  /// If set: whether the starts and ends of a run are recorded one by one.
  std::function<bool(const Run &)> IsRecorded;
  /// A run has ended so.
  std::function<void(const Run &, const std::string &How)> OnEnd;
  /// An order was carried out late.
  std::function<void()> OnLate;

private:
  struct End {
    int64_t Number = 0;
    std::string Task;
    int64_t Run = 0;
    std::string How;
  };
  struct Waiting {
    TimePoint Until;
    fakes::Reply Answer;
  };

  void receive(const http::Request &Message, fakes::Reply Answer);
  http::Response carryOut(const std::string &Path, const Json &Body);
  void hold(const Json &Body, const fakes::Reply &Answer);
  bool acceptToken(const Json &Body);
  http::Response start(const Json &Body);
  http::Response stop(const Json &Body);
  http::Response pace(const Json &Body);
  /// The progress of a run in percent; 100 for one that lasts.
  int64_t progressOf(const Run &Of) const;
  http::Response refuse(const char *Reason) const;
  http::Response lists() const;
  void note(const Run &Of, const std::string &What) const;
  void finish(RunKey Key, const std::string &How);
  void extendLease(const Json &Body);
  void expireLease();
  void answerWaiting(bool HasEnd);
  void tick();
  void report();
  int64_t clockMs() const;

  Deployment &Of;
  const WorkerOptions Options;
  const std::string Ip;
  uint16_t Port = 0; ///< The one in its entry.
  TimePoint Born;
  int64_t BornMs = 0;
  TimePoint ReportedAt;
  int64_t Sequence = 0;
  int64_t Token = 0;
  int64_t LeaseUntilMs = 0;
  int64_t LastEnd = 0;
  std::map<RunKey, Run> Runs;
  std::map<std::string, int64_t> HighestEnded;
  std::vector<End> Ends;
  std::vector<Waiting> OpenHolds;
  std::vector<fakes::Reply> Unanswered;
};

} // namespace review
