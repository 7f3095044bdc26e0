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

/// A message from `send()` until its callback.
struct OutgoingMessage {
  Message Content;
  Clock::time_point Deadline;
  PeerClient::Callback Done;

  void finish(Delivery State, bool IsAccepted, std::string Error) const {
    if (Done)
      Done({State, IsAccepted, std::move(Error)});
  }
};

struct PeerQueue {
  std::deque<OutgoingMessage> Waiting;
  size_t OpenRequests = 0;
};

/// The messages of one HTTP request and its JSON-RPC batch.
struct OutgoingBatch {
  std::vector<OutgoingMessage> Messages;
  jsonrpc::Batch Calls;
  size_t Bytes = 0;
  Clock::time_point Deadline; ///< The latest deadline of its messages.
};

http::ClientOptions httpOptions(const ClientOptions &Options) {
  http::ClientOptions Out;
  Out.MaxConnectionsPerPeer = Options.MaxRequestsPerPeer;
  Out.ConnectTimeout = Options.ConnectTimeout;
  return Out;
}

constexpr Duration ExpiryInterval{20};
constexpr const char *ExpiredError =
    "the message timed out in the queue and was not sent";

/// With a 4xx status the peer rejected the HTTP request before the JSON-RPC
/// dispatcher ran, so none of its messages reached the engine.
bool isClientError(int Status) { return Status >= 400 && Status < 500; }

} // namespace

class PeerClient::Impl {
public:
  Impl(const ClientOptions &Options, ProcessId Self, Address ReplyTo,
       runtime::TimelineBuffer &Timeline, runtime::Metrics &Registry)
      : Options(Options), Self(std::move(Self)), ReplyTo(std::move(ReplyTo)),
        Timeline(Timeline), Registry(Registry),
        Transport(httpOptions(Options)) {}

  bool enqueue(const Address &Peer, OutgoingMessage Item) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Queues.count(Peer) == 0 && Queues.size() >= Options.MaxPeers)
      return false;
    PeerQueue &Target = Queues[Peer];
    if (Target.Waiting.size() >= Options.MaxWaitingPerPeer)
      return false;
    Target.Waiting.push_back(std::move(Item));
    ++WaitingCount;
    if (Target.Waiting.size() == 1)
      markReady(Peer);
    return true;
  }

  void runSender() {
    std::unique_lock<std::mutex> Lock(Mutex);
    while (true) {
      waitForWork(Lock);
      if (Stopped)
        return;
      if (ReadyPeers.empty()) {
        failExpired(Lock);
        continue;
      }
      Address Peer = std::move(ReadyPeers.front());
      ReadyPeers.pop_front();
      std::deque<OutgoingMessage> Items = takeBatch(Peer);
      if (Items.empty())
        continue;
      Lock.unlock();
      sendBatch(Peer, std::move(Items));
      Lock.lock();
    }
  }

  void stop() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Stopped = true;
    }
    WorkAvailable.notify_all();
    Transport.stop();
  }

  http::Client &transport() { return Transport; }

private:
  /// Returns when there is something to send, after `stop()`, or when the
  /// queued messages are due for a check for expiry.
  void waitForWork(std::unique_lock<std::mutex> &Lock) {
    auto HasWork = [&] { return Stopped || !ReadyPeers.empty(); };
    if (WaitingCount == 0)
      WorkAvailable.wait(Lock, [&] { return HasWork() || WaitingCount > 0; });
    else
      WorkAvailable.wait_for(Lock, ExpiryInterval, HasWork);
  }

  /// Fails the messages whose timeout passed while their peer had
  /// `MaxRequestsPerPeer` requests open. Releases \p Lock during the callbacks.
  void failExpired(std::unique_lock<std::mutex> &Lock) {
    std::vector<OutgoingMessage> Expired;
    Clock::time_point Now = Clock::now();
    for (auto &[Peer, Target] : Queues)
      moveExpired(Target, Now, Expired);
    WaitingCount -= Expired.size();
    Lock.unlock();
    for (const OutgoingMessage &Item : Expired)
      failUnsent(Item, ExpiredError);
    Lock.lock();
  }

  static void moveExpired(PeerQueue &Target, Clock::time_point Now,
                          std::vector<OutgoingMessage> &Expired) {
    std::deque<OutgoingMessage> Kept;
    for (OutgoingMessage &Item : Target.Waiting)
      (Item.Deadline <= Now ? Expired.push_back(std::move(Item))
                            : Kept.push_back(std::move(Item)));
    Target.Waiting.swap(Kept);
  }

  /// The caller holds the mutex.
  void markReady(const Address &Peer) {
    ReadyPeers.push_back(Peer);
    WorkAvailable.notify_one();
  }

  /// Removes the messages for the next request to \p Peer from its queue and
  /// counts the request as open. Returns none if the peer has
  /// `MaxRequestsPerPeer` requests open already. The caller holds the mutex.
  std::deque<OutgoingMessage> takeBatch(const Address &Peer) {
    std::deque<OutgoingMessage> Items;
    auto Found = Queues.find(Peer);
    if (Found == Queues.end() ||
        Found->second.OpenRequests >= Options.MaxRequestsPerPeer)
      return Items;
    PeerQueue &Target = Found->second;
    while (!Target.Waiting.empty() && Items.size() < Options.MaxBatch) {
      Items.push_back(std::move(Target.Waiting.front()));
      Target.Waiting.pop_front();
    }
    WaitingCount -= Items.size();
    if (!Items.empty())
      ++Target.OpenRequests;
    return Items;
  }

  void sendBatch(const Address &Peer, std::deque<OutgoingMessage> Items) {
    auto Batch = std::make_shared<OutgoingBatch>();
    while (!Items.empty()) {
      OutgoingMessage Item = std::move(Items.front());
      Items.pop_front();
      addMessage(*Batch, std::move(Item));
      if (Batch->Bytes >= Options.MaxBatchBytes)
        break;
    }
    requeue(Peer, std::move(Items));
    if (Batch->Messages.empty())
      return closeRequest(Peer);
    auto Remaining =
        std::chrono::duration_cast<Duration>(Batch->Deadline - Clock::now());
    Transport.send(Peer, {"POST", "/rpc", Batch->Calls.text()}, Remaining,
                   [this, Peer, Batch](const http::Result &Outcome) {
                     finishRequest(*Batch, Outcome);
                     closeRequest(Peer);
                   });
  }

  void requeue(const Address &Peer, std::deque<OutgoingMessage> Rest) {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::deque<OutgoingMessage> &Waiting = Queues[Peer].Waiting;
    WaitingCount += Rest.size();
    while (!Rest.empty()) {
      Waiting.push_front(std::move(Rest.back()));
      Rest.pop_back();
    }
    if (!Waiting.empty())
      markReady(Peer);
  }

  /// Encodes a message into the batch, or fails it as NotSent.
  void addMessage(OutgoingBatch &Batch, OutgoingMessage Item) {
    if (Item.Deadline <= Clock::now())
      return failUnsent(Item, ExpiredError);
    std::string Params;
    try {
      Params = encode(
          {Self, ReplyTo, Timeline.stamp(runtime::wallMillis()), Item.Content});
      if (Params.size() > Options.MaxMessageBytes)
        return failUnsent(Item, "the encoded message is larger than " +
                                    std::to_string(Options.MaxMessageBytes) +
                                    " bytes");
      Batch.Calls.add(std::string(methodOf(Item.Content)), Params);
    } catch (const std::exception &Problem) {
      return failUnsent(Item, Problem.what());
    }
    Batch.Bytes += Params.size();
    Batch.Deadline = std::max(Batch.Deadline, Item.Deadline);
    Batch.Messages.push_back(std::move(Item));
  }

  void failUnsent(const OutgoingMessage &Item, std::string Why) {
    count(Item, "not_sent");
    Item.finish(Delivery::NotSent, false, std::move(Why));
  }

  void finishRequest(const OutgoingBatch &Batch, const http::Result &Outcome) {
    if (Outcome.State != Delivery::Answered)
      return finishAll(
          Batch, Outcome.State,
          std::string(nameOf(protocol::DeliveryNames, Outcome.State)));
    int Status = Outcome.Message.Status;
    if (Status != 200)
      return finishAll(
          Batch, isClientError(Status) ? Delivery::Answered : Delivery::Lost,
          "HTTP status " + std::to_string(Status));
    auto Replies =
        jsonrpc::decodeReplies(Outcome.Message.Body, Batch.Messages.size());
    for (size_t I = 0; I < Replies.size(); ++I)
      finishMessage(Batch.Messages[I], Replies[I]);
  }

  void finishAll(const OutgoingBatch &Batch, Delivery State,
                 const std::string &Why) {
    for (const OutgoingMessage &Item : Batch.Messages) {
      count(Item, nameOf(protocol::DeliveryNames, State));
      Item.finish(State, false, Why);
    }
  }

  void finishMessage(const OutgoingMessage &Item, const jsonrpc::Reply &Reply) {
    using Kind = jsonrpc::Reply::Kind;
    std::optional<bool> IsAccepted;
    if (Reply.State == Kind::Error)
      IsAccepted = false;
    if (Reply.State == Kind::Result)
      IsAccepted = readResult(Reply.Text);
    if (!IsAccepted) {
      count(Item, "lost");
      return Item.finish(Delivery::Lost, false,
                         "the response has no valid result for the message");
    }
    count(Item, *IsAccepted ? "taken" : "refused");
    if (*IsAccepted)
      return Item.finish(Delivery::Answered, true, "");
    Item.finish(Delivery::Answered, false,
                Reply.State == Kind::Error
                    ? Reply.Text
                    : "the peer's engine did not accept the message");
  }

  /// Merges the peer's time into the local hybrid clock. Returns whether the
  /// peer accepted the message, or nothing if the result is malformed.
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

  /// Counts a request to \p Peer as finished. Removes the peer's queue when
  /// nothing is left in it or in flight.
  void closeRequest(const Address &Peer) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Queues.find(Peer);
    --Found->second.OpenRequests;
    if (!Found->second.Waiting.empty())
      markReady(Peer);
    else if (Found->second.OpenRequests == 0)
      Queues.erase(Found);
  }

  void count(const OutgoingMessage &Item, std::string_view Outcome) {
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
  std::condition_variable WorkAvailable;
  std::map<Address, PeerQueue> Queues;
  std::deque<Address> ReadyPeers; ///< Queues to check for a request to send.
  size_t WaitingCount = 0;        ///< Messages in all queues.
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
  return State->enqueue(
      Peer, {std::move(Content), Clock::now() + Timeout, std::move(Done)});
}

void PeerClient::runSender() { State->runSender(); }

void PeerClient::runTransport() { State->transport().run(); }

void PeerClient::stop() { State->stop(); }

} // namespace teaselwalk::peers
