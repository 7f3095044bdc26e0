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

/// What the engine reacts to. Each event is one message or tick that reached
/// the process.
namespace teaselwalk::engine {

/// Names the open request of a caller inside this process.
using RequestToken = uint64_t;

/// Names a message of this process that expects an answer.
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

/// The endpoint started the task (answer to a run without `Wait`).
struct RunStarted {};

/// The endpoint has no room; the task did not run.
struct NoRoom {};

/// No usable answer, or an error that says nothing else.
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

/// A call that a peer passed on. The answer goes back to the peer.
struct PeerCallReceived {
  protocol::Address From;
  RequestToken PeerToken = 0;
  protocol::ForwardedCall Forwarded;
};

/// The answer to a call that this process passed on.
struct PeerCallAnswered {
  CommandId Command = 0;
  protocol::CallAnswer Answer;
};

/// A passed-on call whose hand-over failed.
struct PeerCallFailed {
  CommandId Command = 0;
  protocol::Delivery State = protocol::Delivery::Lost;
};

/// An operators' change, to be written if the head still has `BaseRevision`.
struct ProposalReceived {
  RequestToken From = 0;
  uint64_t BaseRevision = 0;
  config::NextHead Next;
};

/// Graceful shutdown was requested.
struct DrainRequested {};

/// Time has passed. Sent at least every `EngineOptions::TickInterval`.
struct Tick {};

using Event =
    std::variant<CallReceived, JobReceived, JobQuery, JobCancel, StatusQuery,
                 EndpointReplied, StoreReplied, VmListReceived,
                 HeartbeatReceived, PeerCallReceived, PeerCallAnswered,
                 PeerCallFailed, ProposalReceived, DrainRequested, Tick>;

} // namespace teaselwalk::engine
