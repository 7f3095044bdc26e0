#include "connection.hpp"

#include <algorithm>
#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace teaselwalk::http {
namespace {

constexpr int GenerationShift = 32;
/// One of this many connections is kept from endpoints.
constexpr size_t ServiceShare = 8;
/// Connections that are kept for control requests, at most one of
/// `ServiceShare`.
constexpr size_t ControlConnections = 8;

/// In the order in which their idle connections are closed.
constexpr std::array<PeerKind, PeerKindCount> AllKinds = {
    PeerKind::Endpoint, PeerKind::Service, PeerKind::Control};

uint64_t tagOf(ConnectionId Id, uint32_t Generation) {
  return static_cast<uint64_t>(Generation) << GenerationShift | Id;
}

int errorOf(const Descriptor &Socket) {
  int Error = 0;
  socklen_t Size = sizeof Error;
  if (getsockopt(Socket.number(), SOL_SOCKET, SO_ERROR, &Error, &Size) < 0)
    return errno;
  return Error;
}

} // namespace

void Exchange::finish(protocol::Delivery State, Response Message) {
  // The callback is released because it may own the client.
  if (Client::Callback Callee = std::exchange(Done, nullptr))
    Callee({State, std::move(Message)});
}

void Peer::takeLate(SteadyTime Now, std::vector<Exchange> &Late) {
  if (Waiting.empty())
    return;
  auto IsEarly = [Now](const Exchange &Job) { return Job.Deadline > Now; };
  auto FirstLate =
      std::stable_partition(Waiting.begin(), Waiting.end(), IsEarly);
  std::move(FirstLate, Waiting.end(), std::back_inserter(Late));
  Waiting.erase(FirstLate, Waiting.end());
}

bool isClosedByPeer(const Descriptor &Socket) {
  char Byte = 0;
  ssize_t Got = ::recv(Socket.number(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got >= 0 || errno != EAGAIN;
}

bool isConnected(const Descriptor &Socket) {
  sockaddr_storage Remote{};
  socklen_t Size = sizeof Remote;
  return getpeername(Socket.number(), reinterpret_cast<sockaddr *>(&Remote),
                     &Size) == 0;
}

bool hasFailed(const Descriptor &Socket) { return errorOf(Socket) != 0; }

ConnectionPool::ConnectionPool(const ClientOptions &Options) {
  size_t Share = Options.MaxConnections / ServiceShare;
  KindState &Control = kind(PeerKind::Control);
  Control.MaxPerPeer = Options.MaxConnectionsPerPeer;
  Control.MaxOpen = Options.MaxConnections;
  KindState &Services = kind(PeerKind::Service);
  Services.MaxPerPeer = Options.MaxConnectionsPerPeer;
  Services.MaxOpen = Control.MaxOpen - std::min(ControlConnections, Share);
  KindState &Endpoints = kind(PeerKind::Endpoint);
  Endpoints.MaxPerPeer = Options.MaxConnectionsPerEndpoint;
  Endpoints.MaxOpen = Services.MaxOpen - Share;
}

Peer *ConnectionPool::peer(const protocol::Address &At, PeerKind Kind) {
  auto Known = Peers.find({At, Kind});
  if (Known != Peers.end())
    return &Known->second;
  boost::system::error_code Failure;
  auto Ip = boost::asio::ip::make_address(At.Ip, Failure);
  if (Failure)
    return nullptr;
  Peer &Added = Peers[{At, Kind}];
  Added.Endpoint = {Ip, At.Port};
  Added.Kind = Kind;
  return &Added;
}

bool ConnectionPool::needsConnection(const Peer &Target) const {
  return Target.Waiting.size() > Target.Connecting &&
         Target.Open < kind(Target.Kind).MaxPerPeer;
}

bool ConnectionPool::isFull(PeerKind Last) const {
  size_t Open = 0;
  for (PeerKind Kind : AllKinds)
    if (Kind <= Last)
      Open += kind(Kind).Open;
  return Open >= kind(Last).MaxOpen;
}

bool ConnectionPool::makeRoom(PeerKind Kind) {
  return std::all_of(AllKinds.begin(), AllKinds.end(), [&](PeerKind Last) {
    return Last < Kind || !isFull(Last) || closeOldestIdle(Last);
  });
}

bool ConnectionPool::closeOldestIdle(PeerKind Last) {
  for (PeerKind Kind : AllKinds) {
    ConnectionId Id = kind(Kind).OldestIdle;
    if (Kind > Last || Id == NoConnection)
      continue;
    close(Id);
    return true;
  }
  return false;
}

void ConnectionPool::starve(Peer &Target) {
  if (!std::exchange(Target.IsStarved, true))
    kind(Target.Kind).Starved.push_back(&Target);
}

Peer *ConnectionPool::takeStarved() {
  for (PeerKind Kind :
       {PeerKind::Control, PeerKind::Service, PeerKind::Endpoint}) {
    std::deque<Peer *> &Starved = kind(Kind).Starved;
    if (Starved.empty() || !makeRoom(Kind))
      continue;
    Peer *Next = Starved.front();
    Starved.pop_front();
    Next->IsStarved = false;
    return Next;
  }
  return nullptr;
}

std::optional<ConnectionId> ConnectionPool::open(Peer &To, Poller &Events) {
  Descriptor Socket(::socket(To.Endpoint.protocol().family(),
                             SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Socket.isOpen())
    return std::nullopt;
  int On = 1;
  setsockopt(Socket.number(), IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  if (::connect(Socket.number(), To.Endpoint.data(), To.Endpoint.size()) < 0 &&
      errno != EINPROGRESS)
    return std::nullopt;
  if (Free.empty()) {
    Free.push_back(static_cast<ConnectionId>(Connections.size()));
    Connections.emplace_back();
  }
  ConnectionId Id = Free.back();
  Connection &Link = Connections[Id];
  if (!Events.add(Socket, tagOf(Id, Link.Generation)))
    return std::nullopt;
  Free.pop_back();
  Link.Socket = std::move(Socket);
  Link.State = ConnectionState::Connecting;
  Link.Owner = &To;
  ++To.Open;
  ++To.Connecting;
  ++kind(To.Kind).Open;
  return Id;
}

void ConnectionPool::close(ConnectionId Id) {
  Connection &Link = Connections[Id];
  Peer &Target = *Link.Owner;
  if (Link.State == ConnectionState::Connecting)
    --Target.Connecting;
  if (Link.State == ConnectionState::Idle)
    unlinkIdle(Id);
  Target.Idle.erase(std::remove(Target.Idle.begin(), Target.Idle.end(), Id),
                    Target.Idle.end());
  --Target.Open;
  --kind(Target.Kind).Open;
  Link.Socket.reset();
  Link.State = ConnectionState::Closed;
  Link.Owner = nullptr;
  Link.Job = {};
  Link.Reader = {};
  ++Link.Generation;
  Free.push_back(Id);
}

void ConnectionPool::release(ConnectionId Id) {
  Connection &Link = Connections[Id];
  KindState &State = kind(Link.Owner->Kind);
  Link.State = ConnectionState::Idle;
  Link.Owner->Idle.push_back(Id);
  Link.Older = State.NewestIdle;
  Link.Newer = NoConnection;
  (Link.Older == NoConnection ? State.OldestIdle
                              : Connections[Link.Older].Newer) = Id;
  State.NewestIdle = Id;
}

void ConnectionPool::unlinkIdle(ConnectionId Id) {
  const Connection &Link = Connections[Id];
  KindState &State = kind(Link.Owner->Kind);
  (Link.Older == NoConnection ? State.OldestIdle
                              : Connections[Link.Older].Newer) = Link.Newer;
  (Link.Newer == NoConnection ? State.NewestIdle
                              : Connections[Link.Newer].Older) = Link.Older;
}

ConnectionId ConnectionPool::takeIdle(Peer &Target) {
  ConnectionId Id = Target.Idle.back();
  Target.Idle.pop_back();
  unlinkIdle(Id);
  Connections[Id].State = ConnectionState::Exchanging;
  return Id;
}

std::optional<ConnectionId> ConnectionPool::find(uint64_t Tag) const {
  auto Id = static_cast<ConnectionId>(Tag);
  if (Id >= Connections.size() ||
      Connections[Id].State == ConnectionState::Closed ||
      tagOf(Id, Connections[Id].Generation) != Tag)
    return std::nullopt;
  return Id;
}

void ConnectionPool::forEachPeer(const std::function<void(Peer &)> &Visit) {
  for (auto &[Key, Target] : Peers)
    Visit(Target);
}

void ConnectionPool::eraseUnusedPeers() {
  for (auto It = Peers.begin(); It != Peers.end();) {
    const Peer &Target = It->second;
    bool Unused =
        Target.Open == 0 && Target.Waiting.empty() && !Target.IsStarved;
    It = Unused ? Peers.erase(It) : std::next(It);
  }
}

} // namespace teaselwalk::http
