#pragma once

#include "teaselwalk/protocol/vm.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <sys/ioctl.h>

#include <list>
#include <string>
#include <thread>

namespace teaselwalk::http {

/// The other end of a client's connections. A test decides when it accepts,
/// reads and answers.
class ScriptedPeer {
public:
  ScriptedPeer() : Acceptor(Context, {boost::asio::ip::address_v4::any(), 0}) {}

  protocol::Address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  /// Accepts one connection and reads the head of a request from it.
  void acceptRequest() {
    Sockets.emplace_back(Acceptor.accept());
    readRequest(Sockets.back());
  }

  /// Writes \p Text to every connection.
  void answerAll(const std::string &Text) {
    boost::system::error_code Closed;
    for (auto &Socket : Sockets)
      boost::asio::write(Socket, boost::asio::buffer(Text), Closed);
  }

  /// Returns when everything that was written is in the client's sockets.
  void waitUntilReceived() {
    for (auto &Socket : Sockets)
      while (unacknowledged(Socket) > 0)
        std::this_thread::yield();
  }

private:
  using Socket = boost::asio::ip::tcp::socket;

  static void readRequest(Socket &From) {
    std::string Head;
    boost::asio::read_until(From, boost::asio::dynamic_buffer(Head),
                            "\r\n\r\n");
  }

  static int unacknowledged(Socket &To) {
    int Bytes = 0;
    ioctl(To.native_handle(), TIOCOUTQ, &Bytes);
    return Bytes;
  }

  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::list<Socket> Sockets;
};

} // namespace teaselwalk::http
