#pragma once

#include "teaselwalk/http/client.hpp"
#include "teaselwalk/protocol/store.hpp"

#include <functional>

/// Clients of the platform: the key-value service and the VM list.
namespace teaselwalk::platform {

/// Encodes \p Call as an HTTP request. Throws `InvalidInput` if the value is
/// not UTF-8 and so cannot be sent as JSON.
http::Request toHttp(const protocol::StoreRequest &Call);

/// Decodes the result of the HTTP exchange for \p Call. The status is Ok only
/// if the answer is well-formed. It is Lost if the answer, or its absence,
/// leaves open whether the call took effect.
protocol::StoreReply toReply(const protocol::StoreRequest &Call,
                             const http::Result &Outcome);

/// Client of the key-value service.
///
/// ```cpp
/// platform::StoreClient Store(Client, {"127.0.0.1", 2379});
/// Store.send(Request, Duration(1000), [](protocol::StoreReply R) { ... });
/// ```
class StoreClient {
public:
  using Callback = std::function<void(protocol::StoreReply)>;

  /// \p Sender must outlive this object; callbacks run on its thread.
  StoreClient(http::Client &Sender, protocol::Address Store);

  /// Thread-safe. Sends the call at most once: only the caller can decide
  /// whether a lost call may be repeated.
  void send(const protocol::StoreRequest &Call, Duration Timeout,
            Callback Done) const;

private:
  http::Client &Sender;
  protocol::Address Store;
};

} // namespace teaselwalk::platform
