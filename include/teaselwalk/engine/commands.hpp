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
/// Out.store({StoreOperation::Read, "config/head"}, Timeout,
///           [this](const protocol::StoreReply &Reply, TimePoint Now) { ... });
/// ```
class Commands {
public:
  using OnStore = std::function<void(const protocol::StoreReply &, TimePoint)>;
  using OnEndpoint = std::function<void(const EndpointReply &, TimePoint)>;
  using OnCallAnswer =
      std::function<void(const protocol::CallAnswer &, TimePoint)>;
  using OnCallFailure = std::function<void(protocol::Delivery, TimePoint)>;

  /// Emits a command. The callback runs once, when the answer arrives.
  void store(protocol::StoreRequest Request, Duration Timeout, OnStore Then);
  void endpoint(const protocol::Address &To, EndpointCommand Message,
                Duration Timeout, OnEndpoint Then);
  CommandId forward(const protocol::Address &To, protocol::ForwardedCall Call,
                    OnCallAnswer OnAnswer, OnCallFailure OnFailure);
  /// True while a forwarded call has neither been answered nor failed.
  bool isForwarded(CommandId Id) const { return Forwards.count(Id) != 0; }
  /// Emits an action that has no answer.
  void emit(Action Value) { Pending.push_back(std::move(Value)); }

  void onStore(const StoreReplied &Event, TimePoint Now);
  void onEndpoint(const EndpointReplied &Event, TimePoint Now);
  void onCallAnswer(const PeerCallAnswered &Event, TimePoint Now);
  void onCallFailure(const PeerCallFailed &Event, TimePoint Now);

  /// Moves the collected actions to the end of \p Out.
  void drainInto(Actions &Out);

  uint64_t droppedAnswers() const { return Dropped; }
  uint64_t storeCalls() const { return StoreCalls; }

private:
  struct ForwardHandlers {
    OnCallAnswer OnAnswer;
    OnCallFailure OnFailure;
  };

  CommandId Next = 1;
  uint64_t Dropped = 0;
  uint64_t StoreCalls = 0;
  Actions Pending;
  std::unordered_map<CommandId, OnStore> Stores;
  std::unordered_map<CommandId, OnEndpoint> Endpoints;
  std::unordered_map<CommandId, ForwardHandlers> Forwards;
};

} // namespace teaselwalk::engine
