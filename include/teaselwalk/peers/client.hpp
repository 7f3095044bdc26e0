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
  size_t MaxPeers = 512;           ///< Peers with queued or in-flight messages.
  size_t MaxWaitingPerPeer = 1024; ///< Messages in the queue of a peer.
  size_t MaxRequestsPerPeer = 4;   ///< Concurrent HTTP requests to a peer.
  size_t MaxBatch = 64;            ///< Messages in one request.
  /// No message is added to a batch of at least this size. The last message of
  /// a batch may therefore exceed it.
  size_t MaxBatchBytes = 1048576;
  size_t MaxMessageBytes = 4000000; ///< A larger message ends as NotSent.
  Duration ConnectTimeout{1000};
};

/// What the sender knows about a message. `Answered` with `IsAccepted` means
/// that the peer's engine has it. `Answered` without `IsAccepted`, and
/// `NotSent`, mean that the engine certainly does not have it. After `Lost` it
/// may or may not have it.
struct SendResult {
  protocol::Delivery State = protocol::Delivery::NotSent;
  bool IsAccepted = false;
  std::string Error; ///< For humans; empty if the message was accepted.
};

/// Sends messages to other entry processes. Each peer has its own bounded
/// queue, so an unresponsive peer does not delay messages to the others. Queued
/// messages to the same peer are sent together as one JSON-RPC batch.
///
/// libjsonrpccpp encodes the requests. Its HTTP client is not used, because it
/// reports all failures alike: "certainly not sent" cannot be told from
/// "possibly received". It also needs a thread per request in progress.
class PeerClient {
public:
  using Callback = std::function<void(const SendResult &)>;

  /// \p Self is this process and \p ReplyTo the address of its peer server;
  /// both are sent with every message. The referenced objects must outlive the
  /// client.
  PeerClient(const ClientOptions &Options, ProcessId Self,
             protocol::Address ReplyTo, runtime::TimelineBuffer &Timeline,
             runtime::Metrics &Registry);

  /// `runSender()` and `runTransport()` must have returned. Messages that are
  /// still queued are dropped without a callback.
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// Queues a message. Thread-safe; does not wait for the peer. Returns false
  /// if the peer's queue is full or there are too many peers: the message is
  /// not sent and \p Done is not called. Otherwise \p Done is called once, on
  /// the thread of `runSender()` or `runTransport()`, at the latest shortly
  /// after the largest timeout of the messages in the same batch, unless the
  /// client is stopped first.
  bool send(const protocol::Address &Peer, Message Content, Duration Timeout,
            Callback Done);

  /// Encodes and batches queued messages until `stop()`. Needs a thread of its
  /// own.
  void runSender();
  /// Runs the HTTP client until `stop()`. Needs a thread of its own.
  void runTransport();
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::peers
