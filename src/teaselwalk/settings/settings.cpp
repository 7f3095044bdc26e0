#include "teaselwalk/settings/settings.hpp"

#include "teaselwalk/settings/timing_table.hpp"

#include "table_reader.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace teaselwalk::settings {
namespace {

constexpr size_t MaxFileBytes = 65536;
// The TOML library parses nested values by recursion; a settings file needs
// about ten brackets.
constexpr int MaxBrackets = 200;
constexpr size_t MaxPeers = 64;

bool isIp(const std::string &Text) {
  in6_addr Ignored{};
  return inet_pton(AF_INET, Text.c_str(), &Ignored) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Ignored) == 1;
}

bool isNameByte(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9') || Byte == '-' || Byte == '_' ||
         Byte == '.';
}

std::string readName(TableReader &Reader, const char *Key,
                     const std::optional<std::string> &Default) {
  std::string Text = Reader.text(Key, 1, 64, Default);
  if (!std::all_of(Text.begin(), Text.end(), isNameByte) ||
      (!Text.empty() && Text.front() == '.'))
    Reader.addError(Key, Reader.find(Key),
                    "must be letters, digits, '-', '_' and '.'");
  return Text;
}

uint16_t readPort(TableReader &Reader, const char *Key,
                  std::optional<int64_t> Default) {
  return static_cast<uint16_t>(Reader.integer(
      Key, 0, 65535, "(TCP port; 0: chosen by the system)", Default));
}

/// The default name: the address, with ':' of IPv6 replaced.
std::string nameFrom(std::string Ip, uint16_t Port) {
  std::replace(Ip.begin(), Ip.end(), ':', '-');
  return "entry-" + Ip + "-" + std::to_string(Port);
}

void readProcess(TableReader Reader, Settings &Out) {
  Out.DataCentre = DataCentreId(readName(Reader, "data_centre", std::nullopt));
  Out.Ip = Reader.text("ip", 2, 45);
  if (!Out.Ip.empty() && !isIp(Out.Ip))
    Reader.addError("ip", Reader.find("ip"), "must be an IPv4 or IPv6 address");
  Out.CallerPort = readPort(Reader, "caller_port", std::nullopt);
  Out.OperatorPort = readPort(Reader, "operator_port", std::nullopt);
  Out.PeerPort = readPort(Reader, "peer_port", 0);
  auto Same = [](uint16_t A, uint16_t B) { return A != 0 && A == B; };
  if (Same(Out.OperatorPort, Out.CallerPort))
    Reader.addError("operator_port", Reader.find("operator_port"),
                    "must differ from caller_port");
  if (Same(Out.PeerPort, Out.CallerPort) ||
      Same(Out.PeerPort, Out.OperatorPort))
    Reader.addError("peer_port", Reader.find("peer_port"),
                    "must differ from caller_port and operator_port");
  // Two processes of one address with a port chosen by the system would get
  // the same name.
  std::optional<std::string> Default;
  const toml::value *Port = Reader.find("caller_port");
  if (!Port || !Port->is_integer() || Port->as_integer() != 0)
    Default = nameFrom(Out.Ip, Out.CallerPort);
  Out.Name = ProcessId(readName(Reader, "name", Default));
  Reader.finish();
}

void readPlatform(TableReader Reader, Settings &Out) {
  Out.Store = Reader.address("store");
  Out.VmList = Reader.address("vm_list");
  Out.Peers = Reader.addresses("peers", MaxPeers);
  Out.Mode = Reader.choice("endpoint_mode", EndpointModeNames, Out.Mode);
  Reader.finish();
}

void readLog(TableReader Reader, Settings &Out) {
  Out.Level = Reader.choice("level", LogLevelNames, Out.Level);
  Out.LogFile = Reader.text("file", 0, 4096, "");
  Reader.finish();
}

const char *keyOf(Duration Timing::*Value) {
  for (const TimingField &Row : TimingTable)
    if (Row.Value == Value)
      return Row.Key;
  return "";
}

void readTiming(TableReader Reader, Timing &Out) {
  for (const TimingField &Row : TimingTable)
    Out.*Row.Value =
        Duration(Reader.integer(Row.Key, Row.Min.count(), Row.Max.count(), "ms",
                                (Out.*Row.Value).count()));
  for (const TimingRule &Rule : TimingRules) {
    if (Out.*Rule.Smaller * Rule.Factor <= Out.*Rule.Larger)
      continue;
    // The line of a key that the file sets, not of one left at its default.
    const char *Smaller = keyOf(Rule.Smaller);
    const char *Larger = keyOf(Rule.Larger);
    const char *Key = Reader.find(Smaller) ? Smaller : Larger;
    Reader.addError(Key, Reader.find(Key),
                    std::to_string(Rule.Factor) + " x " + Smaller + " (" +
                        std::to_string((Out.*Rule.Smaller).count()) +
                        " ms) must be at most " + Larger + " (" +
                        std::to_string((Out.*Rule.Larger).count()) + " ms)");
  }
  Reader.finish();
}

std::string firstLine(const std::string &Text) {
  return Text.substr(0, std::min(Text.find('\n'), size_t(200)));
}

toml::value parseToml(std::istream &In, const std::string &File) {
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  if (In.bad())
    throw InvalidInput(File, "cannot be read");
  if (Text.size() > MaxFileBytes)
    throw InvalidInput(File, "has " + std::to_string(Text.size()) +
                                 " bytes; must have at most " +
                                 std::to_string(MaxFileBytes));
  auto Brackets = std::count_if(Text.begin(), Text.end(), [](char Byte) {
    return Byte == '[' || Byte == '{';
  });
  if (Brackets > MaxBrackets)
    throw InvalidInput(File, "has " + std::to_string(Brackets) +
                                 " opening brackets; must have at most " +
                                 std::to_string(MaxBrackets));
  try {
    std::istringstream Copy(Text);
    return toml::parse(Copy, File);
  } catch (const toml::exception &Failure) {
    throw InvalidInput(File + ":" + std::to_string(Failure.location().line()),
                       "is not valid TOML: " + firstLine(Failure.what()));
  } catch (const std::exception &Failure) {
    throw InvalidInput(File, "is not valid TOML: " + firstLine(Failure.what()));
  }
}

} // namespace

std::optional<protocol::Address> parseAddress(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Text.size() - Colon - 1 > 5)
    return std::nullopt;
  std::string Digits = Text.substr(Colon + 1);
  bool Number = !Digits.empty() &&
                std::all_of(Digits.begin(), Digits.end(),
                            [](char C) { return C >= '0' && C <= '9'; });
  int Port = Number ? std::stoi(Digits) : 0;
  std::string Ip = Text.substr(0, Colon);
  bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (Bracketed)
    Ip = Ip.substr(1, Ip.size() - 2);
  bool Valid = Port >= 1 && Port <= 65535 && isIp(Ip) &&
               Bracketed == (Ip.find(':') != std::string::npos);
  if (!Valid)
    return std::nullopt;
  return protocol::Address{Ip, static_cast<uint16_t>(Port)};
}

Settings loadSettings(std::istream &In, const std::string &File) {
  toml::value Root = parseToml(In, File);
  std::vector<FieldError> Mistakes;
  TableReader Reader(Root, File, "", Mistakes);
  Settings Out;
  readProcess(Reader.table("process"), Out);
  readPlatform(Reader.table("platform"), Out);
  readLog(Reader.table("log"), Out);
  readTiming(Reader.table("timing"), Out.Times);
  Reader.finish();
  if (!Mistakes.empty())
    throw InvalidInput(std::move(Mistakes));
  return Out;
}

} // namespace teaselwalk::settings
