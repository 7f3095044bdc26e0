#pragma once

#include "teaselwalk/base/event_name.hpp"
#include "teaselwalk/engine/event.hpp"

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Outputs of the engine. The process that runs it carries them out: each
/// action is one message to send or one event to log.
namespace teaselwalk::engine {

/// Answer to `POST /v1/calls`.
struct AnswerCall {
  RequestToken To = 0;
  protocol::CallAnswer Answer;
};

/// Answer to `POST /v1/jobs`. `Job` is empty if the submission was refused
/// before the job got an id.
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

/// Outcome of an operator's change to the configuration document.
enum class ProposalOutcome { Accepted, Conflict, Unknown, StoreUnavailable };

struct AnswerProposal {
  RequestToken To = 0;
  ProposalOutcome Outcome = ProposalOutcome::Unknown;
  /// The accepted revision, otherwise the one in force at this process.
  uint64_t Revision = 0;
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

/// Fetch the platform's VM list; answered by `VmListReceived`.
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

/// Answer to a call that a peer forwarded to this process.
struct AnswerPeerCall {
  protocol::Address To;
  RequestToken PeerToken = 0;
  protocol::CallAnswer Answer;
};

/// One entry for the log and the timeline.
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
