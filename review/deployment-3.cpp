#include "deployment-3.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>

namespace review {
namespace {

constexpr const char *Binary = "target/teaselwalk";
constexpr const char *SettingsVariable = "TEASELWALK_BOOT";
constexpr const char *QueueHost = "queue.example";
constexpr const char *Key = "tenant-key";
constexpr Duration Patience{3000};
constexpr Duration RetryPause{300};
constexpr Duration SupervisionInterval{200};
/// The longest text of a message in the record.
constexpr size_t RecordedBytes = 200;
constexpr uint16_t PeerPorts = 16;
constexpr std::array<const char *, 3> Zones = {"za", "zb", "zc"};

} // namespace

bool hasTrouble() {
  const char *Named = std::getenv("TROUBLE");
  return Named == nullptr || std::string(Named) != "0";
}

uint16_t freePort(const std::string &Ip) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
  socklen_t Size = sizeof(At);
  bool IsBound =
      Socket >= 0 && bind(Socket, reinterpret_cast<sockaddr *>(&At), Size) == 0;
  if (IsBound)
    getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size);
  if (Socket >= 0)
    close(Socket);
  if (!IsBound)
    throw std::runtime_error("no free port at " + Ip);
  return ntohs(At.sin_port);
}

Record::Record(fakes::HttpHost &Host, const std::string &File)
    : Host(Host), Out(File), Began(Host.now()) {}

void Record::beginTraffic() { Began = Host.now(); }

Duration Record::sinceBegin() const { return Host.now() - Began; }

void Record::add(const std::string &Line) {
  Out << static_cast<double>(sinceBegin().count()) / 1000 << " s  " << Line
      << std::endl;
}

EntryProcess::EntryProcess(std::string SettingsFile, std::string LogFile)
    : SettingsFile(std::move(SettingsFile)), LogFile(std::move(LogFile)) {}

EntryProcess::~EntryProcess() {
  if (!isRunning())
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

void EntryProcess::start() {
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t Attributes;
  posix_spawnattr_init(&Attributes);
  sigset_t None;
  sigemptyset(&None);
  posix_spawnattr_setsigmask(&Attributes, &None);
  posix_spawnattr_setflags(&Attributes, POSIX_SPAWN_SETSIGMASK);
  std::array<std::string, 2> Words{Binary, "node"};
  std::array<char *, 3> Arguments{Words[0].data(), Words[1].data(), nullptr};
  std::string Boot = std::string(SettingsVariable) + '=' + SettingsFile;
  std::string Path = std::string("PATH=") + std::getenv("PATH");
  std::array<char *, 3> Environment{Boot.data(), Path.data(), nullptr};
  int Failure = posix_spawn(&Pid, Binary, &Files, &Attributes, Arguments.data(),
                            Environment.data());
  posix_spawnattr_destroy(&Attributes);
  posix_spawn_file_actions_destroy(&Files);
  if (Failure != 0) {
    Pid = 0;
    throw std::runtime_error(std::string("cannot run ") + Binary + ": " +
                             std::strerror(Failure));
  }
}

void EntryProcess::signal(int Number) const {
  if (Pid != 0)
    kill(Pid, Number);
}

bool EntryProcess::isRunning() {
  if (Pid != 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = 0;
  return Pid != 0;
}

Deployment::Deployment(const DeploymentOptions &Given,
                       const std::string &RecordFile)
    : Log(Host, RecordFile), Options(Given) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("cannot make a temporary folder");
  Folder = Template;
  Network = static_cast<int>(getpid() % 62500);
  StoreIp = workerIp(-1);
  StorePort = freePort(StoreIp);
  Store = std::make_unique<soak::StoreStandIn>(Host, StoreIp, StorePort, 1);
  Json Route = {{"name", "work"},
                {"host", QueueHost},
                {"path_prefix", PathPrefix},
                {"service", Service},
                {"priority", 0},
                {"max_attempts", 2},
                {"slack_factor", 1.5},
                {"target_duration_ms", 500},
                {"timeout_ms", 3000},
                {"public", false}};
  Store->put(
      "op/config",
      Json{{"version", 1},
           {"routes", {Route}},
           {"services", {{{"name", Service}}}},
           {"limits", {{"max_body_bytes", 262144}}},
           {"tenants",
            {{{"name", "tenant"}, {"api_keys", {Key}}, {"weight", 100}}}}}
          .dump());
  for (int I = 0; I < Options.Entries; ++I) {
    Entry Next;
    Next.Name = "frontend-" + std::to_string(I);
    Next.Ip = workerIp(-2 - I);
    Next.CallersPort = freePort(Next.Ip);
    std::string Settings = Folder + '/' + Next.Name + ".json";
    std::ofstream(Settings) << settingsOf(Next, I, freePort(Next.Ip)).dump();
    Next.Process = std::make_unique<EntryProcess>(
        Settings, Folder + '/' + Next.Name + ".log");
    Entries.push_back(std::move(Next));
  }
  ClientThread = std::thread([this] { Client.run(); });
  for (Entry &Each : Entries)
    Each.Process->start();
  supervise();
}

Deployment::~Deployment() {
  Entries.clear();
  Client.stop();
  ClientThread.join();
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder);
}

std::string Deployment::workerIp(int Number) const {
  // The stand-ins and the processes of one run share a network of 255.
  return "127." + std::to_string(1 + Network / 250) + '.' +
         std::to_string(1 + Network % 250) + '.' + std::to_string(100 + Number);
}

Json Deployment::settingsOf(const Entry &Of, int Number,
                            uint16_t PeerPort) const {
  auto At = [&Of](uint16_t Port) { return Of.Ip + ':' + std::to_string(Port); };
  return {
      {"node_name", Of.Name},
      {"role", "entry"},
      {"machine_class", "frontend"},
      {"serves", {"frontend"}},
      {"ip", Of.Ip},
      {"zone", Zones[static_cast<size_t>(Number) % Zones.size()]},
      {"region", "r"},
      {"zones", {{"za", "r"}, {"zb", "r"}, {"zc", "r"}}},
      {"listen_addresses",
       {{"frontend", At(Of.CallersPort)}, {"readiness", At(freePort(Of.Ip))}}},
      {"internal_port_range", {PeerPort, PeerPort + PeerPorts - 1}},
      {"bootstrap", true},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", 260},
        {"max_file_descriptors", 4100},
        {"link_mbps", 1000.0},
        {"disk_mb", 0}}},
      {"data_dir", nullptr},
      {"heartbeat_interval_ms", 1500},
      {"contracts",
       {"base", "drain", "config", "cost", "recover", "sched", "tenants",
        "quota", "places", "platform", "advice", "upkeep", "sharing"}},
      {"bounds", Options.Bounds},
      {"control_mode", "call"},
      {"platform",
       {{"address", StoreIp + ':' + std::to_string(StorePort)},
        {"form", "kv"},
        {"writes_per_s", 400},
        {"reads_per_s", 2000},
        {"history_s", 20},
        {"value_bytes", 1048576},
        {"ttl_min_ms", 1000}}}};
}

void Deployment::supervise() {
  Host.after(SupervisionInterval, [this] { supervise(); });
  for (Entry &Each : Entries) {
    if (Each.Process->isRunning())
      continue;
    Log.add(Each.Name + " starts");
    Each.Process->start();
  }
}

void Deployment::send(const Entry &To, const std::string &Method,
                      const std::string &Id, const std::string &Body,
                      Done OnAnswer) {
  http::Request Message;
  Message.Method = Method;
  Message.Target = PathPrefix + Id;
  Message.Body = Body;
  Message.Headers.emplace_back("Host", QueueHost);
  Message.Headers.emplace_back("Credential", Key);
  Message.Headers.emplace_back("Deadline-Ms", std::to_string(Patience.count()));
  std::string What = Method + ' ' + PathPrefix + Id + " to " + To.Name;
  Log.add(What);
  Client.send(
      {To.Ip, To.CallersPort}, Message, Patience,
      [this, What, OnAnswer = std::move(OnAnswer)](const http::Result &Answer) {
        bool IsAnswered =
            Answer.State == teaselwalk::protocol::Delivery::Answered;
        int Status = IsAnswered ? Answer.Message.Status : 0;
        std::string Text = Answer.Message.Body;
        Host.after(Duration(0), [this, What, Status, Text, OnAnswer] {
          Log.add(What + " is answered " + std::to_string(Status) + ' ' +
                  Text.substr(0, RecordedBytes));
          OnAnswer(Status, Text);
        });
      });
}

void Deployment::submit(const std::string &Id, const Json &Submission,
                        std::function<void()> OnAccepted) {
  const Entry &To = Entries[NextEntry++ % Entries.size()];
  send(To, "POST", Id, Submission.dump(),
       [this, Id, Submission, OnAccepted](int Status, const std::string &) {
         if (Status == 200)
           return OnAccepted();
         Host.after(RetryPause, [this, Id, Submission, OnAccepted] {
           submit(Id, Submission, OnAccepted);
         });
       });
}

} // namespace review
