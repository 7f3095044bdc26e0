#include "teaselwalk/base/error.hpp"
#include "teaselwalk/runtime/timeline.hpp"
#include "teaselwalk/settings/settings.hpp"

#include "command_rows.hpp"
#include "remote.hpp"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <iostream>

namespace teaselwalk::cli {
namespace {

using runtime::TimelineEvent;

constexpr const char *TimelineUsage =
    R"(Shows the events of several entry processes in one order.

Usage:
  teaselwalk timeline (--server ADDRESS)... [--after N] [--request ID]
                      [--timeout MS]
  teaselwalk timeline --help

Options:
  --server ADDRESS  Entry process, IP:PORT. May be given several times.
  --after N         Only events with a higher number; each process counts its
                    own events [default: 0].
  --request ID      Only events of this request.
  --timeout MS      Wait for each answer [default: 5000].)";

// Bounds the work for a process that produces events faster than they are
// fetched.
constexpr int MaxPages = 100;

uint64_t afterOf(const Arguments &Args) {
  std::string Text = optionOf(Args, "--after").value_or("0");
  uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    throw InvalidInput("--after", "is \"" + Text + "\"; must be a number");
  return Value;
}

std::vector<protocol::Address> serversOf(const Arguments &Args) {
  std::vector<protocol::Address> Out;
  for (const std::string &Text : Args.at("--server").asStringList()) {
    auto Found = settings::parseAddress(Text);
    if (!Found)
      throw InvalidInput("--server",
                         "is \"" + Text +
                             "\"; must be IP:PORT with port 1 to 65535");
    Out.push_back(*Found);
  }
  return Out;
}

/// One page of a process's events. Throws `Error` that says why there is none.
std::vector<TimelineEvent> fetchPage(const protocol::Address &Server,
                                     uint64_t After, Duration Timeout) {
  http::Request Message;
  Message.Target = "/v1/timeline?after=" + std::to_string(After);
  http::Result Got = http::sendAndWait(Server, Message, Timeout);
  if (Got.State != protocol::Delivery::Answered)
    throw Error("no answer");
  if (Got.Message.Status != 200)
    throw Error(reasonOf(Got.Message));
  try {
    return bodyOf(Got.Message).at("events").get<std::vector<TimelineEvent>>();
  } catch (const nlohmann::json::exception &) {
    throw Error("the answer is not a timeline");
  }
}

std::vector<TimelineEvent> fetchAll(const protocol::Address &Server,
                                    uint64_t After, Duration Timeout) {
  std::vector<TimelineEvent> Out;
  for (int Page = 0; Page < MaxPages; ++Page) {
    std::vector<TimelineEvent> Events = fetchPage(Server, After, Timeout);
    // A server that repeats its events must not make this endless.
    if (Events.empty() || Events.back().Sequence <= After)
      break;
    After = Events.back().Sequence;
    Out.insert(Out.end(), Events.begin(), Events.end());
  }
  return Out;
}

bool isOfRequest(const TimelineEvent &Event, const std::string &Request) {
  return std::any_of(Event.Values.begin(), Event.Values.end(),
                     [&](const runtime::Field &Item) {
                       return Item.Name == "request" && Item.Value == Request;
                     });
}

void print(std::ostream &Out, const TimelineEvent &Event) {
  // A wrong value from a server must not overflow the calendar.
  std::time_t Seconds =
      std::clamp<int64_t>(Event.WallMs / 1000, 0, 253402300799);
  std::tm Calendar{};
  gmtime_r(&Seconds, &Calendar);
  Out << std::put_time(&Calendar, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
      << std::setfill('0') << (Event.WallMs % 1000 + 1000) % 1000 << "Z "
      << runtime::toText({{"process", Event.Process.str()},
                          {"number", Event.Sequence},
                          {"event", Event.Name}});
  if (!Event.Values.empty())
    Out << ' ' << runtime::toText(Event.Values);
  Out << '\n';
}

int runTimeline(const Arguments &Args) {
  uint64_t After = afterOf(Args);
  Duration Timeout = durationOf(Args, "--timeout", Duration(5000));
  auto Request = optionOf(Args, "--request");
  int Code = ExitOk;
  std::vector<std::vector<TimelineEvent>> Parts;
  for (const protocol::Address &Server : serversOf(Args)) {
    try {
      Parts.push_back(fetchAll(Server, After, Timeout));
    } catch (const Error &Failure) {
      std::cerr << "no events from " << Server << ": " << Failure.what()
                << '\n';
      Code = ExitFailure;
    }
  }
  for (const TimelineEvent &Event : runtime::mergeTimelines(Parts))
    if (!Request || isOfRequest(Event, *Request))
      print(std::cout, Event);
  return Code;
}

} // namespace

const Command TimelineCommand = {"timeline", TimelineUsage, runTimeline};

} // namespace teaselwalk::cli
