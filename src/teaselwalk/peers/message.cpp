#include "teaselwalk/peers/message.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace teaselwalk::peers {
namespace {

using nlohmann::json;

constexpr int64_t MaxDeadlineMs = 60000;
// Bound on received values. A process that receives a forwarded call places or
// refuses it and does not forward it again, so the engine itself sends 1.
constexpr uint32_t MaxHops = 4;
constexpr size_t MaxTextBytes = 1048576;

void requireField(bool IsValid, const char *Field, const char *Bound) {
  if (!IsValid)
    throw InvalidInput(Field, Bound);
}

uint64_t tokenOf(const json &Params) {
  return Params.at("token").get<uint64_t>();
}

std::string textOf(const json &Body) {
  auto Text = Body.at("text").get<std::string>();
  requireField(Text.size() <= MaxTextBytes, "text",
               "must be at most 1048576 bytes");
  return Text;
}

// `toBody()` encodes the part of the parameters that depends on the method.
json toBody(const HeartbeatMessage &Value) { return Value.Beat; }
json toBody(const CallMessage &Value) { return Value.Call; }
json toBody(const AnswerMessage &Value) { return Value.Answer; }
json toBody(const DigestMessage &Value) { return {{"text", Value.Text}}; }
json toBody(const ProposeMessage &Value) { return {{"text", Value.Text}}; }
json toBody(const OutcomeMessage &Value) { return {{"text", Value.Text}}; }

template <typename T, typename = void> struct HasToken : std::false_type {};
template <typename T>
struct HasToken<T, std::void_t<decltype(T::Token)>> : std::true_type {};

Message readHeartbeat(const json &, const json &Body) {
  HeartbeatMessage Out;
  Body.get_to(Out.Beat);
  requireField(Out.Beat.DocumentAge.count() >= 0, "document_age_ms",
               "must not be negative");
  for (const protocol::Attestation &Item : Out.Beat.Attestations)
    requireField(Item.Age.count() >= 0, "age_ms", "must not be negative");
  return Out;
}

Message readCall(const json &Params, const json &Body) {
  CallMessage Out{tokenOf(Params), {}};
  Body.get_to(Out.Call);
  int64_t Deadline = Out.Call.Call.Deadline.count();
  requireField(Deadline > 0 && Deadline <= MaxDeadlineMs, "deadline_ms",
               "must be from 1 to 60000 ms");
  requireField(Out.Call.Hops >= 1 && Out.Call.Hops <= MaxHops, "hops",
               "must be from 1 to 4");
  requireField(!hasNegative(Out.Call.Call.Size), "size",
               "must not be negative");
  return Out;
}

Message readAnswer(const json &Params, const json &Body) {
  AnswerMessage Out{tokenOf(Params), {}};
  Body.get_to(Out.Answer);
  return Out;
}

Message readDigest(const json &, const json &Body) {
  return DigestMessage{textOf(Body)};
}

Message readProposal(const json &Params, const json &Body) {
  return ProposeMessage{tokenOf(Params), textOf(Body)};
}

Message readOutcome(const json &Params, const json &Body) {
  return OutcomeMessage{tokenOf(Params), textOf(Body)};
}

using BodyReader = Message (*)(const json &Params, const json &Body);
constexpr std::array<BodyReader, MethodNames.size()> BodyReaders = {
    readHeartbeat, readCall, readAnswer, readDigest, readProposal, readOutcome};

Envelope readEnvelope(BodyReader ReadBody, const json &Params) {
  Envelope Out;
  Out.From = ProcessId(Params.at("from").get<std::string>());
  Params.at("ip").get_to(Out.ReplyTo.Ip);
  Params.at("port").get_to(Out.ReplyTo.Port);
  Params.at("time").at(0).get_to(Out.Sent.WallMs);
  Params.at("time").at(1).get_to(Out.Sent.Logical);
  Out.Content = ReadBody(Params, Params.at("body"));
  return Out;
}

} // namespace

std::string_view methodOf(const Message &Content) {
  return MethodNames[Content.index()];
}

std::string encode(const Envelope &Value) {
  json Params = {{"from", Value.From.str()},
                 {"ip", Value.ReplyTo.Ip},
                 {"port", Value.ReplyTo.Port},
                 {"time", {Value.Sent.WallMs, Value.Sent.Logical}}};
  std::visit(
      [&](const auto &Content) {
        Params["body"] = toBody(Content);
        if constexpr (HasToken<std::decay_t<decltype(Content)>>::value)
          Params["token"] = Content.Token;
      },
      Value.Content);
  try {
    return Params.dump();
  } catch (const json::exception &Failure) {
    throw InvalidInput("message", Failure.what());
  }
}

Envelope decode(std::string_view Method, const std::string &Params) {
  for (size_t I = 0; I < MethodNames.size(); ++I) {
    if (MethodNames[I] != Method)
      continue;
    try {
      return readEnvelope(BodyReaders[I], json::parse(Params));
    } catch (const json::exception &Failure) {
      throw InvalidInput("params", Failure.what());
    }
  }
  throw InvalidInput("method", "is unknown");
}

} // namespace teaselwalk::peers
