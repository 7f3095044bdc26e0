#pragma once

#include "teaselwalk/fakes/endpoint_model.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselwalk::fakes {

enum class RequestKind { Call, Service, Batch, Gang };

constexpr std::array<EnumName<RequestKind>, 4> RequestKindNames = {{
    {RequestKind::Call, "call"},
    {RequestKind::Service, "service"},
    {RequestKind::Batch, "batch"},
    {RequestKind::Gang, "gang"},
}};

/// What a caller received for one submission of a request.
struct GivenAnswer {
  int Status = 0; ///< HTTP status; 0 if the connection broke.
  std::string Verdict;
  std::string Result;
};

/// A request of a caller. `Mark` is the result that its tasks are asked to
/// produce; it differs for each request.
struct Submission {
  std::string Mark;
  RequestKind Kind = RequestKind::Call;
  uint32_t Tasks = 1;
  bool Idempotent = true;
  std::vector<GivenAnswer> Answers; ///< In order; one for each submission.
};

/// One row of an endpoint's run log.
struct LoggedRun {
  std::string Endpoint;
  protocol::AttemptId Id;
  std::string Mark;
  TimePoint Start;
  std::optional<TimePoint> End;
  RunEnd Ended = RunEnd::Running;
};

/// What became of all requests, as callers and endpoints saw it.
struct Account {
  size_t Submitted = 0;
  size_t Answered = 0;   ///< Ran, or accepted and done.
  size_t NotRun = 0;     ///< Every answer said so.
  size_t MayHaveRun = 0; ///< Not idempotent and without a certain answer.
  size_t Lost = 0;       ///< Neither done nor certainly not run.
  size_t RunTwice = 0;   ///< Tasks.
  size_t Repeated = 0;   ///< Tasks with several attempts, as is allowed.
  /// Runs of requests that were answered "not run", or of unknown ones.
  size_t Unexpected = 0;
  size_t WrongAnswers = 0;         ///< Calls with another call's result.
  std::vector<std::string> Faults; ///< One line for each fault.
};

/// Compares what callers were told with what endpoints ran.
///
/// A task has run twice if two of its attempts overlap, if it was started twice
/// without being idempotent, or if two attempts finished although its request
/// was submitted once. A job's tasks must all have finished; a service's must
/// all be running.
Account countUp(const std::vector<Submission> &Submissions,
                const std::vector<LoggedRun> &Runs);

/// True if nothing was lost, run twice, run unexpectedly or mixed up.
bool isClean(const Account &Value);

/// Reads submissions, a JSON array of objects with `mark`, `kind`, `tasks`,
/// `idempotent` and `answers` [{`status`, `verdict`, `result`}]. Throws
/// `InvalidInput`.
std::vector<Submission> parseSubmissions(const std::string &Text);

/// Reads a JSON array of answers to `GET /ran`. Throws `InvalidInput`.
std::vector<LoggedRun> parseRunLogs(const std::string &Text);

} // namespace teaselwalk::fakes
