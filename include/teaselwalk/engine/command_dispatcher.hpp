#pragma once

#include "teaselwalk/engine/action.hpp"

#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselwalk::engine {

/// Collects the engine's actions, and calls the callback of each command when
/// its answer arrives. An answer with an unknown command id is late or
/// duplicated; it is dropped and counted.
///
/// ```cpp
/// Commands.callStore({StoreOperation::Read, "config/head"}, Timeout,
///                    [this](const protocol::StoreReply &Reply, TimePoint Now)
///                    { ... });
/// ```
class CommandDispatcher {
public:
  using OnStoreReply =
      std::function<void(const protocol::StoreReply &, TimePoint)>;
  using OnEndpointReply = std::function<void(const EndpointReply &, TimePoint)>;
  using OnCallAnswer =
      std::function<void(const protocol::CallAnswer &, TimePoint)>;
  using OnCallFailure = std::function<void(protocol::Delivery, TimePoint)>;

  /// Emits a command. The callback runs once, when the answer arrives.
  void callStore(protocol::StoreRequest Request, Duration Timeout,
                 OnStoreReply Then);
  void sendToEndpoint(const protocol::Address &To, EndpointCommand Message,
                      Duration Timeout, OnEndpointReply Then);
  CommandId forwardCall(const protocol::Address &To,
                        protocol::ForwardedCall Call, OnCallAnswer OnAnswer,
                        OnCallFailure OnFailure);
  /// True while a forwarded call has neither been answered nor failed.
  bool isForwarded(CommandId Id) const {
    return ForwardedCallHandlers.count(Id) != 0;
  }
  /// Emits an action that has no answer.
  void emit(Action Value) { PendingActions.push_back(std::move(Value)); }

  void onStoreReply(const StoreReplied &Event, TimePoint Now);
  void onEndpointReply(const EndpointReplied &Event, TimePoint Now);
  void onCallAnswer(const PeerCallAnswered &Event, TimePoint Now);
  void onCallFailure(const PeerCallFailed &Event, TimePoint Now);

  /// Moves the collected actions to the end of \p Out.
  void drainInto(Actions &Out);

  uint64_t droppedAnswers() const { return DroppedAnswers; }
  uint64_t storeCalls() const { return StoreCalls; }

private:
  struct ForwardHandlers {
    OnCallAnswer OnAnswer;
    OnCallFailure OnFailure;
  };

  CommandId NextId = 1;
  uint64_t DroppedAnswers = 0;
  uint64_t StoreCalls = 0;
  Actions PendingActions;
  std::unordered_map<CommandId, OnStoreReply> StoreHandlers;
  std::unordered_map<CommandId, OnEndpointReply> EndpointHandlers;
  std::unordered_map<CommandId, ForwardHandlers> ForwardedCallHandlers;
};

} // namespace teaselwalk::engine
