#pragma once

#include "teaselwalk/cell/scheduler_core.hpp"
#include "teaselwalk/http/message.hpp"

#include <string>
#include <vector>

/// Messages between the processes of the system: HTTP with JSON bodies.
namespace teaselwalk::node {

constexpr const char *JobPath = "/peer/job";
constexpr const char *PendingPath = "/peer/pending";
constexpr const char *IdentifyPath = "/peer/identify";
constexpr const char *HealthPath = "/peer/owner-health";
constexpr const char *AdvicePath = "/peer/advice";

struct ForwardedAdviceRequest {
  cell::StepKey Step;
  std::vector<EndpointId> Candidates;
  Duration Timeout{0};
};

std::string encode(const cell::JobQueryResult &Answer);
std::string encode(const cell::PendingQueryResult &Answer);
std::string encode(cell::OwnerHealth Health);
std::string encode(const ForwardedAdviceRequest &Request);
std::string encode(const cell::Advice &Answer);

/// Each throws `Error` for anything that `encode` did not write.
cell::JobQueryResult decodeJobAnswer(const std::string &Text);
cell::PendingQueryResult decodePendingAnswer(const std::string &Text);
cell::OwnerHealth decodeHealth(const std::string &Text);
ForwardedAdviceRequest decodeForwardedAdviceRequest(const std::string &Text);
cell::Advice decodeAdvice(const std::string &Text);

} // namespace teaselwalk::node
