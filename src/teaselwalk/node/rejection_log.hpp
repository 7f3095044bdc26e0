#pragma once

#include "teaselwalk/http/server.hpp"
#include "teaselwalk/runtime/metrics.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace teaselwalk::node {

/// Counts what a server rejects, and logs it at most once a second for each
/// reason, so that a crowd of clients does not fill the log. Used on the
/// server's thread only.
class RejectionLog {
public:
  /// \p Server names the server in metrics and log lines.
  RejectionLog(std::string Server, runtime::Metrics &Registry);

  /// \p Address is that of the client.
  void add(http::Rejection Why, const std::string &Address);

private:
  struct Reason {
    runtime::Counter *Total = nullptr;
    int64_t Unlogged = 0;
    std::chrono::steady_clock::time_point LoggedAt;
  };

  const std::string Server;
  std::array<Reason, http::RejectionNames.size()> Reasons;
};

} // namespace teaselwalk::node
