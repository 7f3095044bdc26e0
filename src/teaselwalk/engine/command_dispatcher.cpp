#include "teaselwalk/engine/command_dispatcher.hpp"

#include <iterator>

namespace teaselwalk::engine {
namespace {

/// Removes and returns the handler of \p Id. It must be removed before it is
/// called, because it may add handlers of further commands to \p From.
template <typename Handler>
std::optional<Handler> take(std::unordered_map<CommandId, Handler> &From,
                            CommandId Id, uint64_t &DroppedAnswers) {
  auto Found = From.find(Id);
  if (Found == From.end()) {
    ++DroppedAnswers;
    return std::nullopt;
  }
  Handler Value = std::move(Found->second);
  From.erase(Found);
  return Value;
}

} // namespace

void CommandDispatcher::callStore(protocol::StoreRequest Request,
                                  Duration Timeout, OnStoreReply Then) {
  ++StoreCalls;
  StoreHandlers.emplace(NextId, std::move(Then));
  emit(SendToStore{NextId++, std::move(Request), Timeout});
}

void CommandDispatcher::sendToEndpoint(const protocol::Address &To,
                                       EndpointCommand Message,
                                       Duration Timeout, OnEndpointReply Then) {
  EndpointHandlers.emplace(NextId, std::move(Then));
  emit(SendToEndpoint{NextId++, To, std::move(Message), Timeout});
}

CommandId CommandDispatcher::forwardCall(const protocol::Address &To,
                                         protocol::ForwardedCall Call,
                                         OnCallAnswer OnAnswer,
                                         OnCallFailure OnFailure) {
  ForwardedCallHandlers.emplace(
      NextId, ForwardHandlers{std::move(OnAnswer), std::move(OnFailure)});
  emit(engine::ForwardCall{NextId, To, std::move(Call)});
  return NextId++;
}

void CommandDispatcher::onStoreReply(const StoreReplied &Event, TimePoint Now) {
  if (auto Then = take(StoreHandlers, Event.Command, DroppedAnswers))
    (*Then)(Event.Reply, Now);
}

void CommandDispatcher::onEndpointReply(const EndpointReplied &Event,
                                        TimePoint Now) {
  if (auto Then = take(EndpointHandlers, Event.Command, DroppedAnswers))
    (*Then)(Event.Reply, Now);
}

void CommandDispatcher::onCallAnswer(const PeerCallAnswered &Event,
                                     TimePoint Now) {
  if (auto Then = take(ForwardedCallHandlers, Event.Command, DroppedAnswers))
    Then->OnAnswer(Event.Answer, Now);
}

void CommandDispatcher::onCallFailure(const PeerCallFailed &Event,
                                      TimePoint Now) {
  if (auto Then = take(ForwardedCallHandlers, Event.Command, DroppedAnswers))
    Then->OnFailure(Event.State, Now);
}

void CommandDispatcher::drainInto(Actions &Out) {
  Out.insert(Out.end(), std::make_move_iterator(PendingActions.begin()),
             std::make_move_iterator(PendingActions.end()));
  PendingActions.clear();
}

} // namespace teaselwalk::engine
