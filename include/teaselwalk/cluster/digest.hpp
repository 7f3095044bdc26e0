#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/peer.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// The summary that processes of different data centres exchange.
namespace teaselwalk::cluster {

/// What one data centre reports about itself.
struct DigestRow {
  DataCentreId DataCentre;
  Duration Age{0}; ///< Since the data centre reported it, without transit.
  uint64_t Revision = 0; ///< Of the document in the data centre.
  uint32_t Processes = 0;
  int64_t FreeMilliCpu = 0;
  int64_t FreeMemoryMb = 0;
  protocol::Address At; ///< One process there, for forwarding.
};

/// Sent every 2 s to 3 processes of other data centres.
struct Digest {
  ProcessId From;
  std::vector<DigestRow> Rows;
  std::vector<protocol::Attestation> Attestations;
};

constexpr size_t MaxDigestBytes = 2048;

/// JSON text of at most `MaxDigestBytes`. The first row (the sender's own) and
/// the attestations come first; further rows are left out when they do not fit,
/// starting at row \p Rotate, so that all rows are sent in turn.
std::string encodeDigest(const Digest &Value, size_t Rotate = 0);

/// Throws `InvalidInput` on text that is not a digest or is too long.
Digest decodeDigest(const std::string &Text);

} // namespace teaselwalk::cluster
