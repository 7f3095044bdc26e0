#pragma once

#include "platform/soak/store.hpp"

#include "teaselwalk/fakes/http_host.hpp"
#include "teaselwalk/http/client.hpp"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// A small deployment on loopback addresses for the cases of review 3: real
/// processes with the command of the deploy file among stand-ins.
namespace review {

using teaselwalk::Duration;
using teaselwalk::TimePoint;
using Json = nlohmann::json;
namespace fakes = teaselwalk::fakes;
namespace http = teaselwalk::http;
namespace soak = teaselwalk::soak;

/// Exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// True unless the environment says `TROUBLE=0`.
bool hasTrouble();

/// A port of \p Ip that is free now.
uint16_t freePort(const std::string &Ip);

/// The record of what was sent, answered and run. Times count from the start
/// of the traffic.
class Record {
public:
  Record(fakes::HttpHost &Host, const std::string &File);

  void beginTraffic();
  Duration sinceBegin() const;
  void add(const std::string &Line);

private:
  fakes::HttpHost &Host;
  std::ofstream Out;
  TimePoint Began;
};

/// One process of the system, `target/teaselwalk node`.
class EntryProcess {
public:
  EntryProcess(std::string SettingsFile, std::string LogFile);
  /// Kills the process.
  ~EntryProcess();
  EntryProcess(const EntryProcess &) = delete;
  EntryProcess &operator=(const EntryProcess &) = delete;

  void start();
  void signal(int Number) const;
  bool isRunning();
  pid_t pid() const { return Pid; }

private:
  const std::string SettingsFile;
  const std::string LogFile;
  pid_t Pid = 0;
};

struct Entry {
  std::unique_ptr<EntryProcess> Process;
  std::string Name;
  std::string Ip;
  uint16_t CallersPort = 0;
};

struct DeploymentOptions {
  int Entries = 3;
  Json Bounds; ///< Of the settings file.
};

class Deployment {
public:
  static constexpr const char *Service = "pool";
  static constexpr const char *PathPrefix = "/work/";

  /// \p RecordFile: path of the record.
  Deployment(const DeploymentOptions &Options, const std::string &RecordFile);
  ~Deployment();

  /// An address for the stand-in of worker \p Number.
  std::string workerIp(int Number) const;

  using Done = std::function<void(int Status, const std::string &Body)>;
  /// Sends one request to \p To with the key of the tenant. \p OnAnswer gets
  /// status 0 without an answer.
  void send(const Entry &To, const std::string &Method, const std::string &Id,
            const std::string &Body, Done OnAnswer);
  /// Submits until it is accepted, at one process after the other.
  void submit(const std::string &Id, const Json &Submission,
              std::function<void()> OnAccepted);
  fakes::HttpHost Host;
  Record Log;
  std::unique_ptr<soak::StoreStandIn> Store;
  std::vector<Entry> Entries;

private:
  /// The platform starts processes that have ended.
  void supervise();
  Json settingsOf(const Entry &Of, int Number, uint16_t PeerPort) const;

  const DeploymentOptions Options;
  std::string Folder;
  std::string StoreIp;
  uint16_t StorePort = 0;
  int Network = 0;
  size_t NextEntry = 0;
  http::Client Client{http::ClientOptions()};
  std::thread ClientThread;
};

} // namespace review
