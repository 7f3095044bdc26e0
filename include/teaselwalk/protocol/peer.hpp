#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/caller.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Messages between entry processes, sent over JSON-RPC.
namespace teaselwalk::protocol {

/// A shard of a data centre; shards are numbered from 0.
struct ShardId {
  DataCentreId DataCentre;
  uint32_t Number = 0;

  friend bool operator==(const ShardId &A, const ShardId &B) {
    return A.DataCentre == B.DataCentre && A.Number == B.Number;
  }
  friend bool operator<(const ShardId &A, const ShardId &B) {
    return A.DataCentre != B.DataCentre ? A.DataCentre < B.DataCentre
                                        : A.Number < B.Number;
  }
};

/// States that at most `Age` ago, `Writer` had no write of the configuration
/// document in flight and knew of no revision above `Revision`.
struct Attestation {
  ProcessId Writer;
  uint64_t Revision = 0;
  Duration Age{0};
};

/// Sent every `heartbeat_ms` (1 s by default) to each entry process of the same
/// data centre.
struct Heartbeat {
  ProcessId From;
  DataCentreId DataCentre;
  Address At;                   ///< Where the sender accepts peer messages.
  bool Leaving = false;         ///< Shutting down; takes no new work.
  uint64_t Revision = 0;        ///< Revision of the sender's document.
  Duration DocumentAge{0};      ///< Time since its last confirmation as
                                ///< current; negative if never confirmed.
  std::vector<uint32_t> Shards; ///< Shards that the sender has authority over.
  Resources Free;               ///< Free resources on their endpoints.
  std::vector<Attestation> Attestations;
  bool WantsEcho = true; ///< The sender needs an answer to confirm its
                         ///< configuration document.
  int64_t Stamp = 0; ///< Send time on the sender's steady clock in ms, which
                     ///< the answer repeats in `EchoStamp`.
  /// Set only in the answer to a heartbeat: the sender and the stamp of that
  /// heartbeat. The receiver counts the ages in the answer from `EchoStamp`, a
  /// time on its own clock, so that a delayed answer never makes a confirmation
  /// look younger than it is.
  ProcessId EchoOf;
  int64_t EchoStamp = 0;
};

/// A quick call that one entry process forwards to another. `Hops` counts the
/// times that it has been forwarded.
struct ForwardedCall {
  CallRequest Call;
  uint32_t Hops = 1;
};

void to_json(nlohmann::json &Json, const Heartbeat &Value);
void from_json(const nlohmann::json &Json, Heartbeat &Value);
void to_json(nlohmann::json &Json, const ForwardedCall &Value);
void from_json(const nlohmann::json &Json, ForwardedCall &Value);
void from_json(const nlohmann::json &Json, CallAnswer &Value);

} // namespace teaselwalk::protocol
