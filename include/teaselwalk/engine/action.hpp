#pragma once

#include "teaselwalk/base/event_name.hpp"
#include "teaselwalk/engine/event.hpp"

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// What the engine asks its process to do. Each action is one message to send
/// or one event to record.
namespace teaselwalk::engine {

struct AnswerCall {
  RequestToken To = 0;
  protocol::CallAnswer Answer;
};

/// Answer to `POST /v1/jobs`; `Job` is set whenever the job has an id.
struct AnswerJob {
  RequestToken To = 0;
  JobId Job;
  protocol::Refusal Reason = protocol::Refusal::None;
  Verdict Outcome = Verdict::NotRun;
  std::string Message;
};

/// Answer to a job query or cancellation.
struct AnswerJobStatus {
  RequestToken To = 0;
  protocol::Refusal Reason = protocol::Refusal::None;
  protocol::JobStatus Status;
};

/// Answer to `GET /v1/status` as JSON text.
struct AnswerStatus {
  RequestToken To = 0;
  std::string Json;
};

enum class ProposalOutcome { Accepted, Conflict, Unknown, StoreUnavailable };

struct AnswerProposal {
  RequestToken To = 0;
  ProposalOutcome Outcome = ProposalOutcome::Unknown;
  uint64_t Revision = 0; ///< In force, as far as this process knows.
};

using EndpointCommand =
    std::variant<protocol::AttachCommand, protocol::RunCommand,
                 protocol::RenewCommand, protocol::StopCommand>;

struct SendToEndpoint {
  CommandId Command = 0;
  protocol::Address To;
  EndpointCommand Message;
  Duration Timeout{0};
};

struct SendToStore {
  CommandId Command = 0;
  protocol::StoreRequest Request;
  Duration Timeout{0};
};

struct FetchVmList {};

struct SendHeartbeat {
  protocol::Address To;
  protocol::Heartbeat Beat;
};

struct ForwardCall {
  CommandId Command = 0;
  protocol::Address To;
  protocol::ForwardedCall Forwarded;
};

/// Answer to a call that a peer passed on.
struct AnswerPeerCall {
  protocol::Address To;
  RequestToken PeerToken = 0;
  protocol::CallAnswer Answer;
};

/// One entry for the log and the time line.
struct RecordEvent {
  EventName Name = EventName::CallReceived;
  std::vector<std::pair<std::string, std::string>> Fields;
};

using Action =
    std::variant<AnswerCall, AnswerJob, AnswerJobStatus, AnswerStatus,
                 AnswerProposal, SendToEndpoint, SendToStore, FetchVmList,
                 SendHeartbeat, ForwardCall, AnswerPeerCall, RecordEvent>;

using Actions = std::vector<Action>;

} // namespace teaselwalk::engine
