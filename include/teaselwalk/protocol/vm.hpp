#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/id.hpp"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace teaselwalk::protocol {

/// IP address and TCP port of a process.
struct Address {
  std::string Ip;
  uint16_t Port = 0;

  friend bool operator==(const Address &A, const Address &B) {
    return A.Ip == B.Ip && A.Port == B.Port;
  }
  friend bool operator!=(const Address &A, const Address &B) {
    return !(A == B);
  }
  friend bool operator<(const Address &A, const Address &B) {
    return A.Ip != B.Ip ? A.Ip < B.Ip : A.Port < B.Port;
  }
  friend std::ostream &operator<<(std::ostream &Out, const Address &Value) {
    return Out << Value.Ip << ':' << Value.Port;
  }
};

enum class VmRole { Endpoint, Entry };

constexpr std::array<EnumName<VmRole>, 2> VmRoleNames = {{
    {VmRole::Endpoint, "endpoint"},
    {VmRole::Entry, "entry"},
}};

enum class VmState { Live, Leaving };

constexpr std::array<EnumName<VmState>, 2> VmStateNames = {{
    {VmState::Live, "live"},
    {VmState::Leaving, "leaving"},
}};

/// One row of the platform's VM list. The list is updated with a delay, so it
/// may name VMs that are gone and lack new ones.
struct VmInfo {
  std::string Name;
  Address At;
  DataCentreId DataCentre;
  RackId Rack;
  VmRole Role = VmRole::Endpoint;
  VmState State = VmState::Live;
};

} // namespace teaselwalk::protocol
