#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/cluster/head_record.hpp"
#include "teaselwalk/protocol/peer.hpp"
#include "teaselwalk/protocol/store.hpp"

#include <array>
#include <optional>

namespace teaselwalk::cluster {

enum class HeadWrite {
  None,       ///< No write was started.
  InFlight,   ///< The outcome is not known yet; nothing is attested.
  Applied,    ///< The change is in the store.
  NotApplied, ///< The change is not in the store and never will be.
  Unresolved, ///< No longer in flight, but too old to tell whether it applied.
};

constexpr std::array<EnumName<HeadWrite>, 5> HeadWriteNames = {{
    {HeadWrite::None, "none"},
    {HeadWrite::InFlight, "in_flight"},
    {HeadWrite::Applied, "applied"},
    {HeadWrite::NotApplied, "not_applied"},
    {HeadWrite::Unresolved, "unresolved"},
}};

/// Writes of `config/head` by this process, and its attestations.
///
/// At most one write is in flight. After a lost answer the key is read back. If
/// it still has the expected version, the lost write may take effect later; a
/// read alone therefore settles nothing. The same compare-and-swap is then
/// repeated until the version has changed: of the repeated writes at most one
/// takes effect, and once the version is another one, none can any more.
class WriterRole {
public:
  explicit WriterRole(ProcessId Self) : Self(std::move(Self)) {}

  /// A read of the head, or a reply to a write by another path. Lower versions
  /// than known are ignored.
  void onHead(const HeadRecord &Head, protocol::StoreVersion Version);
  const HeadRecord &head() const { return Head; }
  bool isWriter() const { return Head.isWriter(Self); }

  /// What this process can attest now; nothing if it is not a writer, or has a
  /// write in flight. Must be evaluated when the message is made.
  std::optional<protocol::Attestation> attestation() const;

  /// Starts a write of \p Change on the known head. Nothing if this process is
  /// not a writer or has a write in flight. The request must be sent after this
  /// call; from now on nothing is attested.
  std::optional<protocol::StoreRequest> begin(HeadChange Change,
                                              std::string NewDigest);
  /// Starts a write that adds \p Process to the writers, or removes it. Nothing
  /// if that changes nothing, if there are three, or if it would remove the
  /// last one.
  std::optional<protocol::StoreRequest> beginAdd(const ProcessId &Process,
                                                 std::string WriteId);
  std::optional<protocol::StoreRequest> beginRemove(const ProcessId &Process,
                                                    std::string WriteId);
  /// Creates the head when the store has none, with this process as the only
  /// writer.
  std::optional<protocol::StoreRequest> beginCreate(HeadChange Change,
                                                    std::string Digest);

  /// The reply to the last request. Returns the next request to send, if the
  /// outcome is still open. A request that failed is returned again; the caller
  /// chooses the pause before it.
  std::optional<protocol::StoreRequest>
  onReply(const protocol::StoreReply &Reply);

  HeadWrite outcome() const { return Outcome; }
  /// The head that the write in flight would install.
  const HeadRecord &proposed() const { return Proposed; }

private:
  enum class Step { Write, Read };

  std::optional<protocol::StoreRequest> start(HeadRecord Next,
                                              protocol::StoreVersion Expected);
  std::optional<protocol::StoreRequest>
  changeWriters(std::vector<ProcessId> Writers, std::string WriteId);
  protocol::StoreRequest request() const;
  void settle(const HeadRecord &Read);

  ProcessId Self;
  HeadRecord Head;
  protocol::StoreVersion Version = 0;
  HeadRecord Proposed;
  protocol::StoreVersion Expected = 0;
  HeadWrite Outcome = HeadWrite::None;
  Step Next = Step::Write;
  bool MayHaveLanded = false; ///< A write of this change had no answer.
};

} // namespace teaselwalk::cluster
