#include "bootstrap.hpp"
#include "command_rows.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/config/access.hpp"
#include "teaselwalk/entry/process.hpp"
#include "teaselwalk/fakes/fake_endpoint.hpp"
#include "teaselwalk/fakes/fake_store.hpp"
#include "teaselwalk/fakes/fake_vm_list.hpp"
#include "teaselwalk/http/client.hpp"
#include "teaselwalk/operators/system.hpp"
#include "teaselwalk/protocol/vm_json.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

namespace teaselwalk::cli {
namespace {

constexpr const char *Usage =
    R"(Run an entry process and stand-ins of everything it needs in one process.

For trying out: one data centre "local", team "demo", and the queues "calls",
"batch" and "watch". The key of the team and the credential of the operator are
new at each start and are printed. Nothing is kept after the end.

Usage:
  teaselwalk local [--endpoints N]
  teaselwalk local --help

Options:
  --endpoints N  Endpoints of 8 slots, 64 cores and 128 GB, 1 to 64 [default: 4].
)";

constexpr const char *Ip = "127.0.0.1";
constexpr const char *Place = "local";
constexpr Duration CallTimeout{2000};

/// The first document and the secrets that belong to it.
struct FirstDocument {
  config::Document Content;
  std::string Key;
  std::string Credential;
};

config::Queue makeQueue(const char *Name, config::QueueClass Class) {
  config::Queue Value;
  Value.Name = QueueId(Name);
  Value.Class = Class;
  Value.Teams = {TeamId("demo")};
  Value.Deadline = Duration(3600000);
  return Value;
}

FirstDocument makeFirstDocument() {
  auto Random = [] {
    return operators::secureRandomBytes(config::SecretRandomBytes);
  };
  FirstDocument Value;
  config::DataCentre Centre;
  Centre.Name = DataCentreId(Place);
  Centre.Region = Place;
  Centre.Shards = 1;
  Value.Content.DataCentres = {Centre};
  config::NewKey Key = config::makeKey(KeyId("demo-1"), Random());
  config::Team Team;
  Team.Name = TeamId("demo");
  Team.Limit = {4096000, 8388608, 0, 512, 512};
  Team.Keys = {Key.Stored};
  Value.Content.Teams = {Team};
  Value.Content.Queues = {makeQueue("calls", config::QueueClass::Call),
                          makeQueue("batch", config::QueueClass::Batch),
                          makeQueue("watch", config::QueueClass::Service)};
  config::NewSecret Operator = config::makeSecret("operator", Random());
  Value.Content.Operators = {{"operator", Operator.Stored}};
  config::indexKeys(Value.Content);
  Value.Key = Key.Text;
  Value.Credential = Operator.Text;
  return Value;
}

/// The stand-ins, served by one thread.
class StandIns {
public:
  explicit StandIns(int64_t Count) : Store(Host, Ip, 0), VmList(Host, Ip, 0) {
    for (int64_t I = 1; I <= Count; ++I) {
      fakes::EndpointOptions Options;
      Options.Name = "endpoint-" + std::to_string(I);
      Endpoints.push_back(
          std::make_unique<fakes::FakeEndpoint>(Host, Options, Ip, 0));
      Rows.push_back({Options.Name,
                      {Ip, Endpoints.back()->port()},
                      DataCentreId(Place),
                      RackId("rack")});
    }
    Thread = std::thread([this] { Host.run(); });
  }

  ~StandIns() {
    Host.stop();
    Thread.join();
  }
  StandIns(const StandIns &) = delete;
  StandIns &operator=(const StandIns &) = delete;

  protocol::Address store() const { return {Ip, Store.port()}; }
  protocol::Address vmList() const { return {Ip, VmList.port()}; }

  void publish(const std::string &EntryName, uint16_t PeerPort) {
    Rows.push_back({EntryName,
                    {Ip, PeerPort},
                    DataCentreId(Place),
                    RackId("rack"),
                    protocol::VmRole::Entry});
    http::Result Done = http::sendAndWait(
        vmList(), {"PUT", "/vms", nlohmann::json(Rows).dump()}, CallTimeout);
    if (Done.State != protocol::Delivery::Answered ||
        Done.Message.Status != 200)
      throw Error("the stand-in of the VM list did not take its rows");
  }

private:
  fakes::HttpHost Host;
  fakes::FakeStore Store;
  fakes::FakeVmList VmList;
  std::vector<std::unique_ptr<fakes::FakeEndpoint>> Endpoints;
  std::vector<protocol::VmInfo> Rows;
  std::thread Thread;
};

int64_t endpointsOf(const Arguments &Args) {
  int64_t Count = Args.at("--endpoints").asLong();
  if (Count < 1 || Count > 64)
    throw InvalidInput("--endpoints", "must be an integer from 1 to 64");
  return Count;
}

int run(const Arguments &Args) {
  int64_t Count = endpointsOf(Args);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  StandIns Around(Count);
  FirstDocument First = makeFirstDocument();
  if (bootstrap(Around.store(), First.Content, {"operator", 0, "local"},
                CallTimeout) != BootstrapOutcome::Written)
    throw Error("the stand-in of the store did not take the document");
  settings::Settings Settings;
  Settings.Name = ProcessId("entry-local");
  Settings.DataCentre = DataCentreId(Place);
  Settings.Ip = Ip;
  Settings.Store = Around.store();
  Settings.VmList = Around.vmList();
  Settings.Level = settings::LogLevel::Warn;
  entry::Process Running(Settings);
  entry::Ports Bound = Running.ports();
  Around.publish(Settings.Name.str(), Bound.Peer);
  std::cout << "callers    http://" << Ip << ':' << Bound.Caller << '\n'
            << "operators  http://" << Ip << ':' << Bound.Operator
            << "/console\n"
            << "team key   " << First.Key << '\n'
            << "credential " << First.Credential << '\n'
            << "Ready in about 12 s (/readyz answers 200); end with Ctrl-C."
            << std::endl;
  int Received = 0;
  sigwait(&Signals, &Received);
  return Running.drain(Settings.Times.DrainLimit) ? ExitOk : ExitFailure;
}

} // namespace

const Command LocalCommand = {"local", Usage, run};

} // namespace teaselwalk::cli
