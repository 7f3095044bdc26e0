#include "teaselwalk/base/error.hpp"
#include "teaselwalk/fakes/account.hpp"
#include "teaselwalk/fakes/fake_endpoint.hpp"
#include "teaselwalk/fakes/fake_store.hpp"
#include "teaselwalk/fakes/fake_vm_list.hpp"
#include "teaselwalk/protocol/vm_json.hpp"

#include "command_rows.hpp"
#include "remote.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>

namespace teaselwalk::cli {
namespace {

constexpr const char *FakeUsage =
    R"(Stand-ins for the platform and the endpoints, for tests and the demo.

Usage:
  teaselwalk fake (store | vms | endpoints) [options]
  teaselwalk fake account SUBMISSIONS LOGS

The last form compares what callers were told with what endpoints ran and exits
with 1 if requests were lost, run twice or answered falsely. SUBMISSIONS is a
JSON array of requests with their answers, LOGS one of answers to GET /ran.

Options:
  -h --help           Shows this text.
  --ip=IP             Address to listen on [default: 127.0.0.1].
  --port=PORT         Port, of the first endpoint if several; 0 lets the
                      system choose [default: 0].
  --port-file=FILE    Receives the port, or for endpoints their VM list rows
                      as JSON, once all ports are open.
  --count=N           Endpoints (this and the following options are for
                      endpoints only), 1 to 512 [default: 8].
  --prefix=NAME       Endpoints are called NAME-1, NAME-2, ...
                      [default: endpoint].
  --data-centre=NAME  Data centre of the endpoints [default: local].
  --racks=N           Racks over which the endpoints are spread [default: 1].
  --cpu-millis=N      Thousandths of a processor each [default: 64000].
  --memory-mb=N       Memory of each in MB [default: 131072].
  --accelerators=N    Accelerators of each [default: 0].
  --slots=N           Tasks that each runs side by side [default: 8].
  --connections=N     Connections of each [default: 60].

Ends on SIGTERM or SIGINT.
)";

int64_t numberOf(const Arguments &Args, const std::string &Name, int64_t Min,
                 int64_t Max) {
  const std::string Text = Args.at(Name).asString();
  int64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Value < Min || Value > Max)
    throw InvalidInput(Name, "must be an integer from " + std::to_string(Min) +
                                 " to " + std::to_string(Max));
  return Value;
}

uint16_t portOf(const Arguments &Args) {
  return static_cast<uint16_t>(numberOf(Args, "--port", 0, UINT16_MAX));
}

std::string ipOf(const Arguments &Args) { return Args.at("--ip").asString(); }

/// Writes \p Text under another name first, so that a reader never sees a part
/// of it.
void writePortFile(const Arguments &Args, const std::string &Text) {
  const docopt::value &Name = Args.at("--port-file");
  if (!Name)
    return;
  const std::string Path = Name.asString();
  const std::string Partial = Path + ".partial";
  std::ofstream Out(Partial, std::ios::trunc);
  Out << Text << '\n';
  Out.close();
  if (!Out || std::rename(Partial.c_str(), Path.c_str()) != 0)
    throw Error("cannot write " + Path);
}

template <typename Fake> int runSingle(const Arguments &Args) {
  fakes::HttpHost Host;
  Fake Service(Host, ipOf(Args), portOf(Args));
  writePortFile(Args, std::to_string(Service.port()));
  Host.run(true);
  return ExitOk;
}

Resources capacityOf(const Arguments &Args) {
  return {numberOf(Args, "--cpu-millis", 1, 1024000),
          numberOf(Args, "--memory-mb", 1, 4194304),
          numberOf(Args, "--accelerators", 0, 64),
          numberOf(Args, "--slots", 1, 1024),
          numberOf(Args, "--connections", 1, 65536)};
}

int runEndpoints(const Arguments &Args) {
  const int64_t Count = numberOf(Args, "--count", 1, 512);
  const int64_t Racks = numberOf(Args, "--racks", 1, Count);
  const uint16_t FirstPort = portOf(Args);
  const std::string Prefix = Args.at("--prefix").asString();
  const DataCentreId DataCentre(Args.at("--data-centre").asString());
  const Resources Capacity = capacityOf(Args);
  fakes::HttpHost Host;
  std::vector<std::unique_ptr<fakes::FakeEndpoint>> Endpoints;
  std::vector<protocol::VmInfo> Rows;
  for (int64_t I = 0; I < Count; ++I) {
    fakes::EndpointOptions Options;
    Options.Name = Prefix + "-" + std::to_string(I + 1);
    Options.Capacity = Capacity;
    auto Port = static_cast<uint16_t>(FirstPort == 0 ? 0 : FirstPort + I);
    Endpoints.push_back(
        std::make_unique<fakes::FakeEndpoint>(Host, Options, ipOf(Args), Port));
    RackId Rack(Prefix + "-rack-" + std::to_string(I * Racks / Count + 1));
    Rows.push_back({Options.Name,
                    {ipOf(Args), Endpoints.back()->port()},
                    DataCentre,
                    Rack});
  }
  writePortFile(Args, nlohmann::json(Rows).dump());
  Host.run(true);
  return ExitOk;
}

int runAccount(const Arguments &Args) {
  fakes::Account Total = fakes::countUp(
      fakes::parseSubmissions(readFile(Args.at("SUBMISSIONS").asString())),
      fakes::parseRunLogs(readFile(Args.at("LOGS").asString())));
  for (const std::string &Fault : Total.Faults)
    std::cout << "fault: " << Fault << '\n';
  if (Total.MayHaveRun > 0)
    std::cout << Total.MayHaveRun
              << " may have run: the connection broke and the request is not "
                 "idempotent\n";
  if (Total.Repeated > 0)
    std::cout << Total.Repeated << " tasks needed more than one attempt\n";
  std::cout << Total.Submitted << " submitted, " << Total.Answered
            << " answered, " << Total.NotRun << " not run, " << Total.Lost
            << " lost, " << Total.RunTwice << " run twice\n";
  return fakes::isClean(Total) ? ExitOk : ExitFailure;
}

int runFake(const Arguments &Args) {
  if (Args.at("account").asBool())
    return runAccount(Args);
  if (Args.at("store").asBool())
    return runSingle<fakes::FakeStore>(Args);
  if (Args.at("vms").asBool())
    return runSingle<fakes::FakeVmList>(Args);
  return runEndpoints(Args);
}

} // namespace

const Command FakeCommand = {"fake", FakeUsage, runFake};

} // namespace teaselwalk::cli
