#include "teaselwalk/cluster/document_freshness.hpp"

#include <algorithm>

namespace teaselwalk::cluster {
namespace {

/// Upper bound on the attestations kept, those for the current and for later
/// revisions together.
constexpr size_t MaxAttestations = 16;

} // namespace

void DocumentFreshness::adopt(uint64_t NewRevision,
                              const std::vector<ProcessId> &NewWriters) {
  if (NewRevision <= Revision)
    return;
  Revision = NewRevision;
  NewestKnown = std::max(NewestKnown, NewRevision);
  Writers = NewWriters;
  for (auto It = Attestations.begin(); It != Attestations.end();)
    It = It->second.Revision < Revision ? Attestations.erase(It) : ++It;
  Confirmed.reset();
  if (NextConfirmed && NextRevision == Revision)
    Confirmed = NextConfirmed;
  if (NextConfirmed && NextRevision <= Revision)
    NextConfirmed.reset();
  confirmByAttestations();
}

void DocumentFreshness::confirm(uint64_t ConfirmedRevision, TimePoint Moment) {
  NewestKnown = std::max(NewestKnown, ConfirmedRevision);
  if (ConfirmedRevision == Revision && Revision != 0) {
    if (!Confirmed || *Confirmed < Moment)
      Confirmed = Moment;
  } else if (ConfirmedRevision > Revision &&
             (!NextConfirmed || ConfirmedRevision > NextRevision ||
              (ConfirmedRevision == NextRevision && *NextConfirmed < Moment))) {
    NextRevision = ConfirmedRevision;
    NextConfirmed = Moment;
  }
}

void DocumentFreshness::onRead(uint64_t ConfirmedRevision,
                               TimePoint BeforeRead) {
  confirm(ConfirmedRevision, BeforeRead);
}

void DocumentFreshness::onPeer(uint64_t ConfirmedRevision, Duration Age,
                               TimePoint BeforeRequest) {
  confirm(ConfirmedRevision,
          BeforeRequest - withDrift(std::max(Age, Duration(0))));
}

void DocumentFreshness::onAttestation(const protocol::Attestation &Item,
                                      TimePoint BeforeRequest) {
  bool Relevant =
      Item.Revision >= Revision && (Attestations.size() < MaxAttestations ||
                                    Attestations.count(Item.Writer) != 0);
  if (!Relevant)
    return;
  TimePoint Moment = BeforeRequest - withDrift(std::max(Item.Age, Duration(0)));
  NewestKnown = std::max(NewestKnown, Item.Revision);
  auto [It, New] =
      Attestations.emplace(Item.Writer, Attested{Item.Revision, Moment});
  Attested &Known = It->second;
  if (!New && (Item.Revision > Known.Revision ||
               (Item.Revision == Known.Revision && Moment > Known.Moment)))
    Known = {Item.Revision, Moment};
  confirmByAttestations();
}

void DocumentFreshness::confirmByAttestations() {
  if (Writers.empty())
    return;
  TimePoint Oldest = TimePoint::max();
  for (const ProcessId &Writer : Writers) {
    auto It = Attestations.find(Writer);
    if (It == Attestations.end() || It->second.Revision != Revision)
      return;
    Oldest = std::min(Oldest, It->second.Moment);
  }
  confirm(Revision, Oldest);
}

void DocumentFreshness::setCutOffService(Duration Value) {
  CutOffService = std::clamp(Value, Duration(0),
                             std::max(Duration(0), Options.MaxCutOffService));
}

std::optional<Duration> DocumentFreshness::age(TimePoint Now) const {
  if (!Confirmed)
    return std::nullopt;
  return Now - *Confirmed;
}

std::optional<TimePoint> DocumentFreshness::allowedUntil() const {
  if (!Confirmed)
    return std::nullopt;
  return *Confirmed + Options.MaxAge + CutOffService;
}

bool DocumentFreshness::allowed(Permission What, TimePoint Now) const {
  for (const PermissionRow &Row : PermissionTable)
    if (Row.Value == What && !Row.NeedsFreshDocument)
      return true;
  std::optional<TimePoint> Until = allowedUntil();
  return Until && Now <= *Until;
}

std::vector<protocol::Attestation>
DocumentFreshness::attestations(TimePoint Now) const {
  std::vector<protocol::Attestation> Result;
  for (const ProcessId &Writer : Writers) {
    auto It = Attestations.find(Writer);
    if (It != Attestations.end() && It->second.Revision == Revision)
      Result.push_back({Writer, Revision, Now - It->second.Moment});
  }
  return Result;
}

} // namespace teaselwalk::cluster
