#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/http/message.hpp"
#include "teaselwalk/protocol/delivery.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace teaselwalk::http {

/// Decides how many connections a peer may have. A kind keeps connections from
/// those before it.
enum class PeerKind {
  Endpoint, ///< One of many peers of which each is rarely used.
  Service,  ///< One of a few peers, such as the store.
  Control,  ///< A service for requests that must not wait for others to it.
};

/// Beyond the bounds on connections, requests wait for one.
struct ClientOptions {
  size_t MaxBodyBytes = 4194304; ///< A larger answer counts as lost.
  /// Open at the same time to all peers. An eighth is kept from endpoints, and
  /// a few from all but control requests.
  size_t MaxConnections = 4096;
  size_t MaxConnectionsPerPeer = 64;    ///< To one service.
  size_t MaxConnectionsPerEndpoint = 6; ///< To one endpoint.
  size_t MaxWaitingPerPeer = 1024;      ///< Further requests end as NotSent.
  Duration ConnectTimeout{1000};
  Duration IdleTimeout{30000}; ///< Then an unused connection is closed.
};

/// The end of one exchange. `Message` is valid only if `State` is Answered.
struct Result {
  protocol::Delivery State = protocol::Delivery::NotSent;
  Response Message;
};

/// The head of requests to one peer that differ in their bodies only. Encoded
/// once.
class RequestHead {
public:
  /// The body of \p Message, whose method is one with a body, is left out.
  RequestHead(const protocol::Address &Peer, const Request &Message);

  const protocol::Address &peer() const { return Peer; }
  /// Head and \p Body as sent.
  std::string with(const std::string &Body) const;

private:
  protocol::Address Peer;
  std::string Text; ///< Up to the value of `Content-Length`.
};

/// HTTP/1.1 client with one thread: the one that calls `run()`. Connections
/// are kept open and reused. A request that failed on a reused connection
/// before any byte of an answer is Lost and never sent again by the client.
///
/// ```cpp
/// http::Client Client({});
/// std::thread Thread([&] { Client.run(); });
/// Client.send({"127.0.0.1", 8080}, {"GET", "/healthz"}, Duration(1000),
///             [](http::Result R) { ... });
/// ```
class Client {
public:
  using Callback = std::function<void(Result)>;

  explicit Client(ClientOptions Options);

  /// `run()` must have returned. Pending callbacks are dropped without a call.
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Thread-safe. Calls \p Done exactly once, on the thread of `run()`, unless
  /// the client is destroyed first. The
  /// timeout covers waiting for a connection, sending and the answer. Requests
  /// of different kinds to one address share no connections.
  void send(const protocol::Address &Peer, const Request &Message,
            Duration Timeout, Callback Done, PeerKind Kind = PeerKind::Service);

  /// The same for a request with \p Head.
  void send(const RequestHead &Head, const std::string &Body, Duration Timeout,
            Callback Done, PeerKind Kind = PeerKind::Service);

  /// Works until `stop()`.
  void run();
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

/// Sends one request on a connection of its own and waits for the answer.
Result sendAndWait(const protocol::Address &Peer, const Request &Message,
                   Duration Timeout);

} // namespace teaselwalk::http
