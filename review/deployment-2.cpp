#include "deployment-2.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselwalk::review {
namespace {

using Json = nlohmann::json;

constexpr const char *Service = "pool";
constexpr const char *QueueHost = "queue.example";
constexpr const char *QueuePath = "/work/";
constexpr const char *CallerKey = "review-key";
constexpr Duration ClientTimeout{3000};
constexpr Duration StartTimeout{12000};
constexpr Duration RestartDelay{1000};
constexpr int WorkersPerRack = 4;
constexpr const char *Zones[] = {"za", "zb", "zc"};

/// A port that is free on all addresses of the machine.
uint16_t freePort() {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_ANY);
  socklen_t Size = sizeof At;
  if (Socket < 0 || ::bind(Socket, reinterpret_cast<sockaddr *>(&At), Size) < 0)
    throw Error("no free port");
  getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size);
  ::close(Socket);
  return ntohs(At.sin_port);
}

} // namespace

std::string Answer::state() const {
  Json Value = Json::parse(Body, nullptr, false);
  return Value.is_object() ? Value.value("state", "") : "";
}

void pauseFor(Duration Time) { std::this_thread::sleep_for(Time); }

bool isTroubled() {
  const char *Given = std::getenv("TROUBLE");
  return Given == nullptr || std::string(Given) != "0";
}

Deployment::Deployment(DeploymentOptions Given, const std::string &RecordFile)
    : Options(Given), StartedAt(Host.now()), Record(RecordFile),
      CallersPort(freePort()), ReadinessPort(freePort()),
      ControlPort(freePort()), PeerPort(freePort()), StorePort(freePort()),
      WorkerPort(freePort()) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Template.data()) == nullptr)
    throw Error("cannot make a folder for settings");
  Folder = Template;
  Store =
      std::make_unique<soak::StoreStandIn>(Host, address(0, 0), StorePort, 1);
  Store->put("op/config", configuration());
  soak::RunObserver &Observer = *this;
  for (int I = 0; I < Options.Workers; ++I) {
    soak::EndpointOptions Row;
    Row.Id = "w-" + std::to_string(I);
    Row.Ip = address(2, I);
    Row.Port = WorkerPort;
    Row.Zone = Zones[I % 3];
    Row.Rack = "r" + std::to_string(I / WorkersPerRack);
    Row.Service = Service;
    Row.MilliCpu = Options.WorkerMilliCpu;
    Row.MemoryMb = Options.WorkerMemoryMb;
    Workers.push_back(
        std::make_unique<soak::EndpointStandIn>(Host, *Store, Row, Observer));
  }
  for (int I = 0; I < Options.Entries; ++I) {
    std::string Base = Folder + "/entry-" + std::to_string(I);
    std::ofstream(Base + ".json") << settingsOf(I);
    Entries.push_back(
        {std::make_unique<NodeProcess>(Base + ".json", Base + ".log"),
         address(1, I)});
  }
  HostThread = std::thread([this] { Host.run(); });
}

Deployment::~Deployment() {
  Entries.clear();
  Host.stop();
  HostThread.join();
  if (std::getenv("REVIEW_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder);
  else
    std::cout << "logs of the processes: " << Folder << std::endl;
}

std::string Deployment::address(int Group, int Number) const {
  return "127." + std::to_string(100 + Group) + '.' +
         std::to_string(1 + getpid() % 250) + '.' + std::to_string(Number + 1);
}

std::string Deployment::settingsOf(int Number) const {
  std::string Ip = address(1, Number);
  auto At = [](const std::string &Where, uint16_t Port) {
    return Where + ':' + std::to_string(Port);
  };
  return Json{
      {"node_name", "entry-" + std::to_string(Number)},
      {"ip", Ip},
      {"zone", Zones[Number % 3]},
      {"listen_addresses",
       {{"frontend", At(Ip, CallersPort)},
        {"readiness", At(Ip, ReadinessPort)},
        {"control", At(Ip, ControlPort)}}},
      {"internal_port_range", {PeerPort, PeerPort}},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", Options.MemoryLimitMb},
        {"max_file_descriptors", 4100}}},
      {"contracts",
       {"base", "drain", "config", "sched", "tenants", "quota", "places",
        "platform"}},
      {"bounds",
       {{"hold_max_ms", soak::MaxLease.count()},
        {"revocation_ms", 5000},
        {"grace_period_s", 6},
        {"status_s", 120}}},
      {"platform",
       {{"address", At(address(0, 0), StorePort)}, {"value_bytes", 1048576}}}}
      .dump();
}

std::string Deployment::configuration() const {
  Json Queue = {{"name", "work"},
                {"host", QueueHost},
                {"path_prefix", QueuePath},
                {"service", Service},
                {"priority", 0},
                {"max_attempts", Options.MaxAttempts},
                {"slack_factor", 1.5},
                {"target_duration_ms", 500}};
  Json Team = {{"name", "team"},
               {"api_keys", {CallerKey}},
               {"weight", 100},
               {"max_count", {{"cpu", 0}, {"task_memory_mb", 0}, {"gpu", 0}}}};
  return Json{{"version", 1},
              {"routes", {Queue}},
              {"services", {{{"name", Service}}}},
              {"tenants", {Team}}}
      .dump();
}

std::string Deployment::callersAt(int Number) const {
  return address(1, Number) + ':' + std::to_string(CallersPort);
}

bool Deployment::start() {
  for (Entry &Each : Entries)
    Each.Process->start();
  for (Entry &Each : Entries) {
    TimePoint End = Host.now() + StartTimeout;
    bool IsReady = false;
    while (!IsReady && Host.now() < End) {
      http::Result Got = http::sendAndWait(
          {Each.Ip, ReadinessPort}, {"GET", "/readiness"}, Duration(500));
      IsReady = Got.State == protocol::Delivery::Answered &&
                Got.Message.Status == 200;
      if (!IsReady)
        pauseFor(Duration(100));
    }
    if (!IsReady)
      return false;
  }
  record("all entry processes are ready");
  return true;
}

void Deployment::record(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(RecordMutex);
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(3)
       << static_cast<double>(now().count()) / 1000 << ' ' << Line;
  Record << Text.str() << std::endl;
}

Answer Deployment::send(int Number, const std::string &Method,
                        const std::string &Id, const std::string &Body) {
  http::Request Message{Method, QueuePath + Id, Body};
  Message.Headers = {{"Host", QueueHost},
                     {"Credential", CallerKey},
                     {"Deadline-Ms", std::to_string(ClientTimeout.count())}};
  http::Result Got =
      http::sendAndWait({Entries[static_cast<size_t>(Number)].Ip, CallersPort},
                        Message, ClientTimeout);
  Answer Result;
  if (Got.State == protocol::Delivery::Answered)
    Result = {Got.Message.Status, Got.Message.Body};
  record("client " + Method + ' ' + Id + " at entry-" + std::to_string(Number) +
         (Body.empty() ? "" : " bytes=" + std::to_string(Body.size())) +
         " -> " +
         (Result.Status == 0 ? "no answer" : std::to_string(Result.Status)) +
         ' ' + Result.Body);
  return Result;
}

Answer Deployment::sendUntilAnswered(const std::string &Method,
                                     const std::string &Id,
                                     const std::string &Body, Duration Time) {
  TimePoint End = Host.now() + Time;
  Answer Last;
  for (int Number = 0; Host.now() < End; ++Number) {
    Last = send(Number % Options.Entries, Method, Id, Body);
    if (Last.Status != 0 && Last.Status != 429 && Last.Status < 500)
      return Last;
    pauseFor(Duration(300));
  }
  return Last;
}

std::string Deployment::bodyOf(const JobPlan &Job) {
  soak::Work Plan;
  Plan.Length = Job.Length;
  Plan.MilliCpu = Job.MilliCpu;
  return Json{{"spec", Plan.encode()},
              {"steps",
               {{{"count", Job.Tasks},
                 {"cpu", Job.MilliCpu},
                 {"task_memory_mb", Job.MemoryMb},
                 {"estimated_ms", Job.Length.count()}}}}}
      .dump();
}

std::string Deployment::idOf(int Number) {
  std::ostringstream Text;
  Text << std::hex << std::setw(16) << std::setfill('0') << Number;
  return Text.str();
}

void Deployment::onHost(const std::function<void()> &Work) {
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsDone = false;
  Host.after(Duration(0), [&] {
    Work();
    std::lock_guard<std::mutex> Lock(Mutex);
    IsDone = true;
    Changed.notify_one();
  });
  std::unique_lock<std::mutex> Lock(Mutex);
  Changed.wait(Lock, [&] { return IsDone; });
}

soak::EndpointStandIn *Deployment::holderOf(const std::string &Task) {
  for (auto &Each : Workers)
    if (Each->isUp() && Each->holds(Task))
      return Each.get();
  return nullptr;
}

int Deployment::startsOf(const std::string &Id) {
  std::lock_guard<std::mutex> Lock(CountMutex);
  return Starts[Id];
}

int Deployment::endsOf(const std::string &Id, const std::string &How) {
  std::lock_guard<std::mutex> Lock(CountMutex);
  return Ends[{Id, How}];
}

void Deployment::onStart(const soak::EndpointStandIn &Where,
                         const soak::TaskName &Task, int64_t Attempt,
                         const std::string &) {
  bool IsSecond = false;
  {
    std::lock_guard<std::mutex> Lock(CountMutex);
    ++Starts[Task.Job];
    auto &Held = Runs[Task.Text];
    Held.emplace(Where.options().Id, Attempt);
    IsSecond = Held.size() > 1;
    if (IsSecond)
      RunTwice.insert(Task.Text);
  }
  record("worker " + Where.options().Id + " starts " + Task.Text + " run " +
         std::to_string(Attempt) +
         (IsSecond ? " while another run is at work" : ""));
}

void Deployment::onEnd(const soak::EndpointStandIn &Where,
                       const soak::TaskName &Task, int64_t Attempt,
                       const std::string &How) {
  {
    std::lock_guard<std::mutex> Lock(CountMutex);
    ++Ends[{Task.Job, How}];
    Runs[Task.Text].erase({Where.options().Id, Attempt});
  }
  record("worker " + Where.options().Id + " ended " + Task.Text + " run " +
         std::to_string(Attempt) + ' ' + How);
}

void Deployment::onCrash(const soak::EndpointStandIn &Where,
                         const soak::TaskName &Task) {
  {
    std::lock_guard<std::mutex> Lock(CountMutex);
    auto &Held = Runs[Task.Text];
    for (auto It = Held.begin(); It != Held.end();)
      It = It->first == Where.options().Id ? Held.erase(It) : std::next(It);
  }
  record("worker " + Where.options().Id + " crashed under " + Task.Text);
}

void Deployment::onNoted(const soak::NotedEnd &) {}

std::set<std::string> Deployment::tasksRunTwice() {
  std::lock_guard<std::mutex> Lock(CountMutex);
  return RunTwice;
}

int Deployment::memoryMb(int Number) {
  Entry &Each = Entries[static_cast<size_t>(Number)];
  if (!Each.Process->isRunning())
    return 0;
  std::ifstream Status("/proc/" + std::to_string(Each.Process->pid()) +
                       "/status");
  for (std::string Name; Status >> Name;) {
    int64_t Kilobytes = 0;
    if (Name == "VmRSS:" && Status >> Kilobytes)
      return static_cast<int>(Kilobytes / 1024);
  }
  return 0;
}

void Deployment::watchMemory() {
  for (int I = 0; I < Options.Entries; ++I) {
    Entry &Each = Entries[static_cast<size_t>(I)];
    int Used = memoryMb(I);
    if (Used > Options.MemoryLimitMb) {
      record("platform: entry-" + std::to_string(I) + " uses " +
             std::to_string(Used) + " MB of " +
             std::to_string(Options.MemoryLimitMb) + " MB and is killed");
      Each.Process->signal(SIGKILL);
      ++Each.EndsForMemory;
    }
    if (Each.Process->isRunning())
      continue;
    if (Each.DownSince.count() == 0)
      Each.DownSince = now();
    if (now() - Each.DownSince < RestartDelay)
      continue;
    record("platform: entry-" + std::to_string(I) + " is started again");
    Each.DownSince = Duration(0);
    Each.Process->start();
  }
}

} // namespace teaselwalk::review
