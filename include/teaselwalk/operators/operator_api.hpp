#pragma once

#include "teaselwalk/http/server.hpp"
#include "teaselwalk/operators/backend.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

/// HTTP API and console for operators.
namespace teaselwalk::operators {

/// `MaxBodyBytes` for the operators' server: a document and its envelope.
constexpr size_t MaxRequestBytes = 1048576;

struct OperatorOptions {
  /// Milliseconds since 1970, for the history and the end of sessions.
  std::function<int64_t()> WallClockMs;
  /// That many unpredictable bytes, for keys and sessions.
  std::function<std::vector<uint8_t>(size_t)> RandomBytes;
  Duration SessionLength{1800000}; ///< Of the console, since the last request.
  size_t MaxSessions = 100;        ///< The oldest ends when there are more.
};

/// Answers `/v1/config...` and `/console...`. Every request needs an operator's
/// credential, or a session of the console that began with one.
///
/// ```cpp
/// operators::OperatorApi Api(Backend, Options);
/// http::Server Server({"127.0.0.1", 8081, operators::MaxRequestBytes},
///                     Api.handler());
/// ```
class OperatorApi {
public:
  using Answer = std::function<void(http::Response)>;

  /// \p Backend must outlive this object and its pending proposals.
  OperatorApi(ConfigBackend &Backend, OperatorOptions Options);
  ~OperatorApi();
  OperatorApi(const OperatorApi &) = delete;
  OperatorApi &operator=(const OperatorApi &) = delete;

  /// Calls \p Done once, on any thread. Not thread-safe itself.
  void handle(const http::Request &Message, const Answer &Done);

  /// `handle` for a server. This object must outlive the server.
  http::Server::Handler handler();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::operators
