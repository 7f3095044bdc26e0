#pragma once

#include "teaselwalk/cell/scheduler_core.hpp"
#include "teaselwalk/http/message.hpp"

#include <string>
#include <vector>

/// Messages between entry processes: HTTP with JSON bodies.
namespace teaselwalk::node {

constexpr const char *JobPath = "/peer/job";
constexpr const char *PendingPath = "/peer/pending";
constexpr const char *IdentifyPath = "/peer/identify";
constexpr const char *HealthPath = "/peer/owner-health";
constexpr const char *AdvicePath = "/peer/advice";

/// Asks the receiver to send a question to the advisory service.
struct ForwardedAdviceRequest {
  cell::StepKey Step;
  std::vector<EndpointId> Candidates;
  Duration Timeout{0}; ///< For the answer of the service.
};

std::string encode(const cell::JobQueryResult &Answer);
std::string encode(const cell::PendingQueryResult &Answer);
std::string encode(cell::OwnerHealth Health);
std::string encode(const cell::ProbeAnswer &Answer);
std::string encode(const ForwardedAdviceRequest &Request);
std::string encode(const cell::Advice &Answer);

/// Each throws `Error` if the text is not JSON, or if a field is absent, of
/// another type or out of range. An unknown `health` yields
/// `OwnerHealth::Unknown`.
cell::JobQueryResult decodeJobAnswer(const std::string &Text);
cell::PendingQueryResult decodePendingAnswer(const std::string &Text);
cell::OwnerHealth decodeHealth(const std::string &Text);
cell::ProbeAnswer decodeProbeAnswer(const std::string &Text);
ForwardedAdviceRequest decodeForwardedAdviceRequest(const std::string &Text);
cell::Advice decodeAdvice(const std::string &Text);

} // namespace teaselwalk::node
