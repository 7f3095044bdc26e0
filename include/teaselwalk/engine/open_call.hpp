#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/base/verdict.hpp"
#include "teaselwalk/protocol/caller.hpp"

#include <functional>
#include <string>

namespace teaselwalk::engine {

/// A quick call whose caller waits for the answer.
struct OpenCall {
  protocol::CallRequest Request;
  TeamId Team; ///< That is charged.
  TimePoint DeadlineAt;
  uint32_t Attempts = 0;
  /// Verdict on the attempts that have ended; part of the final verdict.
  Verdict Earlier = Verdict::NotRun;
  uint32_t Hops = 0; ///< How often it was forwarded.
  /// Sends the answer to the caller or to the peer that forwarded the call.
  std::function<void(const protocol::CallAnswer &)> Answer;
};

/// An answer that the call did not run.
protocol::CallAnswer refuseCall(const protocol::CallRequest &Request,
                                protocol::Refusal Reason, std::string Message,
                                Duration RetryAfter = Duration(0));

} // namespace teaselwalk::engine
