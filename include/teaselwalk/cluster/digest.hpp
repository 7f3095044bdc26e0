#pragma once

#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/peer.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// The gossip digest that entry processes of different data centres exchange.
namespace teaselwalk::cluster {

/// The state of one data centre, as reported by one of its processes.
struct DigestRow {
  DataCentreId DataCentre;
  /// Time since a process of the data centre reported the row. Does not include
  /// the time in transit between processes.
  Duration Age{0};
  uint64_t Revision = 0;  ///< Revision of the document in the data centre.
  uint32_t Processes = 0; ///< Number of entry processes.
  int64_t FreeMilliCpu = 0;
  int64_t FreeMemoryMb = 0;
  protocol::Address At; ///< A process of the data centre, for forwarding.
};

/// Sent every 2 s to up to 3 processes of other data centres (defaults of
/// `MembershipOptions`).
struct Digest {
  ProcessId From;
  std::vector<DigestRow> Rows;
  std::vector<protocol::Attestation> Attestations;
};

constexpr size_t MaxDigestBytes = 2048;

/// Encodes \p Value as JSON of at most `MaxDigestBytes`. The first row (the
/// sender's own) and the attestations take precedence. The other rows are added
/// cyclically from the other row with index \p FirstOther until one does not
/// fit. A caller that advances \p FirstOther sends all rows in turn.
std::string encodeDigest(const Digest &Value, size_t FirstOther = 0);

/// Throws `InvalidInput` if \p Text is not a digest or is longer than
/// `MaxDigestBytes`.
Digest decodeDigest(const std::string &Text);

} // namespace teaselwalk::cluster
