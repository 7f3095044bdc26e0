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
/// No method waits for work: the result only says whether the message was
/// taken. The answer to a forwarded call or a proposal is a message of its own
/// in the other direction, with the token and the request id of the original.
/// A call can therefore wait until its deadline without holding a connection or
/// a thread.
namespace teaselwalk::peers {

/// Method `heartbeat`.
struct HeartbeatMessage {
  protocol::Heartbeat Beat;
};

/// Method `call`. The receiver answers with `AnswerMessage`.
struct CallMessage {
  uint64_t Token = 0; ///< Of the sender; returned in the answer.
  protocol::ForwardedCall Call;
};

/// Method `answer`.
struct AnswerMessage {
  uint64_t Token = 0;
  protocol::CallAnswer Answer;
};

/// Method `digest`: state of the data centres that the sender knows of, as JSON
/// text.
struct DigestMessage {
  std::string Text;
};

/// Method `propose`: a change of the configuration, sent to a writer as JSON
/// text. The receiver answers with `OutcomeMessage`.
struct ProposeMessage {
  uint64_t Token = 0;
  std::string Text;
};

/// Method `outcome`: the writer's answer to a proposal, as JSON text.
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
  runtime::HybridTime Sent;  ///< The sender's clock, for the timeline.
  Message Content;
};

/// The JSON-RPC method that carries \p Content.
std::string_view methodOf(const Message &Content);

/// The parameters of the method, as JSON text. Throws `InvalidInput` if a text
/// is not UTF-8.
std::string encode(const Envelope &Value);

/// The reverse of `encode()`. Throws `InvalidInput` for an unknown method,
/// malformed parameters and values out of their bounds.
Envelope decode(std::string_view Method, const std::string &Params);

} // namespace teaselwalk::peers
