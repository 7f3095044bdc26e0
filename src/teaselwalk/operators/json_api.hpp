#pragma once

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/operators/operator_api.hpp"

#include <string>

/// The JSON routes under `/v1/config`.
namespace teaselwalk::operators {

/// Answers one request of operator \p Name, who is authenticated. Throws
/// `InvalidInput` for a bad request.
void answerJson(ConfigBackend &Backend, const CurrentConfig &Current,
                const std::string &Name, int64_t NowMs,
                const http::Request &Message, const OperatorApi::Answer &Done);

/// 422 with every mistake.
http::Response refusalOf(const InvalidInput &Failure);

/// An error with its verdict.
http::Response errorAnswer(int Status, const std::string &Text,
                           const std::string &Verdict = "not_run");

} // namespace teaselwalk::operators
