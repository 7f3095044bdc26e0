#include "http_peer_calls.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/runtime/log.hpp"

#include <utility>

namespace teaselwalk::node {
namespace {

/// The owner answers from memory; after this the store is asked.
constexpr Duration QueryTimeout{500};
/// A process that is alive answers within this time beyond the asked wait.
constexpr Duration IdentifySlack{300};
/// Added for the way to the other process and back.
constexpr Duration HopSlack{100};

/// The decoded body of \p Answer, or a value that says "no answer".
template <typename Value, typename Decode>
Value bodyOf(const http::Result &Answer, Decode Read) {
  if (Answer.State != protocol::Delivery::Answered ||
      Answer.Message.Status != 200)
    return {};
  try {
    return Read(Answer.Message.Body);
  } catch (const Error &Failure) {
    runtime::logEvent(runtime::Level::Warn, EventName::PeerMessageLost,
                      {{"reason", Failure.what()}});
    return {};
  }
}

} // namespace

void HttpPeerCalls::job(const protocol::Address &To, const JobId &Id,
                        std::function<void(cell::JobQueryResult)> Done) {
  Sender.send(
      To, {"GET", std::string(JobPath) + "?id=" + Id.str()}, QueryTimeout,
      [this, Done = std::move(Done)](const http::Result &Answer) {
        auto Found = bodyOf<cell::JobQueryResult>(Answer, decodeJobAnswer);
        Core.deliver([Done, Found] { Done(Found); });
      });
}

void HttpPeerCalls::pending(
    const protocol::Address &To, const std::string &Queue,
    std::function<void(cell::PendingQueryResult)> Done) {
  Sender.send(
      To,
      {"GET",
       std::string(PendingPath) + "?queue=" + http::percentEncode(Queue)},
      QueryTimeout, [this, Done = std::move(Done)](const http::Result &Answer) {
        auto Found =
            bodyOf<cell::PendingQueryResult>(Answer, decodePendingAnswer);
        Core.deliver([Done, Found] { Done(Found); });
      });
}

void HttpPeerCalls::identify(
    const protocol::Address &To, Duration Wait,
    std::function<void(std::optional<std::string>)> Done) {
  Sender.send(To,
              {"GET", std::string(IdentifyPath) +
                          "?wait_ms=" + std::to_string(Wait.count())},
              Wait + IdentifySlack,
              [this, Done = std::move(Done)](const http::Result &Answer) {
                std::optional<std::string> Process;
                if (Answer.State == protocol::Delivery::Answered &&
                    Answer.Message.Status == 200)
                  Process = Answer.Message.Body;
                Core.deliver([Done, Process] { Done(Process); });
              });
}

void HttpPeerCalls::health(const protocol::Address &To,
                           const std::string &Process,
                           std::function<void(cell::OwnerHealth)> Done) {
  Sender.send(To,
              {"GET", std::string(HealthPath) +
                          "?process=" + http::percentEncode(Process)},
              IdentifySlack,
              [this, Done = std::move(Done)](const http::Result &Answer) {
                auto Found = bodyOf<cell::OwnerHealth>(Answer, decodeHealth);
                Core.deliver([Done, Found] { Done(Found); });
              });
}

void HttpPeerCalls::advice(const protocol::Address &To,
                           const ForwardedAdviceRequest &Request,
                           std::function<void(cell::Advice)> Done) {
  Sender.send(To, {"POST", AdvicePath, encode(Request)},
              Request.Timeout + HopSlack,
              [this, Done = std::move(Done)](const http::Result &Answer) {
                auto Found = bodyOf<cell::Advice>(Answer, decodeAdvice);
                Core.deliver([Done, Found] { Done(Found); });
              });
}

void AdviceRouter::ask(const protocol::Address &Through,
                       const cell::StepKey &Step,
                       const std::vector<EndpointId> &Candidates,
                       Duration Timeout,
                       std::function<void(cell::Advice)> Done) {
  if (Through.Port == 0)
    return Own.ask(Step, Candidates, Timeout, std::move(Done));
  Peers.advice(Through, {Step, Candidates, Timeout}, std::move(Done));
}

} // namespace teaselwalk::node
