#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <istream>
#include <optional>
#include <string>
#include <vector>

/// Settings of one entry process, read from TOML at start.
namespace teaselwalk::settings {

enum class LogLevel { Trace, Debug, Info, Warn, Error };

constexpr std::array<EnumName<LogLevel>, 5> LogLevelNames = {{
    {LogLevel::Trace, "trace"},
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warn, "warn"},
    {LogLevel::Error, "error"},
}};

/// Whether endpoints check epochs (design 3.2) or not (design 3.6).
enum class EndpointMode { Epoch, Plain };

constexpr std::array<EnumName<EndpointMode>, 2> EndpointModeNames = {{
    {EndpointMode::Epoch, "epoch"},
    {EndpointMode::Plain, "plain"},
}};

/// Timing constants. Each is an optional key of table `[timing]`, named in the
/// comment, in milliseconds. The rules between them are in `timingRules`.
struct Timing {
  Duration Authority{5000};         ///< authority_ms
  Duration TaskLease{30000};        ///< task_lease_ms
  Duration Renew{1000};             ///< renew_ms
  Duration ContactLost{10000};      ///< contact_lost_ms
  Duration Heartbeat{1000};         ///< heartbeat_ms
  Duration Suspect{3000};           ///< suspect_ms
  Duration Dead{5000};              ///< dead_ms
  Duration MemberLease{10000};      ///< member_lease_ms
  Duration DocumentRead{1000};      ///< document_read_ms
  Duration DocumentAge{3000};       ///< document_age_ms
  Duration Digest{2000};            ///< digest_ms
  Duration PlainLease{15000};       ///< plain_lease_ms
  Duration PlainCommand{2000};      ///< plain_command_ms
  Duration Reclaim{3000};           ///< reclaim_ms
  Duration EndpointRest{10000};     ///< endpoint_rest_ms
  Duration EndpointRestMax{300000}; ///< endpoint_rest_max_ms
  Duration StoreTimeout{2000};      ///< store_timeout_ms
  Duration EndpointTimeout{2000};   ///< endpoint_timeout_ms
  Duration DrainLimit{60000};       ///< drain_limit_ms
};

struct Settings {
  ProcessId Name; ///< Default `<ip>-<caller_port>`.
  DataCentreId DataCentre;
  std::string Ip;            ///< Of all three servers.
  uint16_t CallerPort = 0;   ///< 0: chosen by the system.
  uint16_t OperatorPort = 0; ///< 0: chosen by the system.
  uint16_t PeerPort = 0;     ///< 0: chosen by the system.
  protocol::Address Store;
  protocol::Address VmList;
  std::vector<protocol::Address> Peers; ///< First contacts, may be empty.
  LogLevel Level = LogLevel::Info;
  std::string LogFile; ///< Empty: standard error.
  EndpointMode Mode = EndpointMode::Epoch;
  Timing Times;
};

/// Reads and checks settings. Throws `InvalidInput` with every mistake; the
/// field of each is `<file>:<line>: <key>`. \p File is only used there.
///
/// ```cpp
/// std::ifstream In("entry.toml");
/// settings::Settings Process = settings::loadSettings(In, "entry.toml");
/// ```
Settings loadSettings(std::istream &In, const std::string &File);

/// The address in `IP:PORT` or `[IPv6]:PORT`, with port 1 to 65535.
std::optional<protocol::Address> parseAddress(const std::string &Text);

} // namespace teaselwalk::settings
