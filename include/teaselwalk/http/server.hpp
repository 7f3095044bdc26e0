#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/http/byte_budget.hpp"
#include "teaselwalk/http/message.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace teaselwalk::http {

/// Answers one request, from any thread, at most once. A responder that is
/// destroyed unused answers 500.
class Responder {
public:
  class Impl;
  explicit Responder(std::shared_ptr<Impl> Connection);

  void send(Response Message) const;

private:
  class Once;
  std::shared_ptr<Once> State;
};

/// Why a server has not handed a request to its handler, or has closed a
/// connection.
enum class Rejection {
  BodyTooLarge,
  HeadersTooLarge,
  TooManyFields, ///< Of headers.
  Malformed,
  RefusedByHead,  ///< `ServerOptions::CheckHead` has refused it.
  TooSlow,        ///< It has not arrived in time, or its answer was not read.
  BudgetExceeded, ///< Of the bytes that all connections may hold.
  Evicted,        ///< Closed unfinished, as others needed its place or bytes.
  TooManyConnections,
};

constexpr std::array<EnumName<Rejection>, 9> RejectionNames = {{
    {Rejection::BodyTooLarge, "body_too_large"},
    {Rejection::HeadersTooLarge, "headers_too_large"},
    {Rejection::TooManyFields, "too_many_fields"},
    {Rejection::Malformed, "malformed"},
    {Rejection::RefusedByHead, "refused_by_head"},
    {Rejection::TooSlow, "too_slow"},
    {Rejection::BudgetExceeded, "budget_exceeded"},
    {Rejection::Evicted, "evicted"},
    {Rejection::TooManyConnections, "too_many_connections"},
}};

struct ServerOptions {
  std::string Ip = "127.0.0.1";
  uint16_t Port = 0;            ///< 0: the system chooses a free port.
  size_t MaxBodyBytes = 262144; ///< A larger body is answered 413.
  size_t MaxHeaderBytes = 8192; ///< Larger headers are answered 431.
  size_t MaxHeaderFields = 256; ///< More fields are answered 431.
  /// With more, the oldest connection without a whole request is closed, or the
  /// one that has been idle longest; further ones are closed if there is none.
  size_t MaxConnections = 4096;
  /// The same for the connections of one address.
  size_t MaxConnectionsPerAddress = 3072;
  Duration ReadTimeout{10000};  ///< For one whole request to arrive.
  Duration WriteTimeout{10000}; ///< For one whole response to leave.
  Duration IdleTimeout{60000};  ///< Between requests on one connection.
  /// Bytes that the connections of the server hold; null: a budget of
  /// `DefaultBudget` of its own. While too few are left, the oldest connection
  /// without a whole request is closed, and requests are answered 503.
  std::shared_ptr<ByteBudget> Budget;
  /// Called with the head of a request whose body is larger than
  /// `HeadCheckBytes` or of unknown length, before the body is read. A response
  /// refuses the request.
  std::function<std::optional<Response>(const Request &)> CheckHead;
  /// Called on the server's thread with the address of the client.
  std::function<void(Rejection, const std::string &Address)> OnRejected;

  static constexpr size_t DefaultBudget = 64 << 20;
  static constexpr size_t HeadCheckBytes = 16384;
};

/// HTTP/1.1 server with one thread: the one that calls `run()`.
///
/// ```cpp
/// http::Server Server({}, [](http::Request R, http::Responder Answer) {
///   Answer.send({200, "{}"});
/// });
/// std::thread Thread([&] { Server.run(); });
/// // ... Server.port() ...
/// Server.stop();
/// Thread.join();
/// ```
class Server {
public:
  using Handler = std::function<void(Request, Responder)>;

  /// Binds and listens. Throws `Error` if the address cannot be bound.
  Server(ServerOptions Options, Handler OnRequest);

  /// `run()` must have returned. Unanswered requests are dropped.
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  uint16_t port() const;

  /// Serves until `stop()`.
  void run();

  /// Closes the listening socket; connections in progress go on. Every further
  /// response carries `Connection: close`.
  void stopAccepting();

  /// Closes the connections on which no request has begun to arrive. To be
  /// called after `stopAccepting`, so that `connections()` becomes 0.
  void closeIdle();

  /// Requests received and not yet answered.
  size_t pending() const;

  /// Connections that are not closed yet.
  size_t connections() const;

  /// Ends `run()`. Thread-safe.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

} // namespace teaselwalk::http
