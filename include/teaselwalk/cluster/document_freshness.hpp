#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/protocol/peer.hpp"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace teaselwalk::cluster {

/// What depends on the age of the document.
enum class Permission {
  AcceptWithKey, ///< Quick calls and job submissions with a key.
  AcceptOpen,    ///< Work of queues open to all.
  StartTask,
  ContinueTask, ///< Running tasks, results, status, cancel.
};

/// One row of the table in section 3.5.
struct PermissionRow {
  Permission Value;
  std::string_view Name;
  bool NeedsFreshDocument; ///< Ends when the document is too old.
};

constexpr std::array<PermissionRow, 4> PermissionTable = {{
    {Permission::AcceptWithKey, "accept_with_key", true},
    {Permission::AcceptOpen, "accept_open", true},
    {Permission::StartTask, "start_task", true},
    {Permission::ContinueTask, "continue_task", false},
}};

struct FreshnessOptions {
  Duration MaxAge{3000};
  Duration MaxCutOffService{3600000}; ///< Bound of `cut_off_service_s`.
};

/// How old the document of this process may be.
///
/// A confirmation is the statement "revision r was the newest at moment m". It
/// comes from a read of the store (m is the time before the read), from a peer,
/// or from a complete set of attestations.
///
/// Ages from other processes are accepted only in answers to a request of this
/// process, and count from before that request was sent. A pushed message may
/// have been delayed without bound, and its age would then be too low. Each age
/// received is raised by the clock drift, so that ages along a relay path add
/// up to no less than the true age.
///
/// Why a complete set of attestations proves that r is the newest revision:
/// only the writers named in revision r can write revision r+1, since a write
/// is a compare-and-swap on the version of r, and each revision names one set
/// of writers. A writer w attests r at moment a(w) only if it has no write in
/// flight, which includes a write whose answer was lost and is not yet
/// resolved. Suppose w wrote r+1, taking effect at moment T. From before it
/// sent the write until it knew the outcome it attested nothing, and afterwards
/// it knows r+1 and attests r no more. So a(w) < T. Hence if all writers of r
/// attested r, then r was the newest revision at the earliest of the moments
/// a(w), which is the moment m of the confirmation. A paused writer sends
/// nothing new, and what it sent before keeps its age. A writer that was
/// removed while its write was in flight cannot succeed: the removal changed
/// the version of the key.
class DocumentFreshness {
public:
  explicit DocumentFreshness(FreshnessOptions Options = {})
      : Options(Options) {}

  /// The document of this process now has \p Revision with these writers.
  /// A revision that is not higher than the present one is ignored. Adopting
  /// confirms nothing; an earlier confirmation of \p Revision counts.
  void adopt(uint64_t Revision, const std::vector<ProcessId> &Writers);

  /// A store read of `config/head`, sent after \p BeforeRead, returned (or was
  /// "unchanged" at) \p Revision.
  void onRead(uint64_t Revision, TimePoint BeforeRead);
  /// A peer, asked after \p BeforeRequest, answered that its confirmation of
  /// \p Revision had age \p Age.
  void onPeer(uint64_t Revision, Duration Age, TimePoint BeforeRequest);
  /// A peer or writer, asked after \p BeforeRequest, answered with \p Item.
  void onAttestation(const protocol::Attestation &Item,
                     TimePoint BeforeRequest);
  /// Operators' extension for the own data centre; negative values and values
  /// above an hour are cut to the bounds.
  void setCutOffService(Duration Value);

  uint64_t revision() const { return Revision; }
  /// The highest revision heard of; a higher one than `revision()` has to be
  /// fetched.
  uint64_t newestHeard() const { return NewestHeard; }
  /// Age of the present document; nothing without a confirmation.
  std::optional<Duration> age(TimePoint Now) const;
  bool allowed(Permission What, TimePoint Now) const;
  /// The moment at which `StartTask` ends without a further confirmation.
  std::optional<TimePoint> allowedUntil() const;
  /// With `cut_off_service_s`: how long after its acceptance a change may still
  /// be without effect here.
  Duration latestEffect() const { return Options.MaxAge + CutOffService; }
  /// Attestations known for the present revision, with ages at \p Now, for
  /// answers to peers.
  std::vector<protocol::Attestation> attestations(TimePoint Now) const;

private:
  void confirm(uint64_t Revision, TimePoint Moment);
  void proveByAttestations();

  FreshnessOptions Options;
  Duration CutOffService{0};
  uint64_t Revision = 0;
  uint64_t NewestHeard = 0;
  std::vector<ProcessId> Writers;
  std::optional<TimePoint> Confirmed;
  /// The latest confirmation of a revision that is not yet adopted.
  uint64_t AheadRevision = 0;
  std::optional<TimePoint> Ahead;
  struct Attested {
    uint64_t Revision = 0;
    TimePoint Moment;
  };
  std::map<ProcessId, Attested> Attestations;
};

} // namespace teaselwalk::cluster
