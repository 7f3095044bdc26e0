#pragma once

#include "teaselwalk/base/id.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// The key `config/head`.
namespace teaselwalk::cluster {

/// One accepted change of the document, or of the writers (an empty patch).
struct HeadChange {
  uint64_t Revision = 0; ///< That the change led to.
  std::string Write;     ///< Unique id of the write, to recognise one's own.
  std::string Who;
  std::string Why;
  nlohmann::json Patch = nlohmann::json::array(); ///< RFC 6902.
};

constexpr size_t MaxWriters = 3;
constexpr size_t MaxHeadChanges = 32;

/// Content of `config/head`. Every write of the key raises the revision by one,
/// also when it changes only the writers: the proof by attestations needs one
/// set of writers per revision.
struct HeadRecord {
  uint64_t Revision = 0;
  std::vector<ProcessId> Writers;  ///< Up to three; only they change the key.
  std::string Digest;              ///< Of the full document.
  std::vector<HeadChange> Changes; ///< The last 32, oldest first.

  bool isWriter(const ProcessId &Process) const;
  /// The change that led to \p Revision, if it is among the last 32.
  const HeadChange *changeTo(uint64_t Revision) const;
  /// The next record after \p Change, whose revision is set here.
  HeadRecord with(HeadChange Change, std::string NewDigest) const;
};

std::string encodeHead(const HeadRecord &Value);
/// Throws `InvalidInput` on malformed text.
HeadRecord decodeHead(const std::string &Text);

} // namespace teaselwalk::cluster
