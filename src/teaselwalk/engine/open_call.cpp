#include "teaselwalk/engine/open_call.hpp"

#include <utility>

namespace teaselwalk::engine {

protocol::CallAnswer refuseCall(const protocol::CallRequest &Request,
                                protocol::Refusal Reason, std::string Message,
                                Duration RetryAfter) {
  protocol::CallAnswer Answer;
  Answer.Request = Request.Request;
  Answer.Outcome = Verdict::NotRun;
  Answer.Reason = Reason;
  Answer.Message = std::move(Message);
  Answer.RetryAfter = RetryAfter;
  return Answer;
}

} // namespace teaselwalk::engine
