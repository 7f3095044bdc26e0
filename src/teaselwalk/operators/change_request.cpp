#include "change_request.hpp"

namespace teaselwalk::operators {
namespace {

constexpr size_t MaxNamedPlaces = 3;

/// The places that a patch changes, such as "/teams/2/share".
std::string placesOf(const nlohmann::json &Patch) {
  std::string Out;
  size_t Named = 0;
  for (const nlohmann::json &Step : Patch) {
    if (Named++ == MaxNamedPlaces)
      return Out + " and " + std::to_string(Patch.size() - MaxNamedPlaces) +
             " more";
    std::string Path = Step.value("path", "");
    Out += (Out.empty() ? "" : ", ") + (Path.empty() ? "the whole" : Path);
  }
  return Out;
}

ChangeOutcome outcomeOf(const ProposalResult &Result, uint64_t Base) {
  ChangeOutcome Out;
  Out.Revision = Base;
  switch (Result.State) {
  case ProposalState::Accepted:
    Out.State = ChangeState::Accepted;
    Out.Revision = Base + 1;
    break;
  case ProposalState::Conflict:
    Out.State = ChangeState::Conflict;
    Out.Revision = Result.Newer.Revision;
    Out.Changes = changesSince(Result.Newer, Base);
    break;
  case ProposalState::Unknown:
    Out.State = ChangeState::Unknown;
    break;
  case ProposalState::Unavailable:
    Out.State = ChangeState::StoreUnavailable;
    break;
  }
  return Out;
}

} // namespace

std::vector<config::Difference> changesSince(const config::HeadRecord &Head,
                                             uint64_t Base) {
  std::vector<config::Difference> Out;
  if (!Head.Changes.empty() && Head.Changes.front().Revision > Base + 1)
    Out.push_back({"revisions " + std::to_string(Base + 1) + " to " +
                       std::to_string(Head.Changes.front().Revision - 1) +
                       " are no longer listed",
                   false, ""});
  for (const config::Change &Row : Head.Changes)
    if (Row.Revision > Base)
      Out.push_back({"revision " + std::to_string(Row.Revision) + " by " +
                         Row.Who + ": " + Row.Why + " (" + placesOf(Row.Patch) +
                         ")",
                     false, ""});
  return Out;
}

ChangeOutcome draft(const CurrentConfig &Current, const ChangeRequest &Wanted,
                    const config::RunningUsage &Running) {
  ChangeOutcome Out;
  Out.Revision = Current.Snapshot.Revision;
  if (Wanted.Base && *Wanted.Base != Current.Snapshot.Revision) {
    Out.State = ChangeState::Conflict;
    Out.Changes = changesSince(Current.Head, *Wanted.Base);
    return Out;
  }
  Out.Changes =
      config::describeChanges(Current.Snapshot.Content, Wanted.Wanted, Running);
  Out.Confirmation = config::confirmationFor(Out.Changes);
  // The order of rows is part of the document but not of the differences.
  bool Same = serialise(Current.Snapshot.Content) == serialise(Wanted.Wanted);
  Out.State = Same ? ChangeState::Unchanged : ChangeState::NeedsConfirm;
  return Out;
}

void apply(ConfigBackend &Backend, const CurrentConfig &Current,
           const ChangeRequest &Wanted, int64_t NowMs,
           const ChangeCallback &Done) {
  ChangeOutcome Known = draft(Current, Wanted, Backend.running());
  bool Confirmed =
      Known.Confirmation.empty() || Known.Confirmation == Wanted.Confirm;
  if (Known.State != ChangeState::NeedsConfirm || !Confirmed)
    return Done(Known);
  uint64_t Base = Current.Snapshot.Revision;
  config::NextHead Next =
      config::nextHead(Current.Head, Current.Snapshot, Wanted.Wanted,
                       {Wanted.Who, NowMs, Wanted.Why});
  Backend.propose(Base, Next, [Done, Base](const ProposalResult &Result) {
    Done(outcomeOf(Result, Base));
  });
}

} // namespace teaselwalk::operators
