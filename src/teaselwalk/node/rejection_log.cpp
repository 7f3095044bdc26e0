#include "rejection_log.hpp"

#include "teaselwalk/runtime/log.hpp"

#include <utility>

namespace teaselwalk::node {
namespace {

constexpr std::chrono::seconds LogInterval{1};

} // namespace

RejectionLog::RejectionLog(std::string Server, runtime::Metrics &Registry)
    : Server(std::move(Server)) {
  for (const EnumName<http::Rejection> &Row : http::RejectionNames)
    Reasons[static_cast<size_t>(Row.Value)].Total = &Registry.counter(
        "teaselwalk_connections_rejected_total",
        "Requests and connections that a server has rejected.",
        {{"server", this->Server}, {"reason", std::string(Row.Name)}});
}

void RejectionLog::add(http::Rejection Why, const std::string &Address) {
  Reason &Of = Reasons[static_cast<size_t>(Why)];
  Of.Total->add();
  ++Of.Unlogged;
  auto Now = std::chrono::steady_clock::now();
  if (Of.LoggedAt != std::chrono::steady_clock::time_point() &&
      Now - Of.LoggedAt < LogInterval)
    return;
  Of.LoggedAt = Now;
  runtime::logEvent(runtime::Level::Warn, EventName::RequestRefused,
                    {{"server", Server},
                     {"reason", std::string(nameOf(http::RejectionNames, Why))},
                     {"address", Address},
                     {"count", std::exchange(Of.Unlogged, 0)}});
}

} // namespace teaselwalk::node
