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

/// Actions that this process may be allowed depending on the age of its copy of
/// the configuration document.
enum class Permission {
  AcceptWithKey, ///< Accept quick calls and jobs that carry a team key.
  AcceptOpen,    ///< Accept work for queues that need no key.
  StartTask,     ///< Start a task on an endpoint.
  ContinueTask,  ///< Keep tasks running; serve results, status and cancels.
};

struct PermissionRow {
  Permission Value;
  std::string_view Name;
  /// The action is refused while the document is too old or unconfirmed.
  bool NeedsFreshDocument;
};

constexpr std::array<PermissionRow, 4> PermissionTable = {{
    {Permission::AcceptWithKey, "accept_with_key", true},
    {Permission::AcceptOpen, "accept_open", true},
    {Permission::StartTask, "start_task", true},
    {Permission::ContinueTask, "continue_task", false},
}};

struct FreshnessOptions {
  /// A document whose last confirmation is older counts as stale.
  Duration MaxAge{3000};
  Duration MaxCutOffService{3600000}; ///< Upper bound of `cut_off_service_s`.
};

/// Bounds the age of this process's copy of the configuration document, and
/// decides what the process may do at that age.
///
/// A confirmation is the statement "revision r was the newest at time m". It
/// comes from a read of the store (m is the time before the read), from a peer
/// that has a confirmation, or from attestations of all writers of r.
///
/// Ages from other processes are accepted only in answers to a request of this
/// process, and are counted back from before that request was sent. A message
/// that was not requested may have been delayed without bound, so the age in it
/// may be too low. Each received age is increased by the clock drift, so that
/// ages along a relay path add up to no less than the true age.
///
/// Why attestations of all writers prove that r was the newest revision: a
/// write of revision r+1 is a compare-and-swap on the version of r, and each
/// revision names one set of writers, so only the writers named in r can write
/// r+1. A writer w attests r at time a(w) only while it has no write in flight;
/// a write whose answer was lost counts as in flight until its outcome is
/// known. Suppose that w wrote r+1 and that the write took effect at time T.
/// From before it sent the write until it knew the outcome, w attested nothing;
/// afterwards it knows r+1 and no longer attests r. So a(w) < T. Hence, if all
/// writers of r attested r, then r was the newest revision at the earliest of
/// the times a(w), and this is the time m of the confirmation. A paused writer
/// sends no new attestations, and the age of those that it sent keeps growing.
/// A writer that was removed while its write was in flight cannot succeed,
/// because the removal changed the version of the key.
class DocumentFreshness {
public:
  explicit DocumentFreshness(FreshnessOptions Options = {})
      : Options(Options) {}

  /// This process now uses document \p Revision, which names \p Writers.
  /// Ignored unless \p Revision is higher than the current one. Adopting is no
  /// confirmation; a confirmation of \p Revision that came earlier counts.
  void adopt(uint64_t Revision, const std::vector<ProcessId> &Writers);

  /// A read of `config/head`, sent to the store not before \p BeforeRead,
  /// returned \p Revision or answered that it is unchanged.
  void onRead(uint64_t Revision, TimePoint BeforeRead);
  /// A peer answered a request, sent not before \p BeforeRequest, that its
  /// confirmation of \p Revision has the age \p Age.
  void onPeer(uint64_t Revision, Duration Age, TimePoint BeforeRequest);
  /// A writer, or a peer that relays its attestation, answered a request, sent
  /// not before \p BeforeRequest, with \p Item.
  void onAttestation(const protocol::Attestation &Item,
                     TimePoint BeforeRequest);
  /// Sets the document's `cut_off_service_s` of the own data centre: for how
  /// long beyond `MaxAge` work is still accepted and started without a
  /// confirmation. Clamped to 0 to `MaxCutOffService`.
  void setCutOffService(Duration Value);

  uint64_t revision() const { return Revision; }
  /// The highest revision known to exist. If it is higher than `revision()`,
  /// the caller has to fetch it.
  uint64_t newestKnown() const { return NewestKnown; }
  /// Time since the last confirmation of the current revision; nothing if it
  /// was never confirmed.
  std::optional<Duration> age(TimePoint Now) const;
  bool allowed(Permission What, TimePoint Now) const;
  /// The last moment at which actions that need a fresh document are allowed
  /// without a further confirmation; nothing if there was none.
  std::optional<TimePoint> allowedUntil() const;
  /// Upper bound on the time between the acceptance of a document change and
  /// its effect on this process, including `cut_off_service_s`.
  Duration latestEffect() const { return Options.MaxAge + CutOffService; }
  /// Attestations of the current revision with their ages at \p Now, to be
  /// relayed in answers to peers.
  std::vector<protocol::Attestation> attestations(TimePoint Now) const;

private:
  void confirm(uint64_t Revision, TimePoint Moment);
  void confirmByAttestations();

  FreshnessOptions Options;
  Duration CutOffService{0};
  uint64_t Revision = 0;
  uint64_t NewestKnown = 0;
  std::vector<ProcessId> Writers;
  std::optional<TimePoint> Confirmed;
  /// Highest revision that was confirmed but is not adopted yet, and the time
  /// of its latest confirmation.
  uint64_t NextRevision = 0;
  std::optional<TimePoint> NextConfirmed;
  struct Attested {
    uint64_t Revision = 0;
    TimePoint Moment;
  };
  std::map<ProcessId, Attested> Attestations;
};

} // namespace teaselwalk::cluster
