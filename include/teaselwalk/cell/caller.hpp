#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/job.hpp"

#include <functional>
#include <string>

namespace teaselwalk::cell {

enum class CallerAction { Submit, Status, Cancel, Pending, Unknown };

constexpr std::array<EnumName<CallerAction>, 5> CallerActionNames = {{
    {CallerAction::Submit, "submit"},
    {CallerAction::Status, "status"},
    {CallerAction::Cancel, "cancel"},
    {CallerAction::Pending, "pending"},
    {CallerAction::Unknown, "unknown"},
}};

/// A decoded request, before its queue and team are looked up.
struct CallerRequest {
  CallerAction Action = CallerAction::Unknown;
  std::string Host;
  std::string Path;
  std::string Key;  ///< Credential; empty if none was sent.
  std::string Body; ///< Read only for `Submit`.
  TimePoint ArrivedAt;
  Duration Timeout{0}; ///< Time that the caller waits; 0: not stated.
};

/// A refusal is a promise that the request has had no effect and never will. If
/// that is not certain, the answer is `Uncertain`.
enum class RequestOutcome {
  Done,      ///< Accepted, cancelled, or the state that was asked for.
  Malformed, ///< The request is invalid; a repetition will fail too.
  KeyUnknown,
  NoQueue,
  NoJob,
  Refused,   ///< Not possible at present; the caller may retry later.
  Uncertain, ///< May have taken effect; safe to repeat.
};

constexpr std::array<EnumName<RequestOutcome>, 7> RequestOutcomeNames = {{
    {RequestOutcome::Done, "done"},
    {RequestOutcome::Malformed, "malformed"},
    {RequestOutcome::KeyUnknown, "key_unknown"},
    {RequestOutcome::NoQueue, "no_queue"},
    {RequestOutcome::NoJob, "no_job"},
    {RequestOutcome::Refused, "refused"},
    {RequestOutcome::Uncertain, "uncertain"},
}};

struct CallerAnswer {
  RequestOutcome Kind = RequestOutcome::Uncertain;
  std::string Reason;                ///< For the log and the caller.
  Duration RetryAfter{0};            ///< Set for `Refused`.
  JobPhase State = JobPhase::Queued; ///< Set for `Status` requests.
  int64_t Pending = 0;               ///< Set for `Pending` requests.
};

/// Receives the answer to a request; called exactly once.
using AnswerCallback = std::function<void(const CallerAnswer &)>;

} // namespace teaselwalk::cell
