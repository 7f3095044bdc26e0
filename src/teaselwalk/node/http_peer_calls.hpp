#pragma once

#include "core_loop.hpp"
#include "peer_protocol.hpp"

#include "platform/advisor.hpp"

#include "teaselwalk/cell/scheduler_core.hpp"
#include "teaselwalk/http/client.hpp"

namespace teaselwalk::node {

/// Client of the other entry processes, over HTTP. Every callback runs on the
/// thread of `Core`, also if the other process does not answer. Calls about the
/// owner's health use connections, a thread and a lane of `Core` of their own,
/// so that they do not wait for queries on behalf of callers.
class HttpPeerCalls : public cell::PeerCalls {
public:
  HttpPeerCalls(http::Client &ControlSender, http::Client &Sender,
                CoreLoop &Core)
      : ControlSender(ControlSender), Sender(Sender), Core(Core) {}

  void job(const protocol::Address &To, const JobId &Id,
           std::function<void(cell::JobQueryResult)> Done) override;
  void pending(const protocol::Address &To, const std::string &Queue,
               std::function<void(cell::PendingQueryResult)> Done) override;
  void
  identify(const protocol::Address &To, Duration Wait, Duration Slack,
           std::function<void(std::optional<cell::ProbeAnswer>)> Done) override;
  void health(const protocol::Address &To, const std::string &Process,
              std::function<void(cell::OwnerHealth)> Done) override;
  /// Has the process at \p To ask the advisory service.
  void forwardAdvice(const protocol::Address &To,
                     const ForwardedAdviceRequest &Request,
                     std::function<void(cell::Advice)> Done);

private:
  http::Client &ControlSender;
  http::Client &Sender;
  CoreLoop &Core;
};

/// Client of the advisory service that asks from this process or through
/// another one.
class AdviceRouter : public cell::Advisor {
public:
  AdviceRouter(adapter::PlatformAdvisor &LocalAdvisor, HttpPeerCalls &Peers)
      : LocalAdvisor(LocalAdvisor), Peers(Peers) {}

  void ask(const protocol::Address &Through, const cell::StepKey &Step,
           const std::vector<EndpointId> &Candidates, Duration Timeout,
           std::function<void(cell::Advice)> Done) override;

private:
  adapter::PlatformAdvisor &LocalAdvisor;
  HttpPeerCalls &Peers;
};

} // namespace teaselwalk::node
