#include "teaselwalk/http/server.hpp"

#include "teaselwalk/base/error.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
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
using Tcp = asio::ip::tcp;

/// What all sessions of a server share.
struct Shared {
  Shared(ServerOptions Options, Server::Handler OnRequest)
      : Options(std::move(Options)), OnRequest(std::move(OnRequest)) {}

  ServerOptions Options;
  Server::Handler OnRequest;
  asio::io_context Context{1};
  std::unordered_set<Responder::Impl *> Sessions; ///< Only on run()'s thread.
  std::atomic<bool> Stopped{false};
  std::atomic<size_t> Pending{0};
  std::atomic<size_t> Open{0}; ///< Connections that are not closed yet.
  std::atomic<bool> Draining{false};
};

} // namespace

/// One connection. Alive while an operation or a responder refers to it.
class Responder::Impl : public std::enable_shared_from_this<Responder::Impl> {
public:
  Impl(std::shared_ptr<Shared> Owner, Tcp::socket Socket)
      : Owner(std::move(Owner)), Stream(std::move(Socket)) {
    this->Owner->Sessions.insert(this);
    ++this->Owner->Open;
  }

  ~Impl() {
    markClosed();
    Owner->Sessions.erase(this);
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void readNext(bool First) {
    IsReading = true;
    Parser.emplace();
    Parser->body_limit(Owner->Options.MaxBodyBytes);
    Parser->header_limit(
        static_cast<std::uint32_t>(Owner->Options.MaxHeaderBytes));
    if (First || Buffer.size() > 0)
      return readMessage();
    // An idle connection may wait longer than a request may take to arrive.
    Stream.expires_after(Owner->Options.IdleTimeout);
    Stream.async_read_some(
        Buffer.prepare(4096),
        [Self = shared_from_this()](error_code Failure, size_t Bytes) {
          if (Failure)
            return Self->close();
          Self->Buffer.commit(Bytes);
          Self->readMessage();
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
    if (IsReading && Buffer.size() == 0 && !Parser->got_some())
      close();
  }

private:
  void markClosed() {
    if (!std::exchange(IsClosed, true))
      --Owner->Open;
  }

  void readMessage() {
    Stream.expires_after(Owner->Options.ReadTimeout);
    bhttp::async_read(Stream, Buffer, *Parser,
                      [Self = shared_from_this()](error_code Failure, size_t) {
                        Self->onRead(Failure);
                      });
  }

  void onRead(error_code Failure) {
    if (Failure == bhttp::error::body_limit)
      return refuse(413, "body", "larger than the allowed number of bytes");
    if (Failure == bhttp::error::header_limit)
      return refuse(431, "headers", "larger than the allowed number of bytes");
    if (Failure == beast::error::timeout)
      return close();
    if (Failure &&
        Failure.category() ==
            make_error_code(bhttp::error::end_of_stream).category() &&
        Failure != bhttp::error::end_of_stream &&
        Failure != bhttp::error::partial_message)
      return refuse(400, "request", "not a valid HTTP/1.1 message");
    if (Failure)
      return close();
    dispatch();
  }

  void dispatch() {
    IsReading = false;
    auto Message = Parser->release();
    KeepAlive = Message.keep_alive();
    Request Incoming;
    Incoming.Method = std::string(Message.method_string());
    Incoming.Target = std::string(Message.target());
    Incoming.Body = std::move(Message.body());
    Incoming.RequestId = std::string(Message["X-Request-Id"]);
    std::string Credential(Message[bhttp::field::authorization]);
    constexpr std::string_view Scheme = "Bearer ";
    if (Credential.compare(0, Scheme.size(), Scheme) == 0)
      Incoming.Bearer = Credential.substr(Scheme.size());
    for (const auto &Field : Message)
      Incoming.Headers.emplace_back(std::string(Field.name_string()),
                                    std::string(Field.value()));
    // No time limit while the handler works: it has deadlines of its own.
    Stream.expires_never();
    ++Owner->Pending;
    Owner->OnRequest(std::move(Incoming), Responder(shared_from_this()));
  }

  /// Answers a message that cannot be read to its end and closes.
  void refuse(int Status, const std::string &Field, const std::string &Why) {
    IsReading = false;
    KeepAlive = false;
    ++Owner->Pending;
    write({Status, R"({"verdict":"not_run","error":")" + Why +
                       R"(","field":")" + Field + R"("})"});
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
          if (Failure || !Out->keep_alive())
            return Self->close();
          Self->readNext(false);
        });
  }

  std::shared_ptr<Shared> Owner;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<bhttp::request_parser<bhttp::string_body>> Parser;
  bool KeepAlive = false;
  bool IsReading = false; ///< Waits for a request, or for the rest of one.
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
    if (Common->Sessions.size() >= Common->Options.MaxConnections)
      return;
    error_code Ignored;
    Socket.set_option(Tcp::no_delay(true), Ignored);
    std::make_shared<Responder::Impl>(Common, std::move(Socket))
        ->readNext(true);
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
