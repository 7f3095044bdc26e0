#include "teaselwalk/peers/client.hpp"

#include "jsonrpc/batch.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/http/client.hpp"
#include "teaselwalk/runtime/clock.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace teaselwalk::peers {
namespace {

using protocol::Address;
using protocol::Delivery;
using Clock = std::chrono::steady_clock;

/// A message on its way from `send()` to its callback.
struct Outgoing {
  Message Content;
  Clock::time_point Deadline;
  PeerClient::Callback Done;

  void finish(Delivery State, bool Taken, std::string Error) const {
    if (Done)
      Done({State, Taken, std::move(Error)});
  }
};

/// The ring of one peer.
struct Queue {
  std::deque<Outgoing> Waiting;
  size_t OpenRequests = 0;
};

/// Messages that travel in one request, with its text.
struct Parcel {
  std::vector<Outgoing> Messages;
  jsonrpc::Batch Calls;
  size_t Bytes = 0;
  Clock::time_point Deadline; ///< The latest of all messages.
};

http::ClientOptions httpOptions(const ClientOptions &Options) {
  http::ClientOptions Out;
  Out.MaxConnectionsPerPeer = Options.MaxRequestsPerPeer;
  Out.ConnectTimeout = Options.ConnectTimeout;
  return Out;
}

constexpr Duration ExpiryInterval{20};
constexpr const char *ExpiredText = "the time limit passed while waiting";

/// Statuses that the peer's HTTP server gives to requests that it did not hand
/// to the dispatcher.
bool isRefusal(int Status) { return Status >= 400 && Status < 500; }

} // namespace

class PeerClient::Impl {
public:
  Impl(const ClientOptions &Options, ProcessId Self, Address ReplyTo,
       runtime::TimelineBuffer &Timeline, runtime::Metrics &Registry)
      : Options(Options), Self(std::move(Self)), ReplyTo(std::move(ReplyTo)),
        Timeline(Timeline), Registry(Registry),
        Transport(httpOptions(Options)) {}

  bool push(const Address &Peer, Outgoing Item) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Peers.count(Peer) == 0 && Peers.size() >= Options.MaxPeers)
      return false;
    Queue &Target = Peers[Peer];
    if (Target.Waiting.size() >= Options.MaxWaitingPerPeer)
      return false;
    Target.Waiting.push_back(std::move(Item));
    ++WaitingCount;
    if (Target.Waiting.size() == 1)
      announce(Peer);
    return true;
  }

  void run() {
    std::unique_lock<std::mutex> Lock(Mutex);
    while (true) {
      waitForWork(Lock);
      if (Stopped)
        return;
      if (Ready.empty()) {
        expire(Lock);
        continue;
      }
      Address Peer = std::move(Ready.front());
      Ready.pop_front();
      std::deque<Outgoing> Taken = take(Peer);
      if (Taken.empty())
        continue;
      Lock.unlock();
      transmit(Peer, std::move(Taken));
      Lock.lock();
    }
  }

  void stop() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Stopped = true;
    }
    Wake.notify_all();
    Transport.stop();
  }

  http::Client &transport() { return Transport; }

private:
  /// Ends at the latest when waiting messages have to be checked for expiry.
  void waitForWork(std::unique_lock<std::mutex> &Lock) {
    auto HasWork = [&] { return Stopped || !Ready.empty(); };
    if (WaitingCount == 0)
      Wake.wait(Lock, [&] { return HasWork() || WaitingCount > 0; });
    else
      Wake.wait_for(Lock, ExpiryInterval, HasWork);
  }

  /// Ends the messages whose time limit passed while all requests to their
  /// peer were in use.
  void expire(std::unique_lock<std::mutex> &Lock) {
    std::vector<Outgoing> Late;
    Clock::time_point Now = Clock::now();
    for (auto &[Peer, Target] : Peers)
      moveExpired(Target, Now, Late);
    WaitingCount -= Late.size();
    Lock.unlock();
    for (const Outgoing &Item : Late)
      fail(Item, ExpiredText);
    Lock.lock();
  }

  static void moveExpired(Queue &Target, Clock::time_point Now,
                          std::vector<Outgoing> &Late) {
    std::deque<Outgoing> Kept;
    for (Outgoing &Item : Target.Waiting)
      (Item.Deadline <= Now ? Late.push_back(std::move(Item))
                            : Kept.push_back(std::move(Item)));
    Target.Waiting.swap(Kept);
  }

  /// Requires the mutex.
  void announce(const Address &Peer) {
    Ready.push_back(Peer);
    Wake.notify_one();
  }

  /// The messages for the next request to \p Peer, if it may be opened.
  /// Requires the mutex.
  std::deque<Outgoing> take(const Address &Peer) {
    std::deque<Outgoing> Taken;
    auto Found = Peers.find(Peer);
    if (Found == Peers.end() ||
        Found->second.OpenRequests >= Options.MaxRequestsPerPeer)
      return Taken;
    Queue &Target = Found->second;
    while (!Target.Waiting.empty() && Taken.size() < Options.MaxBatch) {
      Taken.push_back(std::move(Target.Waiting.front()));
      Target.Waiting.pop_front();
    }
    WaitingCount -= Taken.size();
    if (!Taken.empty())
      ++Target.OpenRequests;
    return Taken;
  }

  void transmit(const Address &Peer, std::deque<Outgoing> Taken) {
    auto Content = std::make_shared<Parcel>();
    while (!Taken.empty()) {
      Outgoing Item = std::move(Taken.front());
      Taken.pop_front();
      add(*Content, std::move(Item));
      if (Content->Bytes >= Options.MaxBatchBytes)
        break;
    }
    putBack(Peer, std::move(Taken));
    if (Content->Messages.empty())
      return release(Peer);
    auto Left =
        std::chrono::duration_cast<Duration>(Content->Deadline - Clock::now());
    Transport.send(Peer, {"POST", "/rpc", Content->Calls.text()}, Left,
                   [this, Peer, Content](const http::Result &Outcome) {
                     finish(*Content, Outcome);
                     release(Peer);
                   });
  }

  void putBack(const Address &Peer, std::deque<Outgoing> Rest) {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::deque<Outgoing> &Waiting = Peers[Peer].Waiting;
    WaitingCount += Rest.size();
    while (!Rest.empty()) {
      Waiting.push_front(std::move(Rest.back()));
      Rest.pop_back();
    }
    if (!Waiting.empty())
      announce(Peer);
  }

  /// Encodes a message, or ends it as NotSent.
  void add(Parcel &Content, Outgoing Item) {
    if (Item.Deadline <= Clock::now())
      return fail(Item, ExpiredText);
    std::string Params;
    try {
      Params = encode(
          {Self, ReplyTo, Timeline.stamp(runtime::wallMillis()), Item.Content});
      if (Params.size() > Options.MaxMessageBytes)
        return fail(Item, "the message is larger than " +
                              std::to_string(Options.MaxMessageBytes) +
                              " bytes");
      Content.Calls.add(std::string(methodOf(Item.Content)), Params);
    } catch (const std::exception &Problem) {
      return fail(Item, Problem.what());
    }
    Content.Bytes += Params.size();
    Content.Deadline = std::max(Content.Deadline, Item.Deadline);
    Content.Messages.push_back(std::move(Item));
  }

  void fail(const Outgoing &Item, std::string Why) {
    count(Item, "not_sent");
    Item.finish(Delivery::NotSent, false, std::move(Why));
  }

  void finish(const Parcel &Content, const http::Result &Outcome) {
    if (Outcome.State != Delivery::Answered)
      return finishAll(
          Content, Outcome.State,
          std::string(nameOf(protocol::DeliveryNames, Outcome.State)));
    int Status = Outcome.Message.Status;
    if (Status != 200)
      return finishAll(Content,
                       isRefusal(Status) ? Delivery::Answered : Delivery::Lost,
                       "HTTP status " + std::to_string(Status));
    auto Replies =
        jsonrpc::decodeReplies(Outcome.Message.Body, Content.Messages.size());
    for (size_t I = 0; I < Replies.size(); ++I)
      finish(Content.Messages[I], Replies[I]);
  }

  void finishAll(const Parcel &Content, Delivery State,
                 const std::string &Why) {
    for (const Outgoing &Item : Content.Messages) {
      count(Item, nameOf(protocol::DeliveryNames, State));
      Item.finish(State, false, Why);
    }
  }

  void finish(const Outgoing &Item, const jsonrpc::Reply &Reply) {
    using Kind = jsonrpc::Reply::Kind;
    std::optional<bool> Taken;
    if (Reply.State == Kind::Error)
      Taken = false;
    if (Reply.State == Kind::Result)
      Taken = readResult(Reply.Text);
    if (!Taken) {
      count(Item, "lost");
      return Item.finish(Delivery::Lost, false, "no valid reply");
    }
    count(Item, *Taken ? "taken" : "refused");
    if (*Taken)
      return Item.finish(Delivery::Answered, true, "");
    Item.finish(Delivery::Answered, false,
                Reply.State == Kind::Error ? Reply.Text
                                           : "the peer's queue is full");
  }

  /// Notes the peer's clock. Returns whether it took the message, or nothing if
  /// the result does not say so.
  std::optional<bool> readResult(const std::string &Text) {
    nlohmann::json Result = nlohmann::json::parse(Text, nullptr, false);
    try {
      Timeline.observe({Result.at("time").at(0).get<int64_t>(),
                        Result.at("time").at(1).get<uint32_t>()},
                       runtime::wallMillis());
      return Result.at("taken").get<bool>();
    } catch (const nlohmann::json::exception &) {
      return std::nullopt;
    }
  }

  /// Ends a request to \p Peer.
  void release(const Address &Peer) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Peers.find(Peer);
    --Found->second.OpenRequests;
    if (!Found->second.Waiting.empty())
      announce(Peer);
    else if (Found->second.OpenRequests == 0)
      Peers.erase(Found);
  }

  void count(const Outgoing &Item, std::string_view Outcome) {
    Registry
        .counter("teaselwalk_peer_sent_total", "Messages to peers.",
                 {{"method", std::string(methodOf(Item.Content))},
                  {"outcome", std::string(Outcome)}})
        .add();
  }

  const ClientOptions Options;
  const ProcessId Self;
  const Address ReplyTo;
  runtime::TimelineBuffer &Timeline;
  runtime::Metrics &Registry;
  std::mutex Mutex;
  std::condition_variable Wake;
  std::map<Address, Queue> Peers;
  std::deque<Address> Ready; ///< Peers that may have a message to send.
  size_t WaitingCount = 0;   ///< In all queues.
  bool Stopped = false;
  http::Client Transport;
};

PeerClient::PeerClient(const ClientOptions &Options, ProcessId Self,
                       Address ReplyTo, runtime::TimelineBuffer &Timeline,
                       runtime::Metrics &Registry)
    : State(std::make_unique<Impl>(Options, std::move(Self), std::move(ReplyTo),
                                   Timeline, Registry)) {}

PeerClient::~PeerClient() = default;

bool PeerClient::send(const Address &Peer, Message Content, Duration Timeout,
                      Callback Done) {
  return State->push(
      Peer, {std::move(Content), Clock::now() + Timeout, std::move(Done)});
}

void PeerClient::runSender() { State->run(); }

void PeerClient::runTransport() { State->transport().run(); }

void PeerClient::stop() { State->stop(); }

} // namespace teaselwalk::peers
