#include "teaselwalk/http/server.hpp"

#include "teaselwalk/base/error.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iterator>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace teaselwalk::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

/// A request is held several times while it is handled: as text, as a parsed
/// document, and as a record that is written to the store.
constexpr size_t CopiesWhileHandled = 4;
/// What a connection holds besides its buffers.
constexpr size_t BytesPerConnection = 4096;
/// What a header field holds besides its text: its node, and its copy in the
/// request.
constexpr size_t BytesPerField = 192;
/// Bytes that are read at once while a connection is idle.
constexpr size_t FirstReadBytes = 4096;
/// Room in the buffer for the part of a body that arrives with the head.
constexpr size_t BufferSlack = 16384;
/// Seconds after which a client that was refused for want of bytes may return.
constexpr int BusyRetryAfterSeconds = 1;

/// What all sessions of a server share.
struct Shared {
  Shared(ServerOptions Given, Server::Handler OnRequest)
      : Options(std::move(Given)), OnRequest(std::move(OnRequest)) {
    if (!Options.Budget)
      Options.Budget =
          std::make_shared<ByteBudget>(ServerOptions::DefaultBudget);
  }

  void reject(Rejection Why, const std::string &Address) const {
    if (Options.OnRejected)
      Options.OnRejected(Why, Address);
  }

  ServerOptions Options;
  Server::Handler OnRequest;
  asio::io_context Context{1};
  std::unordered_set<Responder::Impl *> Sessions; ///< Only on run()'s thread.
  /// Open connections by the address of the client; only on run()'s thread.
  std::unordered_map<std::string, size_t> OpenByAddress;
  std::atomic<bool> Stopped{false};
  std::atomic<size_t> Pending{0};
  std::atomic<size_t> Open{0}; ///< Connections that are not closed yet.
  std::atomic<bool> Draining{false};
};

} // namespace

/// One connection. Alive while an operation or a responder refers to it.
class Responder::Impl : public std::enable_shared_from_this<Responder::Impl> {
public:
  Impl(std::shared_ptr<Shared> Owner, Tcp::socket Socket, std::string Address)
      : Owner(std::move(Owner)), Stream(std::move(Socket)),
        Address(std::move(Address)),
        Buffer(this->Owner->Options.MaxHeaderBytes + BufferSlack),
        WaitsSince(std::chrono::steady_clock::now()) {
    this->Owner->Sessions.insert(this);
    ++this->Owner->OpenByAddress[this->Address];
    ++this->Owner->Open;
  }

  ~Impl() {
    markClosed();
    Owner->Sessions.erase(this);
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void readNext(bool First) {
    State = Phase::Reading;
    WaitsSince = std::chrono::steady_clock::now();
    Parser.emplace();
    Parser->body_limit(Owner->Options.MaxBodyBytes);
    Parser->header_limit(
        static_cast<std::uint32_t>(Owner->Options.MaxHeaderBytes));
    if (Buffer.size() == 0)
      Buffer.shrink_to_fit();
    if (First || Buffer.size() > 0)
      return readHead();
    State = Phase::Idle;
    // An idle connection may wait longer than a request may take to arrive.
    Stream.expires_after(Owner->Options.IdleTimeout);
    Stream.async_read_some(
        Buffer.prepare(FirstReadBytes),
        [Self = shared_from_this()](error_code Failure, size_t Bytes) {
          if (Failure)
            return Self->close();
          Self->Buffer.commit(Bytes);
          Self->State = Phase::Reading;
          Self->WaitsSince = std::chrono::steady_clock::now();
          Self->readHead();
        });
  }

  /// Called on any thread by the responder.
  void respond(Response Message) {
    if (Owner->Stopped)
      return;
    asio::post(Owner->Context, [Self = shared_from_this(),
                                Message = std::move(Message)]() mutable {
      Self->write(std::move(Message));
    });
  }

  /// Drops a reference on the thread of the server, on which the connection
  /// must be destroyed.
  static void release(std::shared_ptr<Impl> Connection) {
    std::shared_ptr<Shared> Owner = Connection->Owner;
    if (!Owner->Stopped)
      asio::post(Owner->Context, [Held = std::move(Connection)] {});
  }

  void close() {
    error_code Ignored;
    Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream.close();
    markClosed();
  }

  /// Closes the connection if nothing of a request has been read.
  void closeIfIdle() {
    if (isReading() && Buffer.size() == 0 && !Parser->got_some())
      close();
  }

  /// Closes the connection that others can best do without: one on which a
  /// request is unfinished before an idle one, then the one that has waited
  /// longest. Never one whose request was read in full. False if there is none.
  static bool evict(const Shared &Owner, const Impl *Except,
                    const std::string *OfAddress, bool HoldsBytes) {
    Impl *Worst = nullptr;
    for (Impl *Each : Owner.Sessions) {
      bool IsMeant = Each != Except && !Each->IsClosed && Each->isReading() &&
                     (OfAddress == nullptr || Each->Address == *OfAddress) &&
                     (!HoldsBytes || Each->Held > 0);
      if (IsMeant && (Worst == nullptr || Each->isWorseThan(*Worst)))
        Worst = Each;
    }
    if (Worst == nullptr)
      return false;
    Owner.reject(Rejection::Evicted, Worst->Address);
    Worst->close();
    return true;
  }

private:
  enum class Phase {
    Idle,    ///< Waits for a request.
    Reading, ///< Waits for the rest of a request.
    Handling ///< The handler has the request, or the response is written.
  };

  bool isReading() const { return State != Phase::Handling; }

  bool isWorseThan(const Impl &Other) const {
    return std::tuple(State == Phase::Idle, WaitsSince) <
           std::tuple(Other.State == Phase::Idle, Other.WaitsSince);
  }

  void markClosed() {
    if (std::exchange(IsClosed, true))
      return;
    hold(0);
    --Owner->Open;
    auto Count = Owner->OpenByAddress.find(Address);
    if (--Count->second == 0)
      Owner->OpenByAddress.erase(Count);
  }

  /// Counts \p Bytes as held by this connection, which may close others that
  /// are unfinished. False if there are too few left even so.
  bool hold(size_t Bytes) {
    ByteBudget &Budget = *Owner->Options.Budget;
    if (Bytes <= Held) {
      Budget.giveBack(Held - Bytes);
      Held = Bytes;
      return true;
    }
    while (!Budget.take(Bytes - Held))
      if (!evict(*Owner, this, nullptr, true))
        return false;
    Held = Bytes;
    return true;
  }

  void readHead() {
    Stream.expires_after(Owner->Options.ReadTimeout);
    if (!hold(BytesPerConnection))
      return refuseForBytes();
    bhttp::async_read_header(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failure, size_t) {
          Self->onHead(Failure);
        });
  }

  void onHead(error_code Failure) {
    if (IsClosed)
      return;
    if (Failure)
      return onFailure(Failure);
    const auto &Message = Parser->get();
    auto Fields =
        static_cast<size_t>(std::distance(Message.begin(), Message.end()));
    if (Fields > Owner->Options.MaxHeaderFields)
      return reject(Rejection::TooManyFields, 431, "headers",
                    "more fields than allowed");
    HeadBytes = BytesPerConnection + Fields * BytesPerField + Buffer.capacity();
    if (Parser->is_done())
      return dispatch();
    std::optional<size_t> Length = bodyLength();
    bool IsLarge = !Length || *Length > ServerOptions::HeadCheckBytes;
    if (IsLarge && Owner->Options.CheckHead)
      if (std::optional<Response> Refusal =
              Owner->Options.CheckHead(decodeHead())) {
        Owner->reject(Rejection::RefusedByHead, Address);
        return closeWith(std::move(*Refusal));
      }
    // The parser takes the memory for a body of known length at once.
    if (!hold(HeadBytes + Length.value_or(0)))
      return refuseForBytes();
    readBody();
  }

  std::optional<size_t> bodyLength() const {
    auto Length = Parser->content_length();
    return Length ? std::optional<size_t>(static_cast<size_t>(*Length))
                  : std::nullopt;
  }

  void readBody() {
    bhttp::async_read_some(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failure, size_t) {
          Self->onBody(Failure);
        });
  }

  void onBody(error_code Failure) {
    if (IsClosed)
      return;
    if (Failure)
      return onFailure(Failure);
    if (Parser->is_done())
      return dispatch();
    size_t Bytes =
        std::max(Parser->get().body().capacity(), bodyLength().value_or(0));
    if (!hold(HeadBytes + Bytes))
      return refuseForBytes();
    readBody();
  }

  void onFailure(error_code Failure) {
    if (Failure == bhttp::error::body_limit)
      return reject(Rejection::BodyTooLarge, 413, "body",
                    "larger than the allowed number of bytes");
    if (Failure == bhttp::error::header_limit ||
        Failure == bhttp::error::buffer_overflow)
      return reject(Rejection::HeadersTooLarge, 431, "headers",
                    "larger than the allowed number of bytes");
    if (Failure == beast::error::timeout) {
      Owner->reject(Rejection::TooSlow, Address);
      return close();
    }
    if (Failure.category() ==
            make_error_code(bhttp::error::end_of_stream).category() &&
        Failure != bhttp::error::end_of_stream &&
        Failure != bhttp::error::partial_message)
      return reject(Rejection::Malformed, 400, "request",
                    "not a valid HTTP/1.1 message");
    close();
  }

  /// The request without its body.
  Request decodeHead() const {
    const auto &Message = Parser->get();
    Request Incoming;
    Incoming.Method = std::string(Message.method_string());
    Incoming.Target = std::string(Message.target());
    Incoming.RequestId = std::string(Message["X-Request-Id"]);
    std::string Credential(Message[bhttp::field::authorization]);
    constexpr std::string_view Scheme = "Bearer ";
    if (Credential.compare(0, Scheme.size(), Scheme) == 0)
      Incoming.Bearer = Credential.substr(Scheme.size());
    for (const auto &Field : Message)
      Incoming.Headers.emplace_back(std::string(Field.name_string()),
                                    std::string(Field.value()));
    return Incoming;
  }

  void dispatch() {
    if (!hold(HeadBytes + Parser->get().body().size() * CopiesWhileHandled))
      return refuseForBytes();
    State = Phase::Handling;
    Request Incoming = decodeHead();
    auto Message = Parser->release();
    KeepAlive = Message.keep_alive();
    Incoming.Body = std::move(Message.body());
    // No time limit while the handler works: it has deadlines of its own.
    Stream.expires_never();
    ++Owner->Pending;
    Owner->OnRequest(std::move(Incoming), Responder(shared_from_this()));
  }

  void reject(Rejection Why, int Status, const std::string &Field,
              const std::string &Message) {
    Owner->reject(Why, Address);
    closeWith({Status, R"({"verdict":"not_run","error":")" + Message +
                           R"(","field":")" + Field + R"("})"});
  }

  void refuseForBytes() {
    Owner->reject(Rejection::BudgetExceeded, Address);
    Response Busy{503, R"({"verdict":"not_run","error":"too many requests"})"};
    Busy.RetryAfterSeconds = BusyRetryAfterSeconds;
    closeWith(std::move(Busy));
  }

  /// Answers a message that is not read to its end and closes.
  void closeWith(Response Message) {
    State = Phase::Handling;
    KeepAlive = false;
    // Nothing reads any more, so the message is not needed.
    Parser.emplace();
    Buffer.clear();
    Buffer.shrink_to_fit();
    hold(0);
    ++Owner->Pending;
    write(std::move(Message));
  }

  void write(Response Message) {
    auto Out = std::make_shared<bhttp::response<bhttp::string_body>>();
    Out->version(11);
    Out->result(static_cast<unsigned>(Message.Status));
    Out->set(bhttp::field::content_type, Message.ContentType);
    if (Message.RetryAfterSeconds > 0)
      Out->set(bhttp::field::retry_after,
               std::to_string(Message.RetryAfterSeconds));
    Out->keep_alive(KeepAlive && !Owner->Draining);
    // 304 carries no body.
    if (Message.Status != 304)
      Out->body() = std::move(Message.Body);
    Out->prepare_payload();
    Stream.expires_after(Owner->Options.WriteTimeout);
    bhttp::async_write(
        Stream, *Out,
        [Self = shared_from_this(), Out](error_code Failure, size_t) {
          --Self->Owner->Pending;
          if (Failure == beast::error::timeout)
            Self->Owner->reject(Rejection::TooSlow, Self->Address);
          if (Failure || !Out->keep_alive())
            return Self->close();
          Self->hold(0);
          Self->readNext(false);
        });
  }

  std::shared_ptr<Shared> Owner;
  beast::tcp_stream Stream;
  const std::string Address; ///< Of the client.
  beast::flat_buffer Buffer;
  std::optional<bhttp::request_parser<bhttp::string_body>> Parser;
  Phase State = Phase::Reading;
  std::chrono::steady_clock::time_point WaitsSince;
  size_t Held = 0;      ///< Bytes taken from the budget.
  size_t HeadBytes = 0; ///< Of these, for the head of the present request.
  bool KeepAlive = false;
  bool IsClosed = false;
};

/// Answers 500 when the last copy of a responder goes without a response.
class Responder::Once {
public:
  explicit Once(std::shared_ptr<Impl> Connection)
      : Connection(std::move(Connection)) {}
  ~Once() {
    send({500, R"({"error":"no answer was produced"})"});
    Impl::release(std::move(Connection));
  }
  Once(const Once &) = delete;
  Once &operator=(const Once &) = delete;

  void send(Response Message) {
    if (!Used.exchange(true))
      Connection->respond(std::move(Message));
  }

private:
  std::shared_ptr<Impl> Connection;
  std::atomic<bool> Used{false};
};

Responder::Responder(std::shared_ptr<Impl> Connection)
    : State(std::make_shared<Once>(std::move(Connection))) {}

void Responder::send(Response Message) const {
  State->send(std::move(Message));
}

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
public:
  Impl(ServerOptions Options, Handler OnRequest)
      : Common(
            std::make_shared<Shared>(std::move(Options), std::move(OnRequest))),
        Acceptor(Common->Context) {
    listen();
  }

  void accept() {
    Acceptor.async_accept(
        [Self = shared_from_this()](error_code Failure, Tcp::socket Socket) {
          if (Failure == asio::error::operation_aborted)
            return;
          if (!Failure)
            Self->start(std::move(Socket));
          Self->accept();
        });
  }

  /// Cancels all operations and releases their handlers, which own the
  /// sessions. Without this, sessions and the context own each other.
  void release() {
    Common->Stopped = true;
    error_code Ignored;
    Acceptor.close(Ignored);
    for (Responder::Impl *Session : Common->Sessions)
      Session->close();
    Common->Context.restart();
    Common->Context.poll();
  }

  std::shared_ptr<Shared> Common;
  Tcp::acceptor Acceptor;

private:
  void listen() {
    const ServerOptions &Options = Common->Options;
    try {
      Tcp::endpoint At(asio::ip::make_address(Options.Ip), Options.Port);
      Acceptor.open(At.protocol());
      Acceptor.set_option(asio::socket_base::reuse_address(true));
      Acceptor.bind(At);
      Acceptor.listen();
    } catch (const boost::system::system_error &Failure) {
      throw Error("cannot listen on " + Options.Ip + ":" +
                  std::to_string(Options.Port) + ": " + Failure.what());
    }
  }

  void start(Tcp::socket Socket) {
    error_code Ignored;
    std::string Address = Socket.remote_endpoint(Ignored).address().to_string();
    if (!makeRoom(Address))
      return Common->reject(Rejection::TooManyConnections, Address);
    Socket.set_option(Tcp::no_delay(true), Ignored);
    std::make_shared<Responder::Impl>(Common, std::move(Socket),
                                      std::move(Address))
        ->readNext(true);
  }

  /// Closes other connections as far as a further one of \p Address needs it.
  bool makeRoom(const std::string &Address) const {
    const ServerOptions &Options = Common->Options;
    auto OfAddress = Common->OpenByAddress.find(Address);
    bool IsAddressFull = OfAddress != Common->OpenByAddress.end() &&
                         OfAddress->second >= Options.MaxConnectionsPerAddress;
    if (IsAddressFull &&
        !Responder::Impl::evict(*Common, nullptr, &Address, false))
      return false;
    return Common->Open < Options.MaxConnections ||
           Responder::Impl::evict(*Common, nullptr, nullptr, false);
  }
};

Server::Server(ServerOptions Options, Handler OnRequest)
    : State(std::make_shared<Impl>(std::move(Options), std::move(OnRequest))) {}

Server::~Server() { State->release(); }

uint16_t Server::port() const {
  return State->Acceptor.local_endpoint().port();
}

void Server::run() {
  // A session whose request is with the handler has no operation open in the
  // context, which would run out of work once the acceptor is closed.
  auto Guard = asio::make_work_guard(State->Common->Context);
  State->accept();
  State->Common->Context.run();
}

void Server::stopAccepting() {
  State->Common->Draining = true;
  asio::post(State->Common->Context, [Held = State] {
    error_code Ignored;
    Held->Acceptor.close(Ignored);
  });
}

void Server::closeIdle() {
  asio::post(State->Common->Context, [Held = State] {
    // A session may be destroyed when it is closed.
    std::vector<Responder::Impl *> All(Held->Common->Sessions.begin(),
                                       Held->Common->Sessions.end());
    for (Responder::Impl *Session : All)
      Session->closeIfIdle();
  });
}

size_t Server::pending() const { return State->Common->Pending; }

size_t Server::connections() const { return State->Common->Open; }

void Server::stop() { State->Common->Context.stop(); }

} // namespace teaselwalk::http
