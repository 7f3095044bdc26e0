#include "teaselwalk/http/client.hpp"

#include "teaselwalk/base/error.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <map>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace teaselwalk::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using protocol::Address;
using protocol::Delivery;
using Tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

bhttp::request<bhttp::string_body> toBeast(const Address &Peer,
                                           const Request &Message) {
  bhttp::request<bhttp::string_body> Out;
  Out.version(11);
  Out.method_string(Message.Method);
  Out.target(Message.Target);
  Out.set(bhttp::field::host, Peer.Ip + ":" + std::to_string(Peer.Port));
  Out.set(bhttp::field::content_type, "application/json");
  if (!Message.Bearer.empty())
    Out.set(bhttp::field::authorization, "Bearer " + Message.Bearer);
  if (!Message.RequestId.empty())
    Out.set("X-Request-Id", Message.RequestId);
  for (const auto &[Name, Value] : Message.Headers)
    Out.set(Name, Value);
  Out.keep_alive(true);
  Out.body() = Message.Body;
  Out.prepare_payload();
  return Out;
}

/// One request on its way, from `send()` to its callback.
struct Exchange {
  Request Message;
  SteadyTime Deadline;
  Client::Callback Done;

  void finish(Result Outcome) {
    // The callback is released before the call because it may own the client.
    if (Client::Callback Callee = std::exchange(Done, nullptr))
      Callee(std::move(Outcome));
  }
};

struct Connection {
  Connection(asio::io_context &Context, std::unordered_set<Connection *> &All)
      : Stream(Context), All(All) {
    All.insert(this);
  }
  ~Connection() { All.erase(this); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<bhttp::response_parser<bhttp::string_body>> Parser;
  SteadyTime IdleSince;
  std::unordered_set<Connection *> &All;
};

/// Connections to one address and the requests that wait for one.
struct Peer {
  std::vector<std::shared_ptr<Connection>> Idle;
  std::deque<std::shared_ptr<Exchange>> Waiting;
  size_t Open = 0;
};

} // namespace

class Client::Impl : public std::enable_shared_from_this<Client::Impl> {
public:
  explicit Impl(ClientOptions Options)
      : Options(Options), Work(asio::make_work_guard(Context)),
        Sweeper(Context) {}

  /// Runs on the client's thread.
  void begin(const Address &At, const std::shared_ptr<Exchange> &Job) {
    if (Released)
      return;
    Peer &Target = Peers[At];
    while (!Target.Idle.empty()) {
      std::shared_ptr<Connection> Link = std::move(Target.Idle.back());
      Target.Idle.pop_back();
      if (!isClosedByPeer(*Link))
        return transmit(At, Link, Job);
      --Target.Open;
    }
    if (Target.Open < Options.MaxConnectionsPerPeer)
      return connect(At, Job);
    if (Target.Waiting.size() >= Options.MaxWaitingPerPeer)
      return Job->finish({});
    Target.Waiting.push_back(Job);
  }

  /// Ends waiting requests past their deadline and closes idle connections.
  void sweep() {
    Sweeper.expires_after(SweepInterval);
    Sweeper.async_wait([Self = shared_from_this()](error_code Failure) {
      // A timer that expired before the release must not arm itself again.
      if (Failure || Self->Released)
        return;
      Self->expire();
      Self->sweep();
    });
  }

  /// Cancels all operations and releases their handlers, which own this
  /// object. Without this, it and its context own each other.
  void release() {
    Released = true;
    Work.reset();
    Sweeper.cancel();
    Peers.clear();
    for (Connection *Link : Connections)
      Link->Stream.close();
    Context.restart();
    Context.poll();
    Peers.clear();
  }

  ClientOptions Options;
  std::unordered_set<Connection *> Connections;
  asio::io_context Context{1};

private:
  /// A waiting request ends at most this much after its deadline.
  static constexpr Duration SweepInterval{100};

  /// Peeks: a connection that the peer has closed while idle would lose the
  /// request sent on it.
  static bool isClosedByPeer(Connection &Link) {
    error_code Failure;
    Link.Stream.socket().non_blocking(true, Failure);
    char Byte = 0;
    Link.Stream.socket().receive(asio::buffer(&Byte, 1),
                                 Tcp::socket::message_peek, Failure);
    return Failure != asio::error::would_block;
  }

  void connect(const Address &At, const std::shared_ptr<Exchange> &Job) {
    error_code Failure;
    auto Ip = asio::ip::make_address(At.Ip, Failure);
    if (Failure)
      return Job->finish({});
    ++Peers[At].Open;
    auto Link = std::make_shared<Connection>(Context, Connections);
    SteadyTime Limit =
        std::chrono::steady_clock::now() + Options.ConnectTimeout;
    Link->Stream.expires_at(std::min(Limit, Job->Deadline));
    Link->Stream.async_connect(
        Tcp::endpoint(Ip, At.Port),
        [Self = shared_from_this(), At, Link, Job](error_code Refused) {
          if (Refused) {
            Self->end(Job, {});
            return Self->drop(At);
          }
          error_code Ignored;
          Link->Stream.socket().set_option(Tcp::no_delay(true), Ignored);
          Self->transmit(At, Link, Job);
        });
  }

  void transmit(const Address &At, const std::shared_ptr<Connection> &Link,
                const std::shared_ptr<Exchange> &Job) {
    if (Job->Deadline <= std::chrono::steady_clock::now()) {
      Job->finish({});
      return reuse(At, Link);
    }
    auto Out = std::make_shared<bhttp::request<bhttp::string_body>>(
        toBeast(At, Job->Message));
    Link->Stream.expires_at(Job->Deadline);
    bhttp::async_write(Link->Stream, *Out,
                       [Self = shared_from_this(), At, Link, Job,
                        Out](error_code Failure, size_t) {
                         if (Failure)
                           return Self->fail(At, Job);
                         Self->receive(At, Link, Job);
                       });
  }

  void receive(const Address &At, const std::shared_ptr<Connection> &Link,
               const std::shared_ptr<Exchange> &Job) {
    Link->Parser.emplace();
    Link->Parser->body_limit(Options.MaxBodyBytes);
    bhttp::async_read(
        Link->Stream, Link->Buffer, *Link->Parser,
        [Self = shared_from_this(), At, Link, Job](error_code Failure, size_t) {
          if (Failure)
            return Self->fail(At, Job);
          Self->complete(At, Link, Job);
        });
  }

  void complete(const Address &At, const std::shared_ptr<Connection> &Link,
                const std::shared_ptr<Exchange> &Job) {
    auto Message = Link->Parser->release();
    bool KeepAlive = Message.keep_alive();
    Result Outcome;
    Outcome.State = Delivery::Answered;
    Outcome.Message.Status = static_cast<int>(Message.result_int());
    Outcome.Message.ContentType =
        std::string(Message[bhttp::field::content_type]);
    Outcome.Message.Body = std::move(Message.body());
    // The connection is free before the callback, which may send again.
    if (KeepAlive)
      reuse(At, Link);
    else
      drop(At);
    end(Job, std::move(Outcome));
  }

  /// The request may have been read by the peer, so its end is Lost.
  void fail(const Address &At, const std::shared_ptr<Exchange> &Job) {
    Result Outcome;
    Outcome.State = Delivery::Lost;
    end(Job, std::move(Outcome));
    drop(At);
  }

  void reuse(const Address &At, const std::shared_ptr<Connection> &Link) {
    if (Released)
      return;
    Peer &Target = Peers[At];
    if (!Target.Waiting.empty()) {
      std::shared_ptr<Exchange> Next = std::move(Target.Waiting.front());
      Target.Waiting.pop_front();
      return transmit(At, Link, Next);
    }
    Link->Stream.expires_never();
    Link->IdleSince = std::chrono::steady_clock::now();
    Target.Idle.push_back(Link);
  }

  /// No callback runs once the client is being destroyed.
  void end(const std::shared_ptr<Exchange> &Job, Result Outcome) const {
    if (!Released)
      Job->finish(std::move(Outcome));
  }

  void drop(const Address &At) {
    if (Released)
      return;
    Peer &Target = Peers[At];
    --Target.Open;
    if (Target.Waiting.empty())
      return;
    std::shared_ptr<Exchange> Next = std::move(Target.Waiting.front());
    Target.Waiting.pop_front();
    connect(At, Next);
  }

  void expire() {
    SteadyTime Now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<Exchange>> Late;
    for (auto It = Peers.begin(); It != Peers.end();) {
      expireWaiting(It->second, Now, Late);
      closeIdle(It->second, Now);
      bool Unused = It->second.Open == 0 && It->second.Waiting.empty();
      It = Unused ? Peers.erase(It) : std::next(It);
    }
    for (const std::shared_ptr<Exchange> &Job : Late)
      Job->finish({});
  }

  static void expireWaiting(Peer &Target, SteadyTime Now,
                            std::vector<std::shared_ptr<Exchange>> &Late) {
    if (Target.Waiting.empty())
      return;
    std::deque<std::shared_ptr<Exchange>> Kept;
    for (std::shared_ptr<Exchange> &Job : Target.Waiting)
      (Job->Deadline <= Now ? Late.push_back(std::move(Job))
                            : Kept.push_back(std::move(Job)));
    Target.Waiting.swap(Kept);
  }

  void closeIdle(Peer &Target, SteadyTime Now) const {
    for (auto It = Target.Idle.begin(); It != Target.Idle.end();) {
      if (Now - (*It)->IdleSince < Options.IdleTimeout) {
        ++It;
        continue;
      }
      It = Target.Idle.erase(It);
      --Target.Open;
    }
  }

  bool Released = false;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  asio::steady_timer Sweeper;
  std::map<Address, Peer> Peers;
};

Client::Client(ClientOptions Options)
    : State(std::make_shared<Impl>(Options)) {}

Client::~Client() { State->release(); }

void Client::send(const Address &Peer, Request Message, Duration Timeout,
                  Callback Done) {
  auto Job = std::make_shared<Exchange>();
  Job->Message = std::move(Message);
  Job->Deadline = std::chrono::steady_clock::now() + Timeout;
  Job->Done = std::move(Done);
  asio::post(State->Context,
             [Held = State, Peer, Job] { Held->begin(Peer, Job); });
}

void Client::run() {
  State->sweep();
  State->Context.run();
}

void Client::stop() { State->Context.stop(); }

Result sendAndWait(const Address &Peer, const Request &Message,
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
