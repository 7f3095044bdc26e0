#pragma once

#include "teaselwalk/fakes/endpoint_model.hpp"

#include <nlohmann/json_fwd.hpp>

namespace teaselwalk::fakes {

/// Body of `GET /ran`: every attempt that started, with times in ms of the
/// machine's steady clock.
nlohmann::json runLogJson(const EndpointModel &Model, TimePoint Now);

/// Body of `GET /peak`.
nlohmann::json peakJson(const EndpointModel &Model);

} // namespace teaselwalk::fakes
