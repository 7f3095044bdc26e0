#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/http/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace teaselwalk::fakes {

/// Answers one request of an `HttpHost`, on the host's thread. The connection
/// is closed without an answer when the last copy goes unused, which is how a
/// fake loses an answer.
class Reply {
public:
  class Session;
  explicit Reply(std::shared_ptr<Session> Connection);

  void send(http::Response Message);

  /// From now on `send` closes the connection instead of answering.
  void lose() { Lost = true; }

private:
  std::shared_ptr<Session> Connection;
  bool Lost = false;
};

/// HTTP/1.1 server for fakes: many ports and timers on one thread. Unlike
/// `http::Server` it can drop a connection on purpose.
class HttpHost {
public:
  using Handler = std::function<void(http::Request, Reply)>;

  HttpHost();
  /// `run()` must have returned.
  ~HttpHost();
  HttpHost(const HttpHost &) = delete;
  HttpHost &operator=(const HttpHost &) = delete;

  /// Listens and returns the port; port 0 lets the system choose one. Before
  /// `run()` or on its thread. Throws `Error`.
  uint16_t listen(const std::string &Ip, uint16_t Port, Handler OnRequest);

  /// Calls \p Work on the host's thread after \p Delay.
  void after(Duration Delay, std::function<void()> Work);

  /// Milliseconds of the machine's steady clock, which all processes on the
  /// machine share.
  TimePoint now() const;

  /// Works until `stop()`, and until SIGTERM or SIGINT if \p EndOnSignal.
  void run(bool EndOnSignal = false);

  /// Thread-safe.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::fakes
