#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/callers/api.hpp"
#include "teaselwalk/callers/event.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselwalk::callers {

/// Which function answers a request.
enum class AnswerKind { Call, Job, Status };

constexpr std::array<EnumName<AnswerKind>, 3> AnswerKindNames = {{
    {AnswerKind::Call, "call"},
    {AnswerKind::Job, "job"},
    {AnswerKind::Status, "status"},
}};

struct OpenRequest {
  AnswerKind Kind = AnswerKind::Call;
  RequestId Request;
  TimePoint Received;
  TimePoint Expires; ///< Then the engine's answer is no longer expected.
  Api::Reply To;
};

/// The requests that wait for an answer, by token. Thread-safe.
class OpenRequests {
public:
  OpenRequests(size_t Capacity, RequestToken First)
      : Capacity(Capacity), Next(First) {}

  /// Returns nothing if the table is full.
  std::optional<RequestToken> insert(OpenRequest Item);

  /// Removes and returns the request, if it is open and \p Matches it.
  std::optional<OpenRequest>
  take(RequestToken Id,
       const std::function<bool(const OpenRequest &)> &Matches);

  /// Removes and returns the requests that expire at \p Now or earlier.
  std::vector<OpenRequest> takeExpired(TimePoint Now);

  size_t size() const;

private:
  const size_t Capacity;
  mutable std::mutex Mutex;
  RequestToken Next;
  std::unordered_map<RequestToken, OpenRequest> Items;
};

} // namespace teaselwalk::callers
