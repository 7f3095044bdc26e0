#include "teaselwalk/endpoints/endpoint_client.hpp"

#include "answer_json.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace teaselwalk::endpoints {
namespace {

using nlohmann::json;
using protocol::AttachCommand;
using protocol::Delivery;
using protocol::RenewCommand;
using protocol::RunCommand;
using protocol::StopCommand;

/// True if the body of an error answer states that the command had no effect.
bool reportsNotRun(const std::string &Body) {
  json Json = json::parse(Body, nullptr, false);
  if (!Json.is_object())
    return false;
  auto Found = Json.find("verdict");
  return Found != Json.end() && Found->is_string() &&
         Found->get_ref<const std::string &>() == toString(Verdict::NotRun);
}

/// Translates what is the same for all commands: no answer, a stale epoch, a
/// refusal, and any answer that was not recognised.
Answer commonAnswer(const http::Result &Outcome) {
  if (Outcome.State != Delivery::Answered)
    return Failed{Outcome.State, protocol::verdictWithoutAnswer(Outcome.State)};
  const http::Response &Message = Outcome.Message;
  if (Message.Status == 409)
    if (auto Stale = parseStaleEpoch(Message.Body))
      return *Stale;
  if (Message.Status >= 400 && reportsNotRun(Message.Body))
    return Failed{Delivery::Answered, Verdict::NotRun};
  return Failed{Delivery::Answered, Verdict::MayHaveRun};
}

bool hasStatus(const http::Result &Outcome, int Status) {
  return Outcome.State == Delivery::Answered &&
         Outcome.Message.Status == Status;
}

Answer stateAnswer(const http::Result &Outcome) {
  if (hasStatus(Outcome, 200))
    if (auto State = parseState(Outcome.Message.Body))
      return std::move(*State);
  return commonAnswer(Outcome);
}

template <typename Command>
void sendCommand(http::Client &Sender, const protocol::Address &At,
                 const char *Path, const Command &Value, Duration Timeout,
                 EndpointClient::Callback Done) {
  auto Finish = [Value, Done = std::move(Done)](const http::Result &Outcome) {
    Done(toAnswer(Value, Outcome));
  };
  try {
    Sender.send(At, {"POST", Path, json(Value).dump()}, Timeout, Finish);
  } catch (const json::exception &) {
    // JSON cannot hold a payload that is not UTF-8. Sending to an address
    // without an IP reports `NotSent` on the client's thread.
    Sender.send(protocol::Address(), {}, Timeout, Finish);
  }
}

} // namespace

Answer toAnswer(const AttachCommand &, const http::Result &Outcome) {
  return stateAnswer(Outcome);
}

Answer toAnswer(const RenewCommand &, const http::Result &Outcome) {
  return stateAnswer(Outcome);
}

Answer toAnswer(const RunCommand &Sent, const http::Result &Outcome) {
  if (hasStatus(Outcome, 200))
    if (auto Result = parseResult(Outcome.Message.Body))
      return std::move(*Result);
  // Status 208: the endpoint already runs this attempt.
  if ((hasStatus(Outcome, 202) && !Sent.Wait) || hasStatus(Outcome, 208))
    return Started();
  if (hasStatus(Outcome, 507))
    return NoRoom();
  return commonAnswer(Outcome);
}

Answer toAnswer(const StopCommand &, const http::Result &Outcome) {
  if (hasStatus(Outcome, 200))
    if (auto Result = parseStop(Outcome.Message.Body))
      return *Result;
  return commonAnswer(Outcome);
}

void EndpointClient::send(const protocol::Address &At,
                          const AttachCommand &Command, Duration Timeout,
                          Callback Done) const {
  sendCommand(Sender, At, "/attach", Command, Timeout, std::move(Done));
}

void EndpointClient::send(const protocol::Address &At,
                          const RunCommand &Command, Duration Timeout,
                          Callback Done) const {
  sendCommand(Sender, At, "/run", Command, Timeout, std::move(Done));
}

void EndpointClient::send(const protocol::Address &At,
                          const RenewCommand &Command, Duration Timeout,
                          Callback Done) const {
  sendCommand(Sender, At, "/renew", Command, Timeout, std::move(Done));
}

void EndpointClient::send(const protocol::Address &At,
                          const StopCommand &Command, Duration Timeout,
                          Callback Done) const {
  sendCommand(Sender, At, "/stop", Command, Timeout, std::move(Done));
}

} // namespace teaselwalk::endpoints
