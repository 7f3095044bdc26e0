#include "teaselwalk/http/client.hpp"

#include "connection.hpp"
#include "poller.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <mutex>
#include <utility>

#include <sys/socket.h>

namespace teaselwalk::http {
namespace {

using protocol::Address;
using protocol::Delivery;

/// An exchange ends at most this much after its deadline, unless its answer is
/// being read.
constexpr Duration SweepInterval{20};
/// Further time, once, for an answer of which the last bytes may still be on
/// their way because the first were read late.
constexpr Duration LateAnswerGrace{100};
constexpr size_t ReceiveBufferBytes = 65536;

Exchange exchangeOf(std::string Text, Duration Timeout, Client::Callback Done) {
  Exchange Job;
  Job.Text = std::move(Text);
  Job.Deadline = SteadyClock::now() + Timeout;
  Job.Done = std::move(Done);
  return Job;
}

} // namespace

class Client::Impl {
public:
  explicit Impl(ClientOptions Options) : Options(Options), Pool(Options) {}

  void submit(const Address &To, PeerKind Kind, Exchange Job) {
    bool Wake = false;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Submitted.push_back({To, Kind, std::move(Job)});
      Wake = std::exchange(Asleep, false);
    }
    if (Wake)
      Events.wake();
  }

  void run() {
    while (!Stopped) {
      size_t Count = Events.wait(timeToWait());
      for (size_t I = 0; I < Count && !Stopped; ++I)
        handle(Events.event(I));
      beginSubmitted();
      if (SteadyClock::now() >= NextSweep && !Stopped)
        sweep();
      if (!Stopped)
        serveStarved();
    }
  }

  void stop() {
    Stopped = true;
    Events.wake();
  }

private:
  struct Submission {
    Address To;
    PeerKind Kind;
    Exchange Job;
  };

  /// What a connection does in one of its states.
  struct StateRow {
    ConnectionState State;
    void (Impl::*OnEvent)(ConnectionId Id, const Poller::Event &Seen);
    void (Impl::*OnDeadline)(ConnectionId Id);
  };
  static const StateRow StateRows[];

  /// In ms; 0 if requests were submitted, -1 if there is nothing to wait for.
  int timeToWait() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Asleep = Submitted.empty();
      if (!Asleep)
        return 0;
    }
    if (NextSweep == SteadyTime::max())
      return -1;
    auto Left = NextSweep - SteadyClock::now();
    return std::max(
        0, static_cast<int>(std::chrono::ceil<Duration>(Left).count()));
  }

  void beginSubmitted() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Asleep = false;
      Begun.swap(Submitted);
    }
    for (Submission &Item : Begun)
      if (!Stopped)
        begin(Item.To, Item.Kind, std::move(Item.Job));
    Begun.clear();
  }

  void begin(const Address &To, PeerKind Kind, Exchange Job) {
    Peer *Target = Pool.peer(To, Kind);
    if (!Target || Target->Waiting.size() >= Options.MaxWaitingPerPeer)
      return Job.finish(Delivery::NotSent);
    Job.Begun = SteadyClock::now();
    noteDeadline(Job.Deadline);
    Target->Waiting.push_back(std::move(Job));
    serve(*Target);
  }

  /// Sends waiting requests of \p Target on idle connections and opens
  /// connections for the others.
  void serve(Peer &Target) {
    while (!Target.Waiting.empty() && !Target.Idle.empty()) {
      ConnectionId Id = Pool.takeIdle(Target);
      if (isClosedByPeer(Pool[Id].Socket)) {
        Pool.close(Id);
        continue;
      }
      Exchange Job = std::move(Target.Waiting.front());
      Target.Waiting.pop_front();
      transmit(Id, std::move(Job));
    }
    while (Pool.needsConnection(Target)) {
      if (Pool.hasStarved(Target.Kind) || !Pool.makeRoom(Target.Kind))
        return Pool.starve(Target);
      connect(Target);
    }
  }

  /// Gives room to the peers that wait for it, one connection at a time.
  void serveStarved() {
    while (Peer *Next = Pool.takeStarved()) {
      if (Pool.needsConnection(*Next))
        connect(*Next);
      if (Pool.needsConnection(*Next))
        Pool.starve(*Next);
    }
  }

  void connect(Peer &Target) {
    std::optional<ConnectionId> Id = Pool.open(Target, Events);
    if (!Id)
      return failFirst(Target);
    Connection &Link = Pool[*Id];
    Link.Opened = SteadyClock::now();
    setDeadline(Link, Link.Opened + Options.ConnectTimeout);
  }

  static void failFirst(Peer &Target) {
    Exchange Job = std::move(Target.Waiting.front());
    Target.Waiting.pop_front();
    Job.finish(Delivery::NotSent);
  }

  void transmit(ConnectionId Id, Exchange Job) {
    if (Job.Deadline <= SteadyClock::now()) {
      release(Id);
      return Job.finish(Delivery::NotSent);
    }
    Connection &Link = Pool[Id];
    Link.State = ConnectionState::Exchanging;
    Link.Job = std::move(Job);
    Link.Sent = 0;
    Link.HasGrace = true;
    Link.Reader.reset(Options.MaxBodyBytes);
    setDeadline(Link, Link.Job.Deadline);
    flush(Id);
  }

  void flush(ConnectionId Id) {
    Connection &Link = Pool[Id];
    while (Link.Sent < Link.Job.Text.size()) {
      ssize_t Put =
          ::send(Link.Socket.number(), Link.Job.Text.data() + Link.Sent,
                 Link.Job.Text.size() - Link.Sent, MSG_NOSIGNAL);
      if (Put < 0 && errno == EINTR)
        continue;
      if (Put < 0 && errno == EAGAIN)
        return;
      if (Put < 0)
        return lose(Id);
      Link.Sent += static_cast<size_t>(Put);
    }
  }

  /// Reads what has arrived, up to the end of the answer. Returns true if there
  /// was anything. \p Drain: also if a read returns less than fits the buffer.
  bool receive(ConnectionId Id, bool Drain) {
    Connection &Link = Pool[Id];
    bool HasRead = false;
    while (true) {
      ssize_t Got =
          ::recv(Link.Socket.number(), Buffer.data(), Buffer.size(), 0);
      if (Got < 0 && errno == EINTR)
        continue;
      if (Got < 0 && errno == EAGAIN)
        return HasRead;
      HasRead = true;
      auto Size = static_cast<size_t>(std::max<ssize_t>(Got, 0));
      auto Progress = Got > 0 ? Link.Reader.feed({Buffer.data(), Size})
                              : Link.Reader.finish();
      if (Progress == ResponseReader::Progress::Complete)
        complete(Id);
      else if (Progress == ResponseReader::Progress::Malformed)
        lose(Id);
      if (Progress != ResponseReader::Progress::Incomplete ||
          (Size < Buffer.size() && !Drain))
        return HasRead;
    }
  }

  void complete(ConnectionId Id) {
    Connection &Link = Pool[Id];
    Exchange Job = std::move(Link.Job);
    Response Message = Link.Reader.take();
    const Peer &Owner = *Link.Owner;
    bool MakesWay = Owner.Open > 1 && Pool.hasStarved(Owner.Kind);
    if (Link.Reader.keepsAlive() && Link.Sent == Job.Text.size() && !MakesWay)
      release(Id);
    else
      Pool.close(Id);
    Job.finish(Delivery::Answered, std::move(Message));
  }

  /// The peer may have read the request.
  void lose(ConnectionId Id) {
    Exchange Job = std::move(Pool[Id].Job);
    Pool.close(Id);
    Job.finish(Delivery::Lost);
  }

  /// The connection waits for its next request.
  void release(ConnectionId Id) {
    setDeadline(Pool[Id], SteadyClock::now() + Options.IdleTimeout);
    Pool.release(Id);
  }

  void handle(const Poller::Event &Seen) {
    std::optional<ConnectionId> Id = Pool.find(Seen.Tag);
    if (!Id)
      return;
    Peer &Target = *Pool[*Id].Owner;
    (this->*rowOf(Pool[*Id].State).OnEvent)(*Id, Seen);
    serve(Target);
  }

  static const StateRow &rowOf(ConnectionState State) {
    return StateRows[static_cast<size_t>(State)];
  }

  void onClosedEvent(ConnectionId, const Poller::Event &) {}

  void onConnectEvent(ConnectionId Id, const Poller::Event &Seen) {
    if (Seen.Closed || Seen.Writable)
      finishConnect(Id, false);
  }

  void onIdleEvent(ConnectionId Id, const Poller::Event &) {
    if (isClosedByPeer(Pool[Id].Socket))
      Pool.close(Id);
  }

  void onExchangeEvent(ConnectionId Id, const Poller::Event &Seen) {
    if (Seen.Writable)
      flush(Id);
    if (Seen.Readable && Pool[Id].State == ConnectionState::Exchanging)
      receive(Id, Seen.Closed);
  }

  void onClosedDeadline(ConnectionId) {}

  void onConnectDeadline(ConnectionId Id) { finishConnect(Id, true); }

  void onIdleDeadline(ConnectionId Id) { Pool.close(Id); }

  /// Bytes in the socket have arrived in time; this thread was late.
  void onExchangeDeadline(ConnectionId Id) {
    bool HasRead = receive(Id, true);
    Connection &Link = Pool[Id];
    if (Link.State != ConnectionState::Exchanging)
      return;
    if (!HasRead || !std::exchange(Link.HasGrace, false))
      return lose(Id);
    setDeadline(Link, SteadyClock::now() + LateAnswerGrace);
  }

  void finishConnect(ConnectionId Id, bool IsLate) {
    Connection &Link = Pool[Id];
    if (isConnected(Link.Socket)) {
      --Link.Owner->Connecting;
      return release(Id);
    }
    if (!IsLate && !hasFailed(Link.Socket))
      return;
    Peer &Target = *Link.Owner;
    SteadyTime Opened = Link.Opened;
    Pool.close(Id);
    // Requests that came later have the whole time for a further connection.
    if (!Target.Waiting.empty() &&
        (!IsLate || Target.Waiting.front().Begun <= Opened))
      failFirst(Target);
  }

  /// Ends what is past its deadline.
  void sweep() {
    LastSweep = SteadyClock::now();
    NextSweep = SteadyTime::max();
    for (ConnectionId Id = 0; Id < Pool.size(); ++Id) {
      Connection &Link = Pool[Id];
      if (Link.State == ConnectionState::Closed)
        continue;
      if (Link.Deadline <= LastSweep) {
        Peer &Target = *Link.Owner;
        (this->*rowOf(Link.State).OnDeadline)(Id);
        serve(Target);
      }
      if (Link.State != ConnectionState::Closed)
        noteDeadline(Link.Deadline);
    }
    std::vector<Exchange> Late;
    Pool.forEachPeer([&](Peer &Target) {
      Target.takeLate(LastSweep, Late);
      for (const Exchange &Job : Target.Waiting)
        noteDeadline(Job.Deadline);
    });
    Pool.eraseUnusedPeers();
    for (Exchange &Job : Late)
      Job.finish(Delivery::NotSent);
  }

  void setDeadline(Connection &Link, SteadyTime Deadline) {
    Link.Deadline = Deadline;
    noteDeadline(Deadline);
  }

  void noteDeadline(SteadyTime Deadline) {
    NextSweep =
        std::min(NextSweep, std::max(Deadline, LastSweep + SweepInterval));
  }

  const ClientOptions Options;
  std::atomic<bool> Stopped{false};
  Poller Events;
  ConnectionPool Pool;
  std::vector<char> Buffer = std::vector<char>(ReceiveBufferBytes);
  SteadyTime LastSweep = SteadyTime::min();
  SteadyTime NextSweep = SteadyTime::max();
  std::vector<Submission> Begun;
  std::mutex Mutex;
  std::vector<Submission> Submitted; ///< Under `Mutex`, like `Asleep`.
  bool Asleep = false; ///< The next submission has to wake the thread.
};

const Client::Impl::StateRow Client::Impl::StateRows[] = {
    {ConnectionState::Closed, &Impl::onClosedEvent, &Impl::onClosedDeadline},
    {ConnectionState::Connecting, &Impl::onConnectEvent,
     &Impl::onConnectDeadline},
    {ConnectionState::Idle, &Impl::onIdleEvent, &Impl::onIdleDeadline},
    {ConnectionState::Exchanging, &Impl::onExchangeEvent,
     &Impl::onExchangeDeadline},
};

Client::Client(ClientOptions Options)
    : State(std::make_unique<Impl>(Options)) {}

Client::~Client() = default;

void Client::send(const Address &Peer, const Request &Message, Duration Timeout,
                  Callback Done, PeerKind Kind) {
  State->submit(
      Peer, Kind,
      exchangeOf(encodeRequest(Peer, Message), Timeout, std::move(Done)));
}

void Client::send(const RequestHead &Head, const std::string &Body,
                  Duration Timeout, Callback Done, PeerKind Kind) {
  State->submit(Head.peer(), Kind,
                exchangeOf(Head.with(Body), Timeout, std::move(Done)));
}

void Client::run() { State->run(); }

void Client::stop() { State->stop(); }

Result sendAndWait(const protocol::Address &Peer, const Request &Message,
                   Duration Timeout) {
  Client Sender{ClientOptions()};
  Result Outcome;
  Sender.send(Peer, Message, Timeout, [&](Result Received) {
    Outcome = std::move(Received);
    Sender.stop();
  });
  Sender.run();
  return Outcome;
}

} // namespace teaselwalk::http
