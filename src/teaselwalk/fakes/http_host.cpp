#include "teaselwalk/fakes/http_host.hpp"

#include "teaselwalk/base/error.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <list>
#include <optional>
#include <utility>

namespace teaselwalk::fakes {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

/// Above the largest value of the store in JSON, where a byte may take six.
constexpr size_t MaxBodyBytes = 8388608;

http::Request fromBeast(bhttp::request<bhttp::string_body> Message) {
  http::Request Incoming;
  Incoming.Method = std::string(Message.method_string());
  Incoming.Target = std::string(Message.target());
  Incoming.Body = std::move(Message.body());
  return Incoming;
}

} // namespace

class Reply::Session : public std::enable_shared_from_this<Reply::Session> {
public:
  Session(Tcp::socket Socket, const HttpHost::Handler &OnRequest)
      : Stream(std::move(Socket)), OnRequest(OnRequest) {}

  void read() {
    Parser.emplace();
    Parser->body_limit(MaxBodyBytes);
    bhttp::async_read(Stream, Buffer, *Parser,
                      [Self = shared_from_this()](error_code Failure, size_t) {
                        // A message that cannot be read ends the connection.
                        if (Failure)
                          return;
                        auto Message = Self->Parser->release();
                        Self->KeepAlive = Message.keep_alive();
                        Self->OnRequest(fromBeast(std::move(Message)),
                                        Reply(Self));
                      });
  }

  void write(http::Response Message) {
    auto Out = std::make_shared<bhttp::response<bhttp::string_body>>();
    Out->version(11);
    Out->result(static_cast<unsigned>(Message.Status));
    Out->set(bhttp::field::content_type, Message.ContentType);
    Out->keep_alive(KeepAlive);
    if (Message.Status != 304)
      Out->body() = std::move(Message.Body);
    Out->prepare_payload();
    bhttp::async_write(
        Stream, *Out,
        [Self = shared_from_this(), Out](error_code Failure, size_t) {
          if (!Failure && Out->keep_alive())
            Self->read();
        });
  }

private:
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<bhttp::request_parser<bhttp::string_body>> Parser;
  const HttpHost::Handler &OnRequest; ///< Owned by the listener.
  bool KeepAlive = false;
};

Reply::Reply(std::shared_ptr<Session> Connection)
    : Connection(std::move(Connection)) {}

void Reply::send(http::Response Message) {
  std::shared_ptr<Session> Target = std::move(Connection);
  if (Target && !Lost)
    Target->write(std::move(Message));
}

class HttpHost::Impl {
public:
  asio::io_context Context{1}; ///< Outlives the listeners.

  uint16_t listen(const std::string &Ip, uint16_t Port, Handler OnRequest) {
    Listener &Row = Listeners.emplace_back(Context, std::move(OnRequest));
    try {
      Tcp::endpoint At(asio::ip::make_address(Ip), Port);
      Row.Acceptor.open(At.protocol());
      Row.Acceptor.set_option(asio::socket_base::reuse_address(true));
      Row.Acceptor.bind(At);
      Row.Acceptor.listen();
      accept(Row);
      return Row.Acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &Failure) {
      Listeners.pop_back();
      throw Error("cannot listen on " + Ip + ":" + std::to_string(Port) + ": " +
                  Failure.what());
    }
  }

  void after(Duration Delay, std::function<void()> Work) {
    auto Timer = std::make_shared<asio::steady_timer>(Context, Delay);
    Timer->async_wait([Timer, Work = std::move(Work)](error_code Failure) {
      if (!Failure)
        Work();
    });
  }

private:
  struct Listener {
    Listener(asio::io_context &Context, Handler OnRequest)
        : Acceptor(Context), OnRequest(std::move(OnRequest)) {}
    Tcp::acceptor Acceptor;
    Handler OnRequest;
  };

  void accept(Listener &Row) {
    Row.Acceptor.async_accept(
        [this, &Row](error_code Failure, Tcp::socket Socket) {
          if (Failure == asio::error::operation_aborted)
            return;
          if (!Failure) {
            error_code Ignored;
            Socket.set_option(Tcp::no_delay(true), Ignored);
            std::make_shared<Reply::Session>(std::move(Socket), Row.OnRequest)
                ->read();
          }
          accept(Row);
        });
  }

  std::list<Listener> Listeners; ///< Stable addresses for the sessions.
};

HttpHost::HttpHost() : State(std::make_unique<Impl>()) {}

HttpHost::~HttpHost() = default;

uint16_t HttpHost::listen(const std::string &Ip, uint16_t Port,
                          Handler OnRequest) {
  return State->listen(Ip, Port, std::move(OnRequest));
}

void HttpHost::after(Duration Delay, std::function<void()> Work) {
  State->after(Delay, std::move(Work));
}

TimePoint HttpHost::now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void HttpHost::run(bool EndOnSignal) {
  auto Guard = asio::make_work_guard(State->Context);
  std::optional<asio::signal_set> Signals;
  if (EndOnSignal) {
    Signals.emplace(State->Context, SIGTERM, SIGINT);
    Signals->async_wait([this](error_code Failure, int) {
      if (!Failure)
        stop();
    });
  }
  State->Context.run();
}

void HttpHost::stop() { State->Context.stop(); }

} // namespace teaselwalk::fakes
