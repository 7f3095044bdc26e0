#include "bootstrap.hpp"

#include "remote.hpp"

namespace teaselwalk::cli {
namespace {

BootstrapOutcome readBack(const protocol::Address &Store,
                          const std::string &Written, Duration Timeout) {
  http::Request Read;
  Read.Target = std::string("/kv/") + config::HeadKey;
  http::Result Got = http::sendAndWait(Store, Read, Timeout);
  if (Got.State != protocol::Delivery::Answered || Got.Message.Status != 200)
    return BootstrapOutcome::Unknown;
  return textOf(bodyOf(Got.Message), "value") == Written
             ? BootstrapOutcome::Written
             : BootstrapOutcome::Exists;
}

} // namespace

BootstrapOutcome bootstrap(const protocol::Address &Store,
                           const config::Document &Document,
                           const config::ChangeNote &Note, Duration Timeout) {
  http::Request Write;
  Write.Method = "PUT";
  Write.Target = std::string("/kv/") + config::HeadKey + "?version=0";
  Write.Body = serialise(config::nextHead({}, {}, Document, Note).Head);
  http::Result Got = http::sendAndWait(Store, Write, Timeout);
  if (Got.State == protocol::Delivery::NotSent)
    return BootstrapOutcome::NotSent;
  if (Got.State == protocol::Delivery::Lost)
    return readBack(Store, Write.Body, Timeout);
  if (Got.Message.Status == 200)
    return BootstrapOutcome::Written;
  return Got.Message.Status == 409 ? BootstrapOutcome::Exists
                                   : BootstrapOutcome::Refused;
}

} // namespace teaselwalk::cli
