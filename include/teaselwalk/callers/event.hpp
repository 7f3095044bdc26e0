#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/base/verdict.hpp"
#include "teaselwalk/protocol/caller.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// HTTP API for callers: requests become events, answers find their request by
/// its token.
namespace teaselwalk::callers {

/// Names one open request of this process. Never reused while it runs.
using RequestToken = uint64_t;

/// `POST /v1/calls`. Answer with `Api::answer()`.
struct CallReceived {
  RequestToken Id = 0;
  protocol::CallRequest Call;
};

/// `POST /v1/jobs`. Answer with `Api::answerJob()`.
struct JobReceived {
  RequestToken Id = 0;
  protocol::JobRequest Job;
};

/// `GET /v1/jobs/ID`. Answer with `Api::answerJob()`.
struct JobQuery {
  RequestToken Id = 0;
  std::string Key;
  JobId Job;
};

/// `DELETE /v1/jobs/ID`. Answer with `Api::answerJob()`.
struct JobCancel {
  RequestToken Id = 0;
  std::string Key;
  JobId Job;
};

/// `GET /v1/status`. Answer with `Api::answerStatus()`.
struct StatusQuery {
  RequestToken Id = 0;
};

using CallerEvent =
    std::variant<CallReceived, JobReceived, JobQuery, JobCancel, StatusQuery>;

/// Answer to a job request, a job query or a cancellation.
struct JobAnswer {
  protocol::Refusal Reason = protocol::Refusal::None;
  Verdict Outcome = Verdict::NotRun;
  JobId Job;           ///< Also set when a submission "may have run".
  std::string Message; ///< For people; empty unless refused.
  std::string Field;   ///< The offending field, if one.
  Duration RetryAfter{0};
  std::optional<protocol::JobStatus> Status; ///< For query and cancellation.
};

} // namespace teaselwalk::callers
