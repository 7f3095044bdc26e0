#include "peer_protocol.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/record_fields.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::node {
namespace {

using Json = nlohmann::json;
using cell::integerField;
using cell::MaxRecordCount;
using cell::MaxRecordNumber;

/// Parses \p Text and passes it to \p Decode. Throws `Error` in place of the
/// JSON library's exceptions.
template <typename Decoder>
auto decodeWith(const std::string &Text, Decoder Decode) {
  try {
    return Decode(Json::parse(Text));
  } catch (const Json::exception &Failure) {
    throw Error(std::string("cannot decode peer message: ") + Failure.what());
  }
}

/// The value \p Name of an enum whose last value is \p Last.
template <typename Enum>
Enum enumField(const Json &Body, const char *Name, Enum Last) {
  return static_cast<Enum>(
      integerField(Body, Name, 0, static_cast<int64_t>(Last)));
}

int32_t countField(const Json &Body, const char *Name) {
  return static_cast<int32_t>(integerField(Body, Name, 0, MaxRecordCount));
}

Duration durationField(const Json &Body, const char *Name) {
  return Duration(integerField(Body, Name, 0, MaxRecordNumber));
}

} // namespace

std::string encode(const cell::JobQueryResult &Answer) {
  return Json{{"answered", Answer.IsAnswered},
              {"known", Answer.IsKnown},
              {"status", static_cast<int>(Answer.Status)},
              {"queue", Answer.Queue},
              {"team", Answer.Team}}
      .dump();
}

std::string encode(const cell::PendingQueryResult &Answer) {
  return Json{{"answered", Answer.IsAnswered}, {"count", Answer.Count}}.dump();
}

std::string encode(cell::OwnerHealth Health) {
  return Json{{"health", nameOf(cell::OwnerHealthNames, Health)}}.dump();
}

std::string encode(const cell::ProbeAnswer &Answer) {
  return Json{{"process", Answer.ProcessId},
              {"stalled_ms", Answer.StalledFor.count()}}
      .dump();
}

std::string encode(const ForwardedAdviceRequest &Request) {
  Json Candidates = Json::array();
  for (const EndpointId &Id : Request.Candidates)
    Candidates.push_back(Id.str());
  return Json{{"job", Request.Step.Job.str()},
              {"occurrence", Request.Step.Occurrence},
              {"step", Request.Step.Step},
              {"candidates", std::move(Candidates)},
              {"timeout_ms", Request.Timeout.count()}}
      .dump();
}

std::string encode(const cell::Advice &Answer) {
  Json Tickets = Json::array();
  for (const auto &[Id, Ticket] : Answer.Tickets)
    Tickets.push_back({Id.str(), Ticket});
  return Json{{"outcome", static_cast<int>(Answer.Outcome)},
              {"tickets", std::move(Tickets)},
              {"valid_for_ms", Answer.Validity.count()}}
      .dump();
}

cell::JobQueryResult decodeJobAnswer(const std::string &Text) {
  return decodeWith(Text, [](const Json &Body) {
    cell::JobQueryResult Answer;
    Answer.IsAnswered = Body.at("answered");
    Answer.IsKnown = Body.at("known");
    Answer.Status = enumField(Body, "status", cell::JobPhase::Cancelled);
    Answer.Queue = Body.at("queue");
    Answer.Team = Body.at("team");
    return Answer;
  });
}

cell::PendingQueryResult decodePendingAnswer(const std::string &Text) {
  return decodeWith(Text, [](const Json &Body) {
    cell::PendingQueryResult Answer;
    Answer.IsAnswered = Body.at("answered");
    Answer.Count = integerField(Body, "count", 0, MaxRecordNumber);
    return Answer;
  });
}

cell::OwnerHealth decodeHealth(const std::string &Text) {
  return decodeWith(Text, [](const Json &Body) {
    return valueOf(cell::OwnerHealthNames, Body.at("health").get<std::string>())
        .value_or(cell::OwnerHealth::Unknown);
  });
}

cell::ProbeAnswer decodeProbeAnswer(const std::string &Text) {
  return decodeWith(Text, [](const Json &Body) {
    return cell::ProbeAnswer{Body.at("process"),
                             durationField(Body, "stalled_ms")};
  });
}

ForwardedAdviceRequest decodeForwardedAdviceRequest(const std::string &Text) {
  return decodeWith(Text, [](const Json &Body) {
    ForwardedAdviceRequest Request;
    Request.Step = {JobId(Body.at("job").get<std::string>()),
                    countField(Body, "occurrence"), countField(Body, "step")};
    for (const Json &Id : Body.at("candidates"))
      Request.Candidates.emplace_back(Id.get<std::string>());
    Request.Timeout = durationField(Body, "timeout_ms");
    return Request;
  });
}

cell::Advice decodeAdvice(const std::string &Text) {
  return decodeWith(Text, [](const Json &Body) {
    cell::Advice Answer;
    Answer.Outcome = enumField(Body, "outcome", cell::AdviceOutcome::Dropped);
    for (const Json &Row : Body.at("tickets"))
      Answer.Tickets.emplace_back(EndpointId(Row.at(0).get<std::string>()),
                                  Row.at(1).get<std::string>());
    Answer.Validity = durationField(Body, "valid_for_ms");
    return Answer;
  });
}

} // namespace teaselwalk::node
