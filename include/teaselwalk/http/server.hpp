#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
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

struct ServerOptions {
  std::string Ip = "127.0.0.1";
  uint16_t Port = 0;            ///< 0: the system chooses a free port.
  size_t MaxBodyBytes = 262144; ///< A larger body is answered 413.
  size_t MaxHeaderBytes = 8192; ///< Larger headers are answered 431.
  size_t MaxConnections = 4096; ///< Further connections are closed at once.
  Duration ReadTimeout{10000};  ///< For one whole request to arrive.
  Duration WriteTimeout{10000}; ///< For one whole response to leave.
  Duration IdleTimeout{60000};  ///< Between requests on one connection.
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
