#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/peers/message.hpp"
#include "teaselwalk/protocol/delivery.hpp"
#include "teaselwalk/runtime/metrics.hpp"
#include "teaselwalk/runtime/timeline.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace teaselwalk::peers {

struct ClientOptions {
  size_t MaxPeers = 512;            ///< Addresses known at the same time.
  size_t MaxWaitingPerPeer = 1024;  ///< Messages in the ring of a peer.
  size_t MaxRequestsPerPeer = 4;    ///< Open HTTP requests to a peer.
  size_t MaxBatch = 64;             ///< Messages in one request.
  size_t MaxBatchBytes = 1048576;   ///< A larger message travels alone.
  size_t MaxMessageBytes = 4000000; ///< A larger message is not sent.
  Duration ConnectTimeout{1000};
};

/// What is known about a message. Only `Answered` with `Taken` says that the
/// peer's engine has it. `Answered` without `Taken`, and `NotSent`, say that
/// the peer's engine surely does not.
struct SendResult {
  protocol::Delivery State = protocol::Delivery::NotSent;
  bool Taken = false;
  std::string Error; ///< For people; empty if taken.
};

/// Sends messages to other entry processes. Each peer has a bounded ring, so a
/// peer that does not answer delays no other. Messages that wait while a
/// request to their peer is open travel together as one JSON-RPC batch.
///
/// libjsonrpccpp encodes and decodes. Its HTTP client is not used, because it
/// reports all failures alike: "certainly not sent" cannot be told from
/// "perhaps received". It also needs a thread per request in progress.
class PeerClient {
public:
  using Callback = std::function<void(const SendResult &)>;

  /// \p Self and \p ReplyTo name this process to the peers. The referenced
  /// objects must outlive the client.
  PeerClient(const ClientOptions &Options, ProcessId Self,
             protocol::Address ReplyTo, runtime::TimelineBuffer &Timeline,
             runtime::Metrics &Registry);

  /// Both run functions must have returned. Messages that wait are dropped
  /// without a callback.
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// Never blocks, thread-safe. False: the peer's ring is full or there are too
  /// many peers; the message is not sent and \p Done is not called. Otherwise
  /// \p Done is called once, from another thread, shortly after the largest
  /// timeout of the messages that travel in the same batch at the latest.
  bool send(const protocol::Address &Peer, Message Content, Duration Timeout,
            Callback Done);

  /// Two threads: one encodes and batches, the other is that of the HTTP
  /// client. Both work until `stop()`.
  void runSender();
  void runTransport();
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::peers
