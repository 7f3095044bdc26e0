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

/// A caller's request, before its queue and team are known.
struct CallerRequest {
  CallerAction Action = CallerAction::Unknown;
  std::string Host;
  std::string Path;
  std::string Key;  ///< Credential; empty if none was sent.
  std::string Body; ///< Of a submission.
  TimePoint Arrived;
  Duration Limit{0}; ///< The caller waits this long; 0: not told.
};

/// Whether a request took effect decides the answer: a refusal is sent only
/// if it surely did not, and never will.
enum class RequestOutcome {
  Done,      ///< Accepted, cancelled, or the state asked for.
  Malformed, ///< Never runs.
  KeyUnknown,
  NoQueue,
  NoJob,
  Refused,   ///< Never runs; the caller may come again.
  Uncertain, ///< May have taken effect; the caller may repeat it.
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
  std::string Reason;                ///< For logs and the caller.
  Duration RetryAfter{0};            ///< Of a refusal.
  JobPhase State = JobPhase::Queued; ///< Of a status request.
  int64_t Pending = 0;               ///< Of a request for the pending count.
};

using Reply = std::function<void(const CallerAnswer &)>;

} // namespace teaselwalk::cell
