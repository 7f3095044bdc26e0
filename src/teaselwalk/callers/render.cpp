#include "teaselwalk/callers/render.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::callers {
namespace {

int wholeSeconds(Duration Value) {
  return static_cast<int>((Value.count() + 999) / 1000);
}

/// Text that is not UTF-8 must not make an answer impossible.
std::string dump(const nlohmann::json &Body) {
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::Response respond(int Status, const nlohmann::json &Body,
                       Duration RetryAfter = Duration(0)) {
  http::Response Message;
  Message.Status = Status;
  Message.Body = dump(Body);
  Message.RetryAfterSeconds = wholeSeconds(RetryAfter);
  return Message;
}

} // namespace

int statusOf(protocol::Refusal Reason, Verdict Outcome) {
  if (Reason == protocol::Refusal::None && Outcome != Verdict::Ran)
    return 500;
  return protocol::rowOf(Reason).Status;
}

http::Response render(const protocol::CallAnswer &Answer) {
  return respond(statusOf(Answer.Reason, Answer.Outcome), Answer,
                 Answer.RetryAfter);
}

http::Response render(const RequestId &Request, const JobAnswer &Answer) {
  if (Answer.Reason == protocol::Refusal::None && Answer.Status)
    return respond(200, *Answer.Status);
  nlohmann::json Body = {{"request_id", Request.str()},
                         {"verdict", toString(Answer.Outcome)}};
  if (!Answer.Job.empty())
    Body["job"] = Answer.Job.str();
  if (Answer.Reason == protocol::Refusal::None)
    return respond(202, Body);
  const protocol::RefusalRow &Row = protocol::rowOf(Answer.Reason);
  Body["reason"] = Row.Name;
  Body["error"] = Answer.Message;
  if (!Answer.Field.empty())
    Body["field"] = Answer.Field;
  return respond(Row.Status, Body, Answer.RetryAfter);
}

http::Response render(const RequestId &Request, const InvalidInput &Mistakes) {
  const protocol::RefusalRow &Row =
      protocol::rowOf(protocol::Refusal::BadRequest);
  nlohmann::json Errors = nlohmann::json::array();
  for (const FieldError &Mistake : Mistakes.errors())
    Errors.push_back({{"field", Mistake.Field}, {"error", Mistake.Message}});
  nlohmann::json Body = {{"request_id", Request.str()},
                         {"verdict", toString(Verdict::NotRun)},
                         {"reason", Row.Name},
                         {"errors", Errors}};
  if (!Mistakes.errors().empty()) {
    Body["field"] = Mistakes.errors().front().Field;
    Body["error"] = Mistakes.errors().front().Message;
  }
  return respond(Row.Status, Body);
}

http::Response renderRefusal(const RequestId &Request, protocol::Refusal Reason,
                             Verdict Outcome, const std::string &Message,
                             Duration RetryAfter) {
  protocol::CallAnswer Answer;
  Answer.Request = Request;
  Answer.Outcome = Outcome;
  Answer.Reason = Reason;
  Answer.Message = Message;
  Answer.RetryAfter = RetryAfter;
  return render(Answer);
}

} // namespace teaselwalk::callers
