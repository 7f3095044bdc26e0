#include "teaselwalk/platform/vm_list_client.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/protocol/vm_json.hpp"

#include <utility>

namespace teaselwalk::platform {
namespace {

std::optional<std::vector<protocol::VmInfo>>
toVms(const http::Result &Outcome) {
  if (Outcome.State != protocol::Delivery::Answered ||
      Outcome.Message.Status != 200)
    return std::nullopt;
  try {
    return protocol::parseVms(Outcome.Message.Body);
  } catch (const InvalidInput &) {
    return std::nullopt;
  }
}

} // namespace

VmListClient::VmListClient(http::Client &Sender, protocol::Address List,
                           Duration Timeout)
    : Sender(Sender), List(std::move(List)), Timeout(Timeout) {}

void VmListClient::fetch(Callback Done) const {
  Sender.send(List, {"GET", "/vms"}, Timeout,
              [Done = std::move(Done)](const http::Result &Outcome) {
                Done(toVms(Outcome));
              });
}

} // namespace teaselwalk::platform
