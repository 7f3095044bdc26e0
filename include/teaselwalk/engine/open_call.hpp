#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/base/verdict.hpp"
#include "teaselwalk/protocol/caller.hpp"

#include <functional>
#include <string>

namespace teaselwalk::engine {

/// A quick call that has not been answered yet.
struct OpenCall {
  protocol::CallRequest Request;
  TeamId Team; ///< The team whose quota the call uses.
  TimePoint DeadlineAt;
  uint32_t Attempts = 0; ///< Run commands so far.
  /// Verdict on the attempts that have ended. It is combined with that of the
  /// last attempt when the call is answered.
  Verdict EarlierVerdict = Verdict::NotRun;
  uint32_t Hops = 0; ///< Number of processes that have forwarded the call.
  /// Sends the answer to the caller or to the peer that forwarded the call.
  std::function<void(const protocol::CallAnswer &)> Answer;
};

/// Answer that refuses a call, with the verdict that it did not run.
protocol::CallAnswer refuseCall(const protocol::CallRequest &Request,
                                protocol::Refusal Reason, std::string Message,
                                Duration RetryAfter = Duration(0));

} // namespace teaselwalk::engine
