#pragma once

#include "teaselwalk/http/client.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace teaselwalk::platform {

/// Client of the platform's VM list.
class VmListClient {
public:
  /// Receives the VM list, or nullopt if there was no answer, the status was
  /// not 200 or the list is malformed.
  using Callback =
      std::function<void(std::optional<std::vector<protocol::VmInfo>>)>;

  /// \p Sender must outlive this object; callbacks run on its thread.
  VmListClient(http::Client &Sender, protocol::Address List,
               Duration Timeout = Duration(2000));

  /// Fetches the whole list. Thread-safe.
  void fetch(Callback Done) const;

private:
  http::Client &Sender;
  protocol::Address List;
  Duration Timeout;
};

} // namespace teaselwalk::platform
