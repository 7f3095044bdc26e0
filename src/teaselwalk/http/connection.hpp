#pragma once

#include "poller.hpp"
#include "wire.hpp"

#include "teaselwalk/http/client.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::http {

using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;
using ConnectionId = uint32_t;

constexpr ConnectionId NoConnection = UINT32_MAX;
constexpr size_t PeerKindCount = 3;

/// One request on its way, from `send()` to its callback.
struct Exchange {
  std::string Text; ///< Head and body as sent.
  SteadyTime Deadline;
  SteadyTime Begun;
  Client::Callback Done;

  void finish(protocol::Delivery State, Response Message = {});
};

/// In the order of the rows of `StateRows`.
enum class ConnectionState { Closed, Connecting, Idle, Exchanging };

/// Connections of one kind to one address and the requests that wait for one.
struct Peer {
  boost::asio::ip::tcp::endpoint Endpoint;
  PeerKind Kind = PeerKind::Service;
  std::vector<ConnectionId> Idle; ///< The most recently used one is last.
  std::deque<Exchange> Waiting;
  size_t Open = 0;
  size_t Connecting = 0;
  bool IsStarved = false; ///< In the queue for room.

  /// Moves the waiting requests past their deadline to \p Late.
  void takeLate(SteadyTime Now, std::vector<Exchange> &Late);
};

struct Connection {
  Descriptor Socket;
  ConnectionState State = ConnectionState::Closed;
  uint32_t Generation = 0; ///< Events of an earlier one are void.
  Peer *Owner = nullptr;
  SteadyTime Opened;
  SteadyTime Deadline;               ///< Of the present state.
  ConnectionId Older = NoConnection; ///< Neighbours among the idle ones.
  ConnectionId Newer = NoConnection;
  bool HasGrace = true;
  size_t Sent = 0; ///< Bytes of the request.
  Exchange Job;
  ResponseReader Reader;
};

/// True if the connection has ended or holds unexpected bytes: it would lose
/// the next request.
bool isClosedByPeer(const Descriptor &Socket);

bool isConnected(const Descriptor &Socket);

/// True if the attempt to connect has ended in an error.
bool hasFailed(const Descriptor &Socket);

/// The connections of a client and its peers. Ids of closed connections are
/// used again. References to peers are valid until `eraseUnusedPeers()`.
class ConnectionPool {
public:
  explicit ConnectionPool(const ClientOptions &Options);

  /// Nothing if \p At has no valid IP address.
  Peer *peer(const protocol::Address &At, PeerKind Kind);

  /// True if more requests wait than connections are being opened, and
  /// \p Target may have a further one as far as its own number goes.
  bool needsConnection(const Peer &Target) const;

  /// True if there is room for a further connection to a peer of this kind.
  /// Closes the least recently used idle connection if need be.
  bool makeRoom(PeerKind Kind);

  /// Lets \p Target wait for room.
  void starve(Peer &Target);
  bool hasStarved(PeerKind Kind) const { return !kind(Kind).Starved.empty(); }
  /// Removes the next peer for which there is room from those that wait for it.
  /// Nothing if there is none.
  Peer *takeStarved();

  /// Starts to connect. Nothing if the system refuses.
  std::optional<ConnectionId> open(Peer &To, Poller &Events);
  void close(ConnectionId Id);

  /// Marks a connection as idle.
  void release(ConnectionId Id);
  /// Removes the most recently used idle connection of \p Target.
  ConnectionId takeIdle(Peer &Target);

  /// The connection of an event, if it is still open.
  std::optional<ConnectionId> find(uint64_t Tag) const;

  size_t size() const { return Connections.size(); }
  Connection &operator[](ConnectionId Id) { return Connections[Id]; }

  void forEachPeer(const std::function<void(Peer &)> &Visit);
  void eraseUnusedPeers();

private:
  using PeerKey = std::pair<protocol::Address, PeerKind>;
  struct PeerKeyHash {
    size_t operator()(const PeerKey &Value) const {
      const auto &[At, Kind] = Value;
      size_t Hash = std::hash<std::string>()(At.Ip) * 31 + At.Port;
      return Hash * PeerKindCount + static_cast<size_t>(Kind);
    }
  };

  /// All peers of one kind.
  struct KindState {
    size_t MaxPerPeer = 0;
    size_t MaxOpen = 0; ///< Together with the kinds before it.
    size_t Open = 0;
    ConnectionId OldestIdle = NoConnection;
    ConnectionId NewestIdle = NoConnection;
    std::deque<Peer *> Starved;
  };

  KindState &kind(PeerKind Kind) { return Kinds[static_cast<size_t>(Kind)]; }
  const KindState &kind(PeerKind Kind) const {
    return Kinds[static_cast<size_t>(Kind)];
  }
  /// True if \p Last and the kinds before it have as many connections as they
  /// may have.
  bool isFull(PeerKind Last) const;
  /// Closes an idle connection of the first kind up to \p Last that has one.
  bool closeOldestIdle(PeerKind Last);
  void unlinkIdle(ConnectionId Id);

  std::array<KindState, PeerKindCount> Kinds;
  std::unordered_map<PeerKey, Peer, PeerKeyHash> Peers;
  /// A deque keeps references valid while connections are added.
  std::deque<Connection> Connections;
  std::vector<ConnectionId> Free;
};

} // namespace teaselwalk::http
