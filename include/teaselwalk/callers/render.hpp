#pragma once

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/callers/event.hpp"
#include "teaselwalk/http/message.hpp"
#include "teaselwalk/protocol/caller.hpp"

namespace teaselwalk::callers {

/// The HTTP status of \p Reason, and 500 for a refusal without a reason.
int statusOf(protocol::Refusal Reason, Verdict Outcome);

/// 200 for a call that ran, else the status of the refusal.
http::Response render(const protocol::CallAnswer &Answer);

/// 202 for an accepted job, 200 for a query or cancellation, else the status of
/// the refusal.
http::Response render(const RequestId &Request, const JobAnswer &Answer);

/// 400 "not run" with every mistake.
http::Response render(const RequestId &Request, const InvalidInput &Mistakes);

/// A refusal made by the API itself.
http::Response renderRefusal(const RequestId &Request, protocol::Refusal Reason,
                             Verdict Outcome, const std::string &Message,
                             Duration RetryAfter);

} // namespace teaselwalk::callers
