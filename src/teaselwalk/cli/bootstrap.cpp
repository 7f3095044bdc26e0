#include "bootstrap.hpp"

#include "teaselwalk/platform/store_client.hpp"

namespace teaselwalk::cli {
namespace {

protocol::StoreReply callStore(const protocol::Address &Store,
                               const protocol::StoreRequest &Call,
                               Duration Timeout) {
  return platform::toReply(
      Call, http::sendAndWait(Store, platform::toHttp(Call), Timeout));
}

BootstrapOutcome readBack(const protocol::Address &Store,
                          const std::string &Written, Duration Timeout) {
  protocol::StoreRequest Read;
  Read.Key = config::HeadKey;
  protocol::StoreReply Found = callStore(Store, Read, Timeout);
  if (Found.Status != protocol::StoreStatus::Ok)
    return BootstrapOutcome::Unknown;
  return Found.Value == Written ? BootstrapOutcome::Written
                                : BootstrapOutcome::Exists;
}

} // namespace

BootstrapOutcome bootstrap(const protocol::Address &Store,
                           const config::Document &Document,
                           const config::ChangeNote &Note, Duration Timeout) {
  protocol::StoreRequest Write;
  Write.Operation = protocol::StoreOperation::Write;
  Write.Key = config::HeadKey;
  Write.Value = serialise(config::nextHead({}, {}, Document, Note).Head);
  switch (callStore(Store, Write, Timeout).Status) {
  case protocol::StoreStatus::Ok:
    return BootstrapOutcome::Written;
  case protocol::StoreStatus::NotSent:
    return BootstrapOutcome::NotSent;
  case protocol::StoreStatus::Conflict:
    return BootstrapOutcome::Exists;
  case protocol::StoreStatus::Lost:
    return readBack(Store, Write.Value, Timeout);
  default:
    return BootstrapOutcome::Refused;
  }
}

} // namespace teaselwalk::cli
