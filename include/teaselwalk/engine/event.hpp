#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/verdict.hpp"
#include "teaselwalk/config/head.hpp"
#include "teaselwalk/protocol/caller.hpp"
#include "teaselwalk/protocol/delivery.hpp"
#include "teaselwalk/protocol/endpoint.hpp"
#include "teaselwalk/protocol/peer.hpp"
#include "teaselwalk/protocol/store.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Inputs of the engine. Each event is one message that reached the process, or
/// a tick.
namespace teaselwalk::engine {

/// Identifies a caller's request inside this process until it is answered.
using RequestToken = uint64_t;

/// Identifies a message of this process until its answer arrives.
using CommandId = uint64_t;

struct CallReceived {
  RequestToken From = 0;
  protocol::CallRequest Call;
};

struct JobReceived {
  RequestToken From = 0;
  protocol::JobRequest Job;
};

struct JobQuery {
  RequestToken From = 0;
  std::string Key;
  JobId Job;
};

struct JobCancel {
  RequestToken From = 0;
  std::string Key;
  JobId Job;
};

struct StatusQuery {
  RequestToken From = 0;
};

/// Answer to a run command without `Wait`: the endpoint started the task.
struct RunStarted {};

/// Answer to a run command: the endpoint has no room and did not run the task.
struct NoRoom {};

/// The command had no usable answer, or one with an error that none of the
/// other replies describes.
struct CommandFailed {
  protocol::Delivery State = protocol::Delivery::Lost;
  Verdict Outcome = Verdict::MayHaveRun;
  std::string Message;
};

using EndpointReply = std::variant<protocol::EndpointState, protocol::RunResult,
                                   RunStarted, protocol::StopResult,
                                   protocol::StaleEpoch, NoRoom, CommandFailed>;

struct EndpointReplied {
  CommandId Command = 0;
  EndpointReply Reply;
};

struct StoreReplied {
  CommandId Command = 0;
  protocol::StoreReply Reply;
};

struct VmListReceived {
  std::vector<protocol::VmInfo> Vms;
};

struct HeartbeatReceived {
  protocol::Heartbeat Beat;
};

/// A call that a peer forwarded. Answered by `AnswerPeerCall`.
struct PeerCallReceived {
  protocol::Address From;
  RequestToken PeerToken = 0;
  protocol::ForwardedCall Forwarded;
};

/// The answer to a call that this process forwarded.
struct PeerCallAnswered {
  CommandId Command = 0;
  protocol::CallAnswer Answer;
};

/// A call that this process forwarded did not reach the peer, or the peer did
/// not answer it.
struct PeerCallFailed {
  CommandId Command = 0;
  protocol::Delivery State = protocol::Delivery::Lost;
};

/// An operator's change to the configuration document. It is written only if
/// `config/head` still has `BaseRevision`. Answered by `AnswerProposal`.
struct ProposalReceived {
  RequestToken From = 0;
  uint64_t BaseRevision = 0;
  config::NextHead Next;
};

/// Graceful shutdown was requested.
struct DrainRequested {};

/// Triggers all work that is due by time. Sent at least once every
/// `EngineOptions::TickInterval`.
struct Tick {};

using Event =
    std::variant<CallReceived, JobReceived, JobQuery, JobCancel, StatusQuery,
                 EndpointReplied, StoreReplied, VmListReceived,
                 HeartbeatReceived, PeerCallReceived, PeerCallAnswered,
                 PeerCallFailed, ProposalReceived, DrainRequested, Tick>;

} // namespace teaselwalk::engine
