#pragma once

#include "teaselwalk/fakes/faults.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselwalk::fakes {

/// The platform's VM list. `PUT /vms?lag_ms=T` replaces the rows, which
/// `GET /vms` shows T ms later.
class FakeVmList {
public:
  /// Listens at once. Must outlive the host's run.
  FakeVmList(HttpHost &Host, const std::string &Ip, uint16_t Port);

  uint16_t port() const { return Port; }

private:
  void onRequest(http::Request Message, Reply Answer);
  void replace(const http::Request &Message, Reply &Answer);

  HttpHost &Host;
  FaultGate Gate;
  HttpHost::Handler Handle;
  std::vector<protocol::VmInfo> Rows;
  uint16_t Port = 0;
};

} // namespace teaselwalk::fakes
