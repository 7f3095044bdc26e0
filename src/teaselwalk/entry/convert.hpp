#pragma once

#include "teaselwalk/callers/event.hpp"
#include "teaselwalk/endpoints/endpoint_client.hpp"
#include "teaselwalk/engine/action.hpp"
#include "teaselwalk/engine/options.hpp"
#include "teaselwalk/settings/settings.hpp"

/// Between the types of the peer packages and those of the engine.
namespace teaselwalk::entry {

engine::Event toEvent(const callers::CallerEvent &Value);
engine::EndpointReply toReply(const endpoints::Answer &Value);
callers::JobAnswer toAnswer(const engine::AnswerJob &Value);
callers::JobAnswer toAnswer(const engine::AnswerJobStatus &Value);

/// The engine's options for a process with these settings.
engine::EngineOptions toOptions(const settings::Settings &Settings,
                                const ProcessId &Self,
                                const protocol::Address &PeerAddress,
                                uint64_t Seed);

} // namespace teaselwalk::entry
