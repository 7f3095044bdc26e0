#include "teaselwalk/bench/capacity.hpp"

#include "capacity_world.hpp"

#include "teaselwalk/bench/report.hpp"

#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::bench {
namespace {

constexpr Duration Window{20000};
constexpr Resources TaskSize{1000, 1000, 0, 1, 1};

struct Point {
  double X = 0;
  double Y = 0;
};

/// Slope and intercept by least squares.
std::pair<double, double> fitLine(const std::vector<Point> &Points) {
  double N = 0, Sx = 0, Sy = 0, Sxx = 0, Sxy = 0;
  for (const Point &P : Points) {
    N += 1;
    Sx += P.X;
    Sy += P.Y;
    Sxx += P.X * P.X;
    Sxy += P.X * P.Y;
  }
  double Slope = (N * Sxy - Sx * Sy) / (N * Sxx - Sx * Sx);
  return {Slope, (Sy - Slope * Sx) / N};
}

protocol::JobSpec makeSpec(const char *Queue, protocol::JobKind Kind,
                           size_t Tasks, Duration RunTime) {
  protocol::JobSpec Spec;
  Spec.Name = "capacity";
  Spec.Queue = QueueId(Queue);
  Spec.Kind = Kind;
  Spec.Tasks = static_cast<uint32_t>(Tasks);
  Spec.Size = TaskSize;
  Spec.RunTime = RunTime;
  return Spec;
}

/// Prints lines that share a prefix and collects points of fitted lines.
class Printer {
public:
  explicit Printer(std::ostream &Out) : Out(Out) {}

  void line(const std::string &Name, double Value, const char *Unit) {
    printLine(Out, Name, Value, Unit);
  }

  void fit(const std::string &Name, const std::vector<Point> &Points,
           const std::string &Unit, const std::string &Per) {
    auto [Slope, Base] = fitLine(Points);
    printLine(Out, "slope_" + Name, Slope, Unit + "_per_" + Per);
    printLine(Out, "base_" + Name, Base, Unit);
  }

private:
  std::ostream &Out;
};

/// What one steady run of `Window` gives, per second of virtual time.
struct Rates {
  std::array<double, PartnerNames.size()> Bytes{};
  std::array<double, PartnerNames.size()> Messages{};
  double StoreReads = 0;
  double StoreWrites = 0;
  double CpuMs = 0; ///< Per second.
  double EventUs = 0;
  double HeapKb = 0;

  double bytes(Partner Kind) const { return Bytes[static_cast<size_t>(Kind)]; }
};

double perSecond(double Value) {
  return Value / (static_cast<double>(Window.count()) / 1000);
}

Rates measureWindow(CapacityWorld &World) {
  fakes::StoreCounts Before = World.storeCounts();
  World.resetMeters();
  World.runFor(Window);
  const Meter &Own = World.owner();
  Rates Value;
  for (const auto &Row : PartnerNames) {
    const Traffic &Traffic = Own.of(Row.Value);
    Value.Bytes[static_cast<size_t>(Row.Value)] =
        perSecond(static_cast<double>(Traffic.Bytes));
    Value.Messages[static_cast<size_t>(Row.Value)] =
        perSecond(static_cast<double>(Traffic.Messages));
  }
  const fakes::StoreCounts &After = World.storeCounts();
  Value.StoreReads = perSecond(static_cast<double>(After.Reads - Before.Reads));
  Value.StoreWrites =
      perSecond(static_cast<double>(After.Writes - Before.Writes));
  Value.CpuMs = perSecond(Own.CpuSeconds * 1000);
  Value.EventUs = Own.Events == 0 ? 0
                                  : Own.EventSeconds * 1e6 /
                                        static_cast<double>(Own.Events);
  return Value;
}

void fillWithServices(CapacityWorld &World, size_t Tasks) {
  // A job has at most 10,000 tasks and a gang-free one any number below it.
  if (Tasks == 0)
    return;
  World.submit(
      makeSpec("services", protocol::JobKind::Service, Tasks, Duration(0)));
  World.runFor(Duration(20000));
}

Rates measureSteady(const CapacityOptions &Options, size_t TasksPerEndpoint,
                    size_t *Running = nullptr) {
  CapacityWorld World(Options);
  World.settle();
  fillWithServices(World, TasksPerEndpoint * Options.Endpoints);
  Rates Value = measureWindow(World);
  if (Running)
    *Running = World.runningTasks();
  Value.HeapKb = static_cast<double>(World.ownerHeapBytes()) / 1024;
  return Value;
}

void printRates(Printer &Out, const std::string &Name, const Rates &Value) {
  for (const auto &Row : PartnerNames) {
    std::string Of = Name + "_" + std::string(Row.Name);
    Out.line(Of, Value.bytes(Row.Value), "bytes/s");
    Out.line(Of + "_messages", Value.Messages[static_cast<size_t>(Row.Value)],
             "messages/s");
  }
  Out.line(Name + "_cpu", Value.CpuMs, "ms/s");
  Out.line(Name + "_event", Value.EventUs, "us/event");
  Out.line(Name + "_heap", Value.HeapKb, "KB");
}

void overEndpoints(Printer &Out, uint64_t Seed) {
  std::vector<Point> Bytes, Cpu, Heap, List;
  for (size_t Count : {8, 16, 55, 165}) {
    CapacityOptions Options;
    Options.Seed = Seed;
    Options.Endpoints = Count;
    Rates Value = measureSteady(Options, 0);
    printRates(Out, "endpoints_" + std::to_string(Count), Value);
    auto X = static_cast<double>(Count);
    Bytes.push_back({X, Value.bytes(Partner::Endpoint)});
    Cpu.push_back({X, Value.CpuMs});
    Heap.push_back({X, Value.HeapKb});
    List.push_back({X, Value.bytes(Partner::VmList)});
  }
  Out.fit("idle_endpoint_bytes", Bytes, "bytes/s", "endpoint");
  Out.fit("idle_endpoint_cpu", Cpu, "ms/s", "endpoint");
  Out.fit("idle_endpoint_heap", Heap, "KB", "endpoint");
  Out.fit("vm_list_bytes", List, "bytes/s", "vm");
}

void overTasks(Printer &Out, uint64_t Seed) {
  std::vector<Point> Bytes, Cpu, Heap;
  for (size_t Tasks : {0, 2, 5, 8}) {
    CapacityOptions Options;
    Options.Seed = Seed;
    Options.Endpoints = 55;
    size_t Running = 0;
    Rates Value = measureSteady(Options, Tasks, &Running);
    std::string Name = "tasks_" + std::to_string(Tasks);
    Out.line(Name + "_running", static_cast<double>(Running), "tasks");
    printRates(Out, Name, Value);
    auto X = static_cast<double>(Running);
    Bytes.push_back({X, Value.bytes(Partner::Endpoint)});
    Cpu.push_back({X, Value.CpuMs});
    Heap.push_back({X, Value.HeapKb});
  }
  Out.fit("running_task_bytes", Bytes, "bytes/s", "task");
  Out.fit("running_task_cpu", Cpu, "ms/s", "task");
  Out.fit("running_task_heap", Heap, "KB", "task");
}

void overPeers(Printer &Out, uint64_t Seed) {
  std::vector<Point> Bytes, Messages, Reads;
  for (size_t Count : {2, 3, 6}) {
    CapacityOptions Options;
    Options.Seed = Seed;
    Options.Processes = Count;
    Rates Value = measureSteady(Options, 0);
    printRates(Out, "processes_" + std::to_string(Count), Value);
    auto X = static_cast<double>(Count - 1);
    Bytes.push_back({X, Value.bytes(Partner::Peer)});
    Messages.push_back({X, Value.Messages[size_t(Partner::Peer)]});
    Reads.push_back({static_cast<double>(Count), Value.StoreReads});
  }
  Out.fit("peer_bytes", Bytes, "bytes/s", "peer");
  Out.fit("peer_messages", Messages, "messages/s", "peer");
  Out.fit("store_reads", Reads, "calls/s", "process");
}

void overDataCentres(Printer &Out, uint64_t Seed) {
  std::vector<Point> List;
  for (size_t Count : {3, 20}) {
    CapacityOptions Options;
    Options.Seed = Seed;
    Options.Endpoints = 17;
    Options.DataCentres = Count;
    Options.RemoteEndpoints = Count == 3 ? 17 : 165;
    Rates Value = measureSteady(Options, 0);
    printRates(Out, "data_centres_" + std::to_string(Count), Value);
    List.push_back({static_cast<double>(Options.Endpoints + Options.Processes +
                                        (Count - 1) * Options.RemoteEndpoints),
                    Value.bytes(Partner::VmList)});
  }
  Out.fit("remote_vm_bytes", List, "bytes/s", "vm");
}

void overTeams(Printer &Out, uint64_t Seed) {
  std::vector<Point> Document, Cpu, Heap, Change;
  for (size_t Count : {6, 240}) {
    CapacityOptions Options;
    Options.Seed = Seed;
    Options.Endpoints = 55;
    Options.Teams = Count;
    CapacityWorld World(Options);
    World.settle();
    Rates Idle = measureWindow(World);
    auto Bytes = static_cast<double>(World.documentBytes());
    std::string Name = "teams_" + std::to_string(Count);
    printRates(Out, Name, Idle);
    Out.line(Name + "_document", Bytes, "bytes");
    constexpr int Changes = 20;
    World.resetMeters();
    double Quiet = Idle.bytes(Partner::Store);
    double CpuBefore = Idle.CpuMs;
    uint64_t CallsBefore = World.storeCounts().Calls;
    for (int I = 0; I < Changes; ++I) {
      World.changeDocument();
      World.runFor(Duration(2000));
    }
    double Seconds = Changes * 2;
    double Spent = static_cast<double>(World.owner().of(Partner::Store).Bytes);
    double PerChange = (Spent - Quiet * Seconds) / Changes;
    Out.line(Name + "_head", static_cast<double>(World.headBytes()), "bytes");
    Out.line(Name + "_change_bytes", PerChange, "bytes/change");
    Out.line(Name + "_change_cpu",
             (World.owner().CpuSeconds * 1000 - CpuBefore * Seconds) / Changes,
             "ms/change");
    Out.line(Name + "_change_store_calls",
             (static_cast<double>(World.storeCounts().Calls - CallsBefore) -
              Idle.StoreReads * Seconds) /
                 Changes,
             "calls/change");
    double HeapKb = static_cast<double>(World.ownerHeapBytes()) / 1024;
    auto X = static_cast<double>(Count);
    Document.push_back({X, Bytes});
    Cpu.push_back({X, Idle.CpuMs});
    Heap.push_back({X, HeapKb});
    Change.push_back({X, PerChange});
  }
  Out.fit("team_document", Document, "bytes", "team");
  Out.fit("team_cpu", Cpu, "ms/s", "team");
  Out.fit("team_heap", Heap, "KB", "team");
  Out.fit("team_change_bytes", Change, "bytes_per_change", "team");
}

/// Ended tasks and whole jobs: 20 jobs of 5 tasks that run for 2 s.
void overJobs(Printer &Out, uint64_t Seed) {
  std::vector<Point> Heap;
  for (size_t Jobs : {0, 20, 60}) {
    constexpr size_t TasksPerJob = 5;
    CapacityOptions Options;
    Options.Seed = Seed;
    Options.Endpoints = 55;
    CapacityWorld World(Options);
    World.settle();
    Rates Idle = measureWindow(World);
    fakes::StoreCounts Before = World.storeCounts();
    World.resetMeters();
    for (size_t I = 0; I < Jobs; ++I)
      World.submit(makeSpec("batch", protocol::JobKind::Batch, TasksPerJob,
                            Duration(2000)));
    World.runFor(Window);
    const fakes::StoreCounts &After = World.storeCounts();
    auto JobCount = static_cast<double>(Jobs);
    double Writes = static_cast<double>(After.Writes - Before.Writes);
    if (Jobs > 0) {
      std::string Name = "jobs_" + std::to_string(Jobs);
      double Tasks = JobCount * TasksPerJob;
      Out.line(Name + "_store_writes", Writes / JobCount, "writes/job");
      Out.line(Name + "_store_bytes",
               (static_cast<double>(World.owner().of(Partner::Store).Bytes) -
                Idle.bytes(Partner::Store) * Window.count() / 1000) /
                   Tasks,
               "bytes/task");
      Out.line(Name + "_endpoint_bytes",
               (static_cast<double>(World.owner().of(Partner::Endpoint).Bytes) -
                Idle.bytes(Partner::Endpoint) * Window.count() / 1000) /
                   Tasks,
               "bytes/task");
      Out.line(Name + "_cpu",
               (World.owner().CpuSeconds * 1e6 -
                Idle.CpuMs * static_cast<double>(Window.count())) /
                   Tasks,
               "us/task");
    }
    Heap.push_back(
        {JobCount, static_cast<double>(World.ownerHeapBytes()) / 1024});
  }
  Out.fit("ended_job_heap", Heap, "KB", "job_of_5_tasks");
}

/// Starts through an owner: quick calls at a steady rate.
void overCalls(Printer &Out, uint64_t Seed) {
  std::vector<Point> Bytes, Cpu, Writes;
  for (int PerSecond : {0, 5, 10, 25}) {
    CapacityOptions Options;
    Options.Seed = Seed;
    Options.Endpoints = 55;
    CapacityWorld World(Options);
    World.settle();
    World.resetMeters();
    uint64_t Before = World.storeCounts().Writes;
    for (int I = 0; I < 20; ++I) {
      for (int Call = 0; Call < PerSecond; ++Call) {
        World.call(Duration(20));
        World.runFor(Duration(1000 / PerSecond));
      }
      if (PerSecond == 0)
        World.runFor(Duration(1000));
    }
    const Meter &Own = World.owner();
    auto X = static_cast<double>(PerSecond);
    std::string Name = "calls_" + std::to_string(PerSecond);
    Out.line(Name + "_answered", static_cast<double>(World.answeredCalls()),
             "calls");
    Bytes.push_back(
        {X, static_cast<double>(Own.of(Partner::Endpoint).Bytes) / 20});
    Cpu.push_back({X, Own.CpuSeconds * 1000 / 20});
    Writes.push_back(
        {X, static_cast<double>(World.storeCounts().Writes - Before) / 20});
  }
  Out.fit("call_endpoint_bytes", Bytes, "bytes/s", "call/s");
  Out.fit("call_cpu", Cpu, "ms/s", "call/s");
  Out.fit("call_store_writes", Writes, "writes/s", "call/s");
}

} // namespace

void measureCapacity(uint64_t Seed, std::ostream &Out) {
  Printer Lines(Out);
  HttpOverhead Http;
  Lines.line("http_overhead_request", static_cast<double>(Http.Request),
             "bytes");
  Lines.line("http_overhead_response", static_cast<double>(Http.Response),
             "bytes");
  overEndpoints(Lines, Seed);
  overTasks(Lines, Seed);
  overPeers(Lines, Seed);
  overDataCentres(Lines, Seed);
  overTeams(Lines, Seed);
  overJobs(Lines, Seed);
  overCalls(Lines, Seed);
}

} // namespace teaselwalk::bench
