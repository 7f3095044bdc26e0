#include "json_api.hpp"

#include "change_request.hpp"

#include <algorithm>
#include <set>

namespace teaselwalk::operators {
namespace {

using Json = nlohmann::json;

http::Response answer(int Status, const Json &Body) {
  return {Status, Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

Json toJson(const std::vector<config::Difference> &Changes) {
  Json Out = Json::array();
  for (const config::Difference &Row : Changes)
    Out.push_back({{"text", Row.Text},
                   {"dangerous", Row.Dangerous},
                   {"object", Row.Object}});
  return Out;
}

/// Reads the body of draft and apply with all mistakes of the envelope.
class Envelope {
public:
  explicit Envelope(const std::string &Text)
      : Body(Json::parse(Text, nullptr, false)) {
    if (!Body.is_object())
      throw InvalidInput("body", "must be a JSON object");
  }

  std::optional<uint64_t> revision(bool Required) {
    Known.insert("base_revision");
    if (!Body.contains("base_revision") && !Required)
      return std::nullopt;
    const Json &Value = Body["base_revision"];
    if (Value.is_number_unsigned())
      return Value.get<uint64_t>();
    Errors.push_back({"base_revision", "must be an integer of at least 0"});
    return std::nullopt;
  }

  std::string text(const char *Name, size_t Min, size_t Max) {
    Known.insert(Name);
    auto Found = Body.find(Name);
    if (Found == Body.end() && Min == 0)
      return {};
    if (Found != Body.end() && Found->is_string()) {
      auto Text = Found->get<std::string>();
      if (Text.size() >= Min && Text.size() <= Max)
        return Text;
    }
    Errors.push_back({Name, "must be a string of " + std::to_string(Min) +
                                " to " + std::to_string(Max) + " bytes"});
    return {};
  }

  config::Document document() {
    Known.insert("document");
    try {
      if (Body.contains("document"))
        return config::documentFromJson(Body["document"]);
      Errors.push_back({"document", "is missing"});
    } catch (const InvalidInput &Failure) {
      Errors.insert(Errors.end(), Failure.errors().begin(),
                    Failure.errors().end());
    }
    return {};
  }

  void finish() {
    for (const auto &Item : Body.items())
      if (Known.count(Item.key()) == 0)
        Errors.push_back({Item.key().substr(0, 40), "is not a known field"});
    if (!Errors.empty())
      throw InvalidInput(std::move(Errors));
  }

private:
  Json Body;
  std::set<std::string> Known;
  std::vector<FieldError> Errors;
};

/// The operator as named in the history: the name that was authenticated, and
/// the one that was given if it differs and there is room.
std::string nameFor(const std::string &Authenticated,
                    const std::string &Given) {
  std::string Both = Authenticated + " for " + Given;
  bool Fits = Both.size() <= config::HeadBounds().MaxWhoBytes;
  return Given.empty() || Given == Authenticated || !Fits ? Authenticated
                                                          : Both;
}

ChangeRequest readChange(const std::string &Body, const std::string &Name,
                         bool ForApply) {
  Envelope Reader(Body);
  ChangeRequest Out;
  config::HeadBounds Bounds;
  Out.Base = Reader.revision(ForApply);
  Out.Wanted = Reader.document();
  if (ForApply) {
    Out.Who = nameFor(Name, Reader.text("who", 0, Bounds.MaxWhoBytes));
    Out.Why = Reader.text("why", 1, Bounds.MaxWhyBytes);
    Out.Confirm = Reader.text("confirm", 0, 1000000);
  }
  Reader.finish();
  return Out;
}

http::Response conflictAnswer(const ChangeOutcome &Outcome) {
  return answer(409, {{"revision", Outcome.Revision},
                      {"changes", toJson(Outcome.Changes)},
                      {"verdict", "not_run"},
                      {"error", "the configuration has changed since the base "
                                "revision"}});
}

http::Response applyAnswer(const ChangeOutcome &Outcome) {
  switch (Outcome.State) {
  case ChangeState::Accepted:
    return answer(200, {{"revision", Outcome.Revision}});
  case ChangeState::Unchanged:
    return answer(200, {{"revision", Outcome.Revision}, {"unchanged", true}});
  case ChangeState::NeedsConfirm:
    return answer(
        422, {{"verdict", "not_run"},
              {"error", "a dangerous change needs its confirmation"},
              {"errors",
               Json::array({{{"field", "confirm"},
                             {"message",
                              "must be \"" + Outcome.Confirmation + "\""}}})},
              {"confirmation", Outcome.Confirmation},
              {"changes", toJson(Outcome.Changes)}});
  case ChangeState::Conflict:
    return conflictAnswer(Outcome);
  case ChangeState::Unknown:
    return errorAnswer(503,
                       "the store did not tell whether the change was made",
                       "may_have_run");
  case ChangeState::StoreUnavailable:
    break;
  }
  return errorAnswer(503, "no writer can reach the store");
}

http::Response draftAnswer(const ChangeOutcome &Outcome) {
  if (Outcome.State == ChangeState::Conflict)
    return conflictAnswer(Outcome);
  return answer(200, {{"revision", Outcome.Revision},
                      {"changes", toJson(Outcome.Changes)},
                      {"confirmation", Outcome.Confirmation}});
}

http::Response historyAnswer(const config::HeadRecord &Head) {
  Json Changes = Json::array();
  for (auto Row = Head.Changes.rbegin(); Row != Head.Changes.rend(); ++Row)
    Changes.push_back({{"revision", Row->Revision},
                       {"who", Row->Who},
                       {"when_ms", Row->WhenMs},
                       {"why", Row->Why},
                       {"patch", Row->Patch}});
  return answer(200, {{"revision", Head.Revision}, {"changes", Changes}});
}

http::Response inForceAnswer(ConfigBackend &Backend,
                             const CurrentConfig &Current) {
  // The bound after which a process that cannot confirm its document starts
  // nothing (design 3.5).
  constexpr Duration MaxAge(3000);
  Json Rows = Json::array();
  for (const InForce &Row : Backend.inForce()) {
    const config::DataCentre *Found =
        config::findDataCentre(Current.Snapshot.Content, Row.DataCentre);
    Duration CutOff = Found ? Found->CutOffService : Duration(0);
    Rows.push_back({{"name", Row.DataCentre.str()},
                    {"revision", Row.Revision},
                    {"age_ms", Row.Age.count()},
                    {"latest_effect_ms", (MaxAge + CutOff).count()}});
  }
  return answer(200,
                {{"revision", Current.Head.Revision}, {"data_centres", Rows}});
}

http::Response configAnswer(const CurrentConfig &Current) {
  return answer(200, {{"revision", Current.Head.Revision},
                      {"document", config::toJson(Current.Snapshot.Content)}});
}

} // namespace

http::Response errorAnswer(int Status, const std::string &Text,
                           const std::string &Verdict) {
  return answer(Status, {{"error", Text}, {"verdict", Verdict}});
}

http::Response refusalOf(const InvalidInput &Failure) {
  Json Errors = Json::array();
  for (const FieldError &Row : Failure.errors())
    Errors.push_back({{"field", Row.Field}, {"message", Row.Message}});
  return answer(422, {{"errors", Errors},
                      {"error", "the request has mistakes"},
                      {"verdict", "not_run"}});
}

void answerJson(ConfigBackend &Backend, const CurrentConfig &Current,
                const std::string &Name, int64_t NowMs,
                const http::Request &Message, const OperatorApi::Answer &Done) {
  std::string Route = Message.Method + " " + pathOf(Message);
  if (Route == "GET /v1/config")
    return Done(configAnswer(Current));
  if (Route == "GET /v1/config/history")
    return Done(historyAnswer(Current.Head));
  if (Route == "GET /v1/config/in-force")
    return Done(inForceAnswer(Backend, Current));
  if (Route == "POST /v1/config/draft")
    return Done(draftAnswer(draft(
        Current, readChange(Message.Body, Name, false), Backend.running())));
  if (Route == "POST /v1/config/apply")
    return apply(
        Backend, Current, readChange(Message.Body, Name, true), NowMs,
        [Done](const ChangeOutcome &Outcome) { Done(applyAnswer(Outcome)); });
  Done(errorAnswer(404, "no such route: " + Message.Method + " " +
                            pathOf(Message).substr(0, 100)));
}

} // namespace teaselwalk::operators
