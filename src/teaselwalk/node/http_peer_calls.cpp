#include "http_peer_calls.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/runtime/log.hpp"

#include <utility>

namespace teaselwalk::node {
namespace {

/// The owner answers from memory. If it does not answer in this time, the
/// status of a job is read from the store and a query for a queue's backlog is
/// refused.
constexpr Duration QueryTimeout{500};
/// Another process answers from memory what it knows of the owner.
constexpr Duration HealthTimeout{300};
/// Time for the round trip to the other process, added to the time that it has
/// to ask the advisory service.
constexpr Duration ForwardingSlack{100};

/// Returns the decoded body of \p Answer, or a default value, which stands for
/// "no answer", if there is none, its status is not 200 or its body is
/// malformed.
template <typename Value, typename Decoder>
Value decodeBody(const http::Result &Answer, Decoder Decode) {
  if (Answer.State != protocol::Delivery::Answered ||
      Answer.Message.Status != 200)
    return {};
  try {
    return Decode(Answer.Message.Body);
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
        auto Found = decodeBody<cell::JobQueryResult>(Answer, decodeJobAnswer);
        Core.post([Done, Found] { Done(Found); });
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
            decodeBody<cell::PendingQueryResult>(Answer, decodePendingAnswer);
        Core.post([Done, Found] { Done(Found); });
      });
}

void HttpPeerCalls::identify(
    const protocol::Address &To, Duration Wait, Duration Slack,
    std::function<void(std::optional<cell::ProbeAnswer>)> Done) {
  ControlSender.send(
      To,
      {"GET",
       std::string(IdentifyPath) + "?wait_ms=" + std::to_string(Wait.count())},
      Wait + Slack, [this, Done = std::move(Done)](const http::Result &Answer) {
        auto Found = decodeBody<std::optional<cell::ProbeAnswer>>(
            Answer, decodeProbeAnswer);
        Core.post([Done, Found] { Done(Found); }, Lane::Control);
      });
}

void HttpPeerCalls::health(const protocol::Address &To,
                           const std::string &Process,
                           std::function<void(cell::OwnerHealth)> Done) {
  ControlSender.send(
      To,
      {"GET",
       std::string(HealthPath) + "?process=" + http::percentEncode(Process)},
      HealthTimeout,
      [this, Done = std::move(Done)](const http::Result &Answer) {
        auto Found = decodeBody<cell::OwnerHealth>(Answer, decodeHealth);
        Core.post([Done, Found] { Done(Found); }, Lane::Control);
      });
}

void HttpPeerCalls::forwardAdvice(const protocol::Address &To,
                                  const ForwardedAdviceRequest &Request,
                                  std::function<void(cell::Advice)> Done) {
  Sender.send(To, {"POST", AdvicePath, encode(Request)},
              Request.Timeout + ForwardingSlack,
              [this, Done = std::move(Done)](const http::Result &Answer) {
                auto Found = decodeBody<cell::Advice>(Answer, decodeAdvice);
                Core.post([Done, Found] { Done(Found); });
              });
}

void AdviceRouter::ask(const protocol::Address &Through,
                       const cell::StepKey &Step,
                       const std::vector<EndpointId> &Candidates,
                       Duration Timeout,
                       std::function<void(cell::Advice)> Done) {
  if (Through.Port == 0)
    return LocalAdvisor.ask(Step, Candidates, Timeout, std::move(Done));
  Peers.forwardAdvice(Through, {Step, Candidates, Timeout}, std::move(Done));
}

} // namespace teaselwalk::node
