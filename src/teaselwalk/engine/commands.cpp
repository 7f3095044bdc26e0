#include "teaselwalk/engine/commands.hpp"

#include <iterator>

namespace teaselwalk::engine {
namespace {

/// Removes and returns the handler of \p Id. It must be removed before it is
/// called, because it may add handlers of further commands to \p From.
template <typename Handler>
std::optional<Handler> take(std::unordered_map<CommandId, Handler> &From,
                            CommandId Id, uint64_t &Dropped) {
  auto Found = From.find(Id);
  if (Found == From.end()) {
    ++Dropped;
    return std::nullopt;
  }
  Handler Value = std::move(Found->second);
  From.erase(Found);
  return Value;
}

} // namespace

void Commands::store(protocol::StoreRequest Request, Duration Timeout,
                     OnStore Then) {
  ++StoreCalls;
  Stores.emplace(Next, std::move(Then));
  emit(SendToStore{Next++, std::move(Request), Timeout});
}

void Commands::endpoint(const protocol::Address &To, EndpointCommand Message,
                        Duration Timeout, OnEndpoint Then) {
  Endpoints.emplace(Next, std::move(Then));
  emit(SendToEndpoint{Next++, To, std::move(Message), Timeout});
}

CommandId Commands::forward(const protocol::Address &To,
                            protocol::ForwardedCall Call, OnCallAnswer OnAnswer,
                            OnCallFailure OnFailure) {
  Forwards.emplace(Next,
                   ForwardHandlers{std::move(OnAnswer), std::move(OnFailure)});
  emit(engine::ForwardCall{Next, To, std::move(Call)});
  return Next++;
}

void Commands::onStore(const StoreReplied &Event, TimePoint Now) {
  if (auto Then = take(Stores, Event.Command, Dropped))
    (*Then)(Event.Reply, Now);
}

void Commands::onEndpoint(const EndpointReplied &Event, TimePoint Now) {
  if (auto Then = take(Endpoints, Event.Command, Dropped))
    (*Then)(Event.Reply, Now);
}

void Commands::onCallAnswer(const PeerCallAnswered &Event, TimePoint Now) {
  if (auto Then = take(Forwards, Event.Command, Dropped))
    Then->OnAnswer(Event.Answer, Now);
}

void Commands::onCallFailure(const PeerCallFailed &Event, TimePoint Now) {
  if (auto Then = take(Forwards, Event.Command, Dropped))
    Then->OnFailure(Event.State, Now);
}

void Commands::drainInto(Actions &Out) {
  Out.insert(Out.end(), std::make_move_iterator(Pending.begin()),
             std::make_move_iterator(Pending.end()));
  Pending.clear();
}

} // namespace teaselwalk::engine
