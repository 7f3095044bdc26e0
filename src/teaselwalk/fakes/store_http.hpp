#pragma once

#include "teaselwalk/http/message.hpp"
#include "teaselwalk/protocol/store.hpp"

#include <cstdint>
#include <string>

/// HTTP form of calls to the store, on the store's side.
namespace teaselwalk::fakes {

/// Throws `InvalidInput` if the request is not a call to the store.
protocol::StoreRequest toStoreRequest(const http::Request &Message);

http::Response toHttp(const protocol::StoreRequest &Call,
                      const protocol::StoreReply &Reply);

/// The query parameter as a number from 0 to \p Max, or \p Default if absent.
/// Throws `InvalidInput`.
uint64_t numberOf(const http::Request &Message, const std::string &Name,
                  uint64_t Default, uint64_t Max);

} // namespace teaselwalk::fakes
