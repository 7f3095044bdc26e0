#include "proxy-3.hpp"

#include <boost/asio.hpp>

#include <array>
#include <vector>

namespace review {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

class Link : public std::enable_shared_from_this<Link> {
public:
  Link(asio::io_context &Context, Tcp::socket Accepted)
      : Ends{std::move(Accepted), Tcp::socket(Context)} {}

  void start(const Tcp::endpoint &Target) {
    Ends[1].async_connect(Target,
                          [Self = shared_from_this()](error_code Failure) {
                            if (Failure)
                              return Self->close();
                            Self->forward(0);
                            Self->forward(1);
                          });
  }

  void silence() { IsSilent = true; }

private:
  void forward(size_t From) {
    Ends[From].async_read_some(
        asio::buffer(Buffers[From]),
        [Self = shared_from_this(), From](error_code Failure, size_t Bytes) {
          Self->pass(From, Failure, Bytes);
        });
  }

  void pass(size_t From, error_code Failure, size_t Bytes) {
    if (Failure)
      return IsSilent ? void() : close();
    // What arrives on a silent connection is lost.
    if (IsSilent)
      return forward(From);
    asio::async_write(
        Ends[1 - From], asio::buffer(Buffers[From].data(), Bytes),
        [Self = shared_from_this(), From](error_code WriteFailure, size_t) {
          if (WriteFailure)
            return Self->IsSilent ? void() : Self->close();
          Self->forward(From);
        });
  }

  void close() {
    error_code Ignored;
    for (Tcp::socket &Each : Ends)
      Each.close(Ignored);
  }

  std::array<Tcp::socket, 2> Ends;
  std::array<std::array<char, 65536>, 2> Buffers;
  bool IsSilent = false;
};

} // namespace

class Proxy::Impl {
public:
  Impl(const std::string &Ip, uint16_t TargetPort)
      : Target(asio::ip::make_address(Ip), TargetPort),
        Acceptor(Context, Tcp::endpoint(asio::ip::make_address(Ip), 0)) {
    accept();
  }

  void accept() {
    Acceptor.async_accept([this](error_code Failure, Tcp::socket Socket) {
      if (Failure)
        return;
      error_code Ignored;
      Socket.set_option(Tcp::no_delay(true), Ignored);
      Links.push_back(std::make_shared<Link>(Context, std::move(Socket)));
      Links.back()->start(Target);
      accept();
    });
  }

  void silence() {
    asio::post(Context, [this] {
      for (auto &Each : Links)
        Each->silence();
    });
  }

  asio::io_context Context{1};
  Tcp::endpoint Target;
  Tcp::acceptor Acceptor;
  /// Kept, so that silent connections stay open.
  std::vector<std::shared_ptr<Link>> Links;
};

Proxy::Proxy(const std::string &Ip, uint16_t TargetPort)
    : State(std::make_unique<Impl>(Ip, TargetPort)),
      Thread([this] { State->Context.run(); }) {}

Proxy::~Proxy() {
  State->Context.stop();
  Thread.join();
}

uint16_t Proxy::port() const { return State->Acceptor.local_endpoint().port(); }

void Proxy::silence() { State->silence(); }

} // namespace review
