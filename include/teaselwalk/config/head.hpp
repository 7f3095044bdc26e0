#pragma once

#include "teaselwalk/config/document.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// The value of store key `config/head`, from which a process follows the
/// document revision by revision.
namespace teaselwalk::config {

constexpr const char *HeadKey = "config/head";

/// Store key of the whole copy of a revision.
std::string documentKey(uint64_t Revision);

/// One of the processes that may change the head.
struct Writer {
  ProcessId Process;
  protocol::Address At; ///< Of its peer server.

  friend bool operator==(const Writer &A, const Writer &B) {
    return A.Process == B.Process && A.At == B.At;
  }
};

/// The step from revision `Revision - 1` to `Revision`.
struct Change {
  uint64_t Revision = 0;
  nlohmann::json Patch; ///< JSON patch (RFC 6902).
  std::string Who;
  int64_t WhenMs = 0; ///< Wall clock, milliseconds since 1970; for people.
  std::string Why;
};

struct HeadRecord {
  uint64_t Revision = 0;
  std::vector<Writer> Writers;
  std::string Digest; ///< `attemptsHash` the document of `Revision`.
  /// The newest revision of which a whole copy exists; 0 is the empty object,
  /// which needs no copy. All changes after it are in `Changes`.
  uint64_t Copy = 0;
  std::vector<Change> Changes; ///< Oldest first, without gaps, up to Revision.
};

struct HeadBounds {
  size_t MaxBytes = 1000000; ///< The store takes values of up to 1 MB.
  size_t MaxChanges = 32;
  uint64_t CopyEvery = 16; ///< Revisions between whole copies.
  size_t MaxWriters = 3;
  size_t MaxWhoBytes = 64;
  size_t MaxWhyBytes = 500;
};

/// The text in the store, and back. `parseHead` throws `Error` if the text is
/// not a whole and consistent head.
std::string serialise(const HeadRecord &Head);
HeadRecord parseHead(const std::string &Text, const HeadBounds &Bounds = {});

/// Who makes a change, when and why.
struct ChangeNote {
  std::string Who;
  int64_t WhenMs = 0;
  std::string Why;
};

/// A document and its revision; revision 0 is the empty store.
struct Snapshot {
  uint64_t Revision = 0;
  Document Content;
};

/// A head to write, and what must be in the store before it.
struct NextHead {
  HeadRecord Head;
  /// If true, `documentKey(Base.Revision)` must be created with the text of
  /// `Base.Content` before the head is written. A conflict means that it is
  /// there already: the content of a revision never changes.
  bool CopyBefore = false;
  /// If not 0, `documentKey` of this revision may be removed once the head is
  /// written. A reader that misses it reads the head again.
  uint64_t ObsoleteCopy = 0;
};

/// The head that makes \p Document the revision after \p Base, the document of
/// \p Current. Throws `InvalidInput` for a note out of bounds, and `Error` if
/// \p Base is not what \p Current describes.
NextHead nextHead(const HeadRecord &Current, const Snapshot &Base,
                  const Document &Document, const ChangeNote &Note,
                  const HeadBounds &Bounds = {});

enum class AdvanceState {
  Same,      ///< The snapshot is at the revision of the head.
  Older,     ///< The head is older than the snapshot and is ignored.
  Advanced,  ///< The changes were applied and the digest matches.
  NeedsCopy, ///< Too far behind: read `documentKey(Head.Copy)` first.
};

/// Brings \p Base to the revision of \p Head, never to an older one. On
/// `Error` (a patch does not fit, the digest differs) or any other state than
/// Advanced, \p Base is unchanged.
AdvanceState advance(Snapshot &Base, const HeadRecord &Head,
                     const DocumentBounds &Bounds = {});

/// The snapshot in the whole copy \p Text of revision \p Revision.
Snapshot snapshotOf(uint64_t Revision, const std::string &Text,
                    const DocumentBounds &Bounds = {});

/// The document before the first revision: the empty object.
nlohmann::json canonicalOf(const Snapshot &Value);

} // namespace teaselwalk::config
