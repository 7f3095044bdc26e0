#include "scripted_peer.hpp"

#include "teaselwalk/http/client.hpp"
#include "teaselwalk/http/server.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <thread>
#include <vector>

namespace teaselwalk::http {
namespace {

using protocol::Address;
using protocol::Delivery;

constexpr Duration LongTimeout{60000};

/// A client and a server, each on a thread of its own. The server has many
/// addresses and closes connections beyond its bound at once.
class ClientConnectionsTest : public ::testing::Test {
protected:
  void start(const ClientOptions &Options, size_t ServerBound) {
    ServerOptions Bounded;
    Bounded.Ip = "0.0.0.0";
    Bounded.MaxConnections = ServerBound;
    Running = std::make_unique<Server>(
        Bounded,
        [this](const Request &Seen, const Responder &To) { Handle(Seen, To); });
    Sender = std::make_unique<Client>(Options);
    ServerThread = std::thread([this] { Running->run(); });
    SenderThread = std::thread([this] { Sender->run(); });
  }

  void TearDown() override {
    Sender->stop();
    Running->stop();
    SenderThread.join();
    ServerThread.join();
  }

  Address address(int Index) const {
    return {"127.0.0." + std::to_string(Index + 1), Running->port()};
  }

  std::future<Delivery> send(const Address &To, PeerKind Kind) {
    auto Slot = std::make_shared<std::promise<Delivery>>();
    std::future<Delivery> State = Slot->get_future();
    Request Message;
    Message.Method = "POST";
    Sender->send(
        To, Message, LongTimeout,
        [Slot](const Result &Got) { Slot->set_value(Got.State); }, Kind);
    return State;
  }

  /// Sends to each of the server's addresses and returns the number of answers.
  int sendToAll(int Addresses, int PerAddress, PeerKind Kind) {
    std::vector<std::future<Delivery>> Ends;
    Ends.reserve(static_cast<size_t>(Addresses) * PerAddress);
    for (int I = 0; I < Addresses * PerAddress; ++I)
      Ends.push_back(send(address(I % Addresses), Kind));
    int Answered = 0;
    for (std::future<Delivery> &End : Ends)
      Answered += End.get() == Delivery::Answered ? 1 : 0;
    return Answered;
  }

  std::vector<Responder> Unanswered;
  Server::Handler Handle = [](const Request &Seen, const Responder &To) {
    To.send({200, Seen.Body});
  };
  std::unique_ptr<Server> Running;
  std::unique_ptr<Client> Sender;
  std::thread ServerThread;
  std::thread SenderThread;
};

// Guards against connections that use up the file descriptors when requests to
// many peers are open.
TEST_F(ClientConnectionsTest, ConnectionsToServicesAreBounded) {
  ClientOptions Options;
  Options.MaxConnections = 4;
  start(Options, 16);
  EXPECT_EQ(sendToAll(50, 8, PeerKind::Service), 50 * 8);
}

TEST_F(ClientConnectionsTest, ConnectionsToEndpointsAreBounded) {
  ClientOptions Options;
  Options.MaxConnections = 4;
  start(Options, 16);
  EXPECT_EQ(sendToAll(50, 8, PeerKind::Endpoint), 50 * 8);
}

// Guards against a new connection for each request that waits for a slow
// endpoint.
TEST_F(ClientConnectionsTest, ConnectionsToOneEndpointAreFew) {
  ClientOptions Options;
  Options.MaxConnectionsPerEndpoint = 3;
  start(Options, 3);
  EXPECT_EQ(sendToAll(1, 500, PeerKind::Endpoint), 500);
}

// Guards against long polls of endpoints that keep the store from being
// reached.
TEST_F(ClientConnectionsTest, EndpointsLeaveConnectionsToServices) {
  constexpr int Endpoints = 8;
  ClientOptions Options;
  Options.MaxConnections = Endpoints;
  ScriptedPeer Silent;
  start(Options, Endpoints);
  std::vector<std::future<Delivery>> Polls;
  for (int I = 0; I < 3 * Endpoints; ++I) {
    Address To{"127.0.0." + std::to_string(I + 1), Silent.address().Port};
    Polls.push_back(send(To, PeerKind::Endpoint));
  }
  EXPECT_EQ(send(address(0), PeerKind::Service).get(), Delivery::Answered);
  for (std::future<Delivery> &Poll : Polls)
    EXPECT_EQ(Poll.wait_for(std::chrono::seconds(0)),
              std::future_status::timeout);
}

// Guards against an ownership that ends although the store is up: the renewal
// of its lease waits behind requests that the store answers slowly.
TEST_F(ClientConnectionsTest, ControlRequestsDoNotWaitForOthersOfTheSamePeer) {
  constexpr Duration RenewalTimeout{400};
  constexpr int Submissions = 1000;
  Handle = [this](const Request &Seen, const Responder &To) {
    if (Seen.Target == "/submit")
      return Unanswered.push_back(To);
    To.send({200, ""});
  };
  ClientOptions Options;
  Options.MaxConnections = 24;
  Options.MaxConnectionsPerPeer = 24;
  start(Options, 1000);
  Request Submission{"POST", "/submit"};
  for (int I = 0; I < Submissions; ++I)
    Sender->send(address(0), Submission, LongTimeout, [](const Result &) {});
  std::promise<Delivery> Renewed;
  Sender->send(
      address(0), {"POST", "/renew"}, RenewalTimeout,
      [&](const Result &Got) { Renewed.set_value(Got.State); },
      PeerKind::Control);
  EXPECT_EQ(Renewed.get_future().get(), Delivery::Answered);
}

// Guards against a peer that never gets a connection because others keep
// theirs busy.
TEST_F(ClientConnectionsTest, BusyPeersMakeWayForOnesWithoutConnection) {
  ClientOptions Options;
  Options.MaxConnections = 4;
  Options.MaxConnectionsPerPeer = 4;
  start(Options, 16);
  constexpr int Requests = 500;
  std::vector<int> Order;
  std::promise<void> AllEnded;
  auto Send = [&](int Index) {
    Sender->send(address(Index), {}, LongTimeout, [&, Index](const Result &) {
      Order.push_back(Index);
      if (Order.size() == Requests + 1)
        AllEnded.set_value();
    });
  };
  // The client begins with the requests once all are there.
  std::promise<void> AllSent;
  Sender->send(Address(), {}, LongTimeout,
               [&](const Result &) { AllSent.get_future().wait(); });
  for (int I = 0; I < Requests; ++I)
    Send(0);
  Send(1);
  AllSent.set_value();
  AllEnded.get_future().wait();
  auto Position = std::find(Order.begin(), Order.end(), 1) - Order.begin();
  EXPECT_LT(Position, Requests / 2);
}

} // namespace
} // namespace teaselwalk::http
