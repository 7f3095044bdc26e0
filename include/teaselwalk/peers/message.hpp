#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/protocol/peer.hpp"
#include "teaselwalk/protocol/vm.hpp"
#include "teaselwalk/runtime/hybrid_clock.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Messages between entry processes as JSON-RPC 2.0 over HTTP.
///
/// A method returns at once: its result only says whether the receiver's
/// engine accepted the message. The answer to a forwarded call or a proposal is
/// a separate message in the opposite direction that carries the token of the
/// original; the answer to a call also carries its request id. A call can
/// therefore wait until its deadline without holding a connection or a thread.
namespace teaselwalk::peers {

/// Method `heartbeat`.
struct HeartbeatMessage {
  protocol::Heartbeat Beat;
};

/// Method `call`. The receiver answers with `AnswerMessage`.
struct CallMessage {
  uint64_t Token = 0; ///< Chosen by the sender; returned in the answer.
  protocol::ForwardedCall Call;
};

/// Method `answer`.
struct AnswerMessage {
  uint64_t Token = 0;
  protocol::CallAnswer Answer;
};

/// Method `digest`: the state of the data centres that the sender knows of, as
/// JSON text.
struct DigestMessage {
  std::string Text;
};

/// Method `propose`: a configuration change, sent as JSON text to a process
/// that writes the configuration, which answers with `OutcomeMessage`.
struct ProposeMessage {
  uint64_t Token = 0;
  std::string Text;
};

/// Method `outcome`: the answer to a `ProposeMessage`, as JSON text.
struct OutcomeMessage {
  uint64_t Token = 0;
  std::string Text;
};

using Message = std::variant<HeartbeatMessage, CallMessage, AnswerMessage,
                             DigestMessage, ProposeMessage, OutcomeMessage>;

/// The JSON-RPC methods, in the order of the alternatives of `Message`.
constexpr std::array<std::string_view, 6> MethodNames = {
    "heartbeat", "call", "answer", "digest", "propose", "outcome"};
static_assert(MethodNames.size() == std::variant_size_v<Message>);

/// A message with its sender.
struct Envelope {
  ProcessId From;
  protocol::Address ReplyTo; ///< The sender's peer server.
  runtime::HybridTime Sent;  ///< The sender's clock; orders timeline events.
  Message Content;
};

/// The JSON-RPC method that carries \p Content.
std::string_view methodOf(const Message &Content);

/// Returns the parameters of the JSON-RPC method as JSON text. Throws
/// `InvalidInput` if a string in the message is not valid UTF-8.
std::string encode(const Envelope &Value);

/// The inverse of `encode()`. Throws `InvalidInput` for an unknown method,
/// malformed parameters and values out of range.
Envelope decode(std::string_view Method, const std::string &Params);

} // namespace teaselwalk::peers
