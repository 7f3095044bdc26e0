#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/http/message.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

/// Checks of request line and headers.
namespace teaselwalk::callers {

/// A job id in a path and a request id: 1 to \p MaxBytes of `A-Za-z0-9._-`.
bool isPlainId(std::string_view Text, size_t MaxBytes);

/// The id in `X-Request-Id`, or one made from \p Random if there is none.
/// Throws `InvalidInput` if the header is not a valid id.
RequestId requestIdOf(const http::Request &Message, std::mt19937_64 &Random);

/// The job id behind `/v1/jobs/`. Throws `InvalidInput`.
JobId jobIdOf(const http::Request &Message);

/// Query parameter \p Name as a number, or \p Default if it is absent. Throws
/// `InvalidInput`.
uint64_t numberOf(const http::Request &Message, const std::string &Name,
                  uint64_t Default);

} // namespace teaselwalk::callers
