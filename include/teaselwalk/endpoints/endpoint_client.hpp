#pragma once

#include "teaselwalk/http/client.hpp"
#include "teaselwalk/protocol/delivery.hpp"
#include "teaselwalk/protocol/endpoint.hpp"

#include <functional>
#include <variant>

/// HTTP client that sends the owner's commands to the endpoints.
namespace teaselwalk::endpoints {

/// The task runs. Its result follows in a later `EndpointState`.
struct Started {};

/// The endpoint has too few free resources; the task was not started.
struct NoRoom {};

/// There was no answer, or none that confirms the command.
struct Failed {
  protocol::Delivery State = protocol::Delivery::Lost;
  Verdict Outcome = Verdict::MayHaveRun; ///< Whether the command took effect.
};

using Answer =
    std::variant<protocol::EndpointState, protocol::RunResult, Started,
                 protocol::StopResult, protocol::StaleEpoch, NoRoom, Failed>;

// Translate the result of an exchange. An answer that is malformed, or that
// does not match the command, yields `Failed` with `Verdict::MayHaveRun`.
Answer toAnswer(const protocol::AttachCommand &Sent,
                const http::Result &Outcome);
Answer toAnswer(const protocol::RunCommand &Sent, const http::Result &Outcome);
Answer toAnswer(const protocol::RenewCommand &Sent,
                const http::Result &Outcome);
Answer toAnswer(const protocol::StopCommand &Sent, const http::Result &Outcome);

/// Sends commands to any endpoint, each once: a failed command is not retried.
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
