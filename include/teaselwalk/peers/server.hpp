#pragma once

#include "teaselwalk/peers/message.hpp"
#include "teaselwalk/runtime/clock.hpp"
#include "teaselwalk/runtime/metrics.hpp"
#include "teaselwalk/runtime/timeline.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace teaselwalk::peers {

struct ServerOptions {
  std::string Ip = "127.0.0.1";
  uint16_t Port = 0; ///< 0: the system chooses a free port.
  /// Sized for a batch of `ClientOptions::MaxBatchBytes` or one message whose
  /// result has the largest size.
  size_t MaxBodyBytes = 4194304;
  size_t MaxConnections = 1024;
};

/// JSON-RPC server of an entry process.
///
/// libjsonrpccpp parses and dispatches requests. Its HTTP server is not used:
/// it listens on all addresses and cannot report a port chosen by the system;
/// it limits neither the body size nor the number of connections; and a method
/// that waits blocks one of a fixed number of threads (50 by default).
/// `http::Server` enforces both limits and needs one thread.
class PeerServer {
public:
  /// Hands a message to the engine. Returns false if the engine does not accept
  /// it, for example because its queue is full; it then never sees the message.
  using Submit = std::function<bool(Envelope)>;

  /// Binds and listens. Throws `Error` if the address cannot be bound. The
  /// referenced objects must outlive the server.
  PeerServer(const ServerOptions &Options, Submit OnMessage,
             runtime::TimelineBuffer &Timeline, runtime::Metrics &Registry);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  uint16_t port() const;

  /// Serves until `stop()`.
  void run();
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::peers
