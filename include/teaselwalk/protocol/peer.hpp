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

/// Messages between entry processes, carried by JSON-RPC.
namespace teaselwalk::protocol {

/// A shard of a data centre, counted from 0.
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

/// "At an age of at most `Age`, `Writer` had no write in flight and knew of no
/// revision above `Revision`."
struct Attestation {
  ProcessId Writer;
  uint64_t Revision = 0;
  Duration Age{0};
};

/// Sent every second to each process of the same data centre.
struct Heartbeat {
  ProcessId From;
  DataCentreId DataCentre;
  Address At;                   ///< Of the sender's peer server.
  bool Leaving = false;         ///< Shutting down: takes no new work.
  uint64_t Revision = 0;        ///< Of the sender's configuration document.
  Duration DocumentAge{0};      ///< Age of the sender's confirmation of it.
  std::vector<uint32_t> Shards; ///< Held by the sender, with authority.
  Resources Free;               ///< Room on all endpoints of these shards.
  std::vector<Attestation> Attestations;
  bool WantsEcho =
      true;          ///< The sender needs an answer to confirm its document.
  int64_t Stamp = 0; ///< Sender's steady clock in ms, for the echo.
  /// Set in the answer to a heartbeat: whose it was, and its stamp. Ages count
  /// from that moment on the clock of `EchoOf`, so a delayed answer never makes
  /// a confirmation look younger than it is.
  ProcessId EchoOf;
  int64_t EchoStamp = 0;
};

/// A quick call passed to another process. `Hops` counts how often.
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
