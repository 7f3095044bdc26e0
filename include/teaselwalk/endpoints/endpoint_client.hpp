#pragma once

#include "teaselwalk/http/client.hpp"
#include "teaselwalk/protocol/delivery.hpp"
#include "teaselwalk/protocol/endpoint.hpp"

#include <functional>
#include <variant>

/// Client of the endpoints.
namespace teaselwalk::endpoints {

/// The task runs; its result comes with a later state.
struct Started {};

/// The endpoint has no room; the task was not started.
struct NoRoom {};

/// No usable answer.
struct Failed {
  protocol::Delivery State = protocol::Delivery::Lost;
  Verdict Outcome = Verdict::MayHaveRun; ///< Of the command.
};

using Answer =
    std::variant<protocol::EndpointState, protocol::RunResult, Started,
                 protocol::StopResult, protocol::StaleEpoch, NoRoom, Failed>;

// Classify the end of an exchange. An answer that is malformed, or that does
// not belong to the command, leaves open whether the command took effect.
Answer toAnswer(const protocol::AttachCommand &Sent,
                const http::Result &Outcome);
Answer toAnswer(const protocol::RunCommand &Sent, const http::Result &Outcome);
Answer toAnswer(const protocol::RenewCommand &Sent,
                const http::Result &Outcome);
Answer toAnswer(const protocol::StopCommand &Sent, const http::Result &Outcome);

/// Client of all endpoints. Never sends a command twice.
class EndpointClient {
public:
  using Callback = std::function<void(Answer)>;

  /// \p Sender must outlive this object; callbacks run on its thread.
  explicit EndpointClient(http::Client &Sender) : Sender(Sender) {}

  // Thread-safe. Attach and renew yield EndpointState, StaleEpoch or Failed;
  // run yields Started, RunResult, NoRoom, StaleEpoch or Failed; stop yields
  // StopResult, StaleEpoch or Failed.
  void send(const protocol::Address &At, const protocol::AttachCommand &Command,
            Duration Timeout, Callback Done) const;
  void send(const protocol::Address &At, const protocol::RunCommand &Command,
            Duration Timeout, Callback Done) const;
  void send(const protocol::Address &At, const protocol::RenewCommand &Command,
            Duration Timeout, Callback Done) const;
  void send(const protocol::Address &At, const protocol::StopCommand &Command,
            Duration Timeout, Callback Done) const;

private:
  http::Client &Sender;
};

} // namespace teaselwalk::endpoints
