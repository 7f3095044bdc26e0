#pragma once

#include "teaselwalk/callers/event.hpp"
#include "teaselwalk/http/message.hpp"
#include "teaselwalk/protocol/caller.hpp"
#include "teaselwalk/runtime/clock.hpp"
#include "teaselwalk/runtime/metrics.hpp"
#include "teaselwalk/runtime/timeline.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace teaselwalk::callers {

struct ApiOptions {
  protocol::CallerBounds Bounds;
  size_t MaxOpen = 10000;       ///< Requests waiting for the engine's answer.
  Duration AnswerGrace{5000};   ///< After a call's deadline, for `expire()`.
  Duration OtherWait{30000};    ///< As the deadline of jobs, queries, status.
  Duration MinRetryAfter{1000}; ///< `Retry-After` of refusals made here is
  Duration MaxRetryAfter{3000}; ///< drawn between these two.
  size_t TimelinePage = 1000;   ///< Most events in one answer.
};

/// What the API needs from the process. All functions are required.
struct ApiHooks {
  /// Hands an event to the engine. False: the ring is full, and the engine
  /// will not see the event.
  std::function<bool(CallerEvent)> Submit;
  std::function<std::string()> MetricsText;
  std::function<bool()> IsHealthy;
  std::function<bool()> IsReady;
  std::function<std::vector<runtime::TimelineEvent>(uint64_t After,
                                                    size_t Limit)>
      Timeline;
  std::function<TimePoint()> Now = runtime::steadyNow;
};

/// Routes, parses and validates requests and keeps those that wait for an
/// answer. Every reply function is called at most once.
///
/// ```cpp
/// Api Callers({}, Hooks, Registry, std::mt19937_64(Seed));
/// http::Server Server(Options, [&](http::Request R, http::Responder To) {
///   Callers.handle(R, [To](http::Response M) { To.send(std::move(M)); });
/// });
/// // Engine side, for an event CallReceived with token Id:
/// Callers.answer(Id, Answer);
/// ```
class Api {
public:
  using Reply = std::function<void(http::Response)>;

  /// \p Random makes the ids of requests that have none, and the first token.
  /// Its seed must differ between processes and starts: then a late answer to
  /// an earlier process cannot match a token of this one.
  Api(const ApiOptions &Options, ApiHooks Hooks, runtime::Metrics &Registry,
      std::mt19937_64 Random);
  ~Api();
  Api(const Api &) = delete;
  Api &operator=(const Api &) = delete;

  /// Called on one thread, that of the HTTP server.
  void handle(const http::Request &Message, const Reply &To);

  /// Thread-safe. Return false if the answer was dropped and counted, because
  /// no open request has this token, or because the request is of another kind
  /// or has another request id.
  bool answer(RequestToken Id, const protocol::CallAnswer &Answer);
  bool answerJob(RequestToken Id, const JobAnswer &Answer);
  bool answerStatus(RequestToken Id, const nlohmann::json &Status);

  /// Answers every request that the engine left without an answer for too long
  /// with 504 "may have run". Thread-safe.
  void expire();

  /// From now on, new calls and jobs are refused with 503 `shutting_down`, and
  /// `/readyz` answers 503. Thread-safe.
  void refuseNewWork();

  /// Requests waiting for an answer. Thread-safe.
  size_t open() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::callers
