#include "teaselwalk/engine/document_follower.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/engine/durable_write.hpp"

#include <algorithm>
#include <utility>

namespace teaselwalk::engine {

using protocol::StoreReply;
using protocol::StoreStatus;

DocumentFollower::DocumentFollower(const EngineOptions &Options,
                                   CommandDispatcher &Commands)
    : Options(Options), Commands(Commands), Freshness(Options.Freshness) {}

void DocumentFollower::tick(TimePoint Now) {
  // If a peer has a newer revision, read sooner than usual, but not at every
  // tick, since the store may be unreachable.
  bool IsBehind = Freshness.newestKnown() > Current.Revision;
  TimePoint Due = IsBehind ? LastRead + Options.CatchUpReadInterval : NextRead;
  if (!IsReading && Now >= std::min(Due, NextRead))
    readHead(Now);
}

void DocumentFollower::readHead(TimePoint Now) {
  IsReading = true;
  LastRead = Now;
  NextRead = Now + Options.HeadReadInterval;
  protocol::StoreRequest Read;
  Read.Key = config::HeadKey;
  Read.Unless = HeadVersion;
  Commands.callStore(std::move(Read), Options.StoreTimeout,
                     [this, Now](const StoreReply &Reply, TimePoint Later) {
                       onHead(Reply, Now, Later);
                     });
}

void DocumentFollower::onHead(const StoreReply &Reply, TimePoint SentAt,
                              TimePoint Now) {
  IsReading = false;
  if (Reply.Status == StoreStatus::Unchanged) {
    Freshness.onRead(Head.Revision, SentAt);
    // An earlier read of the full document failed; try again.
    if (Head.Revision > Current.Revision)
      followHead(Head, Now);
    return;
  }
  if (Reply.Status != StoreStatus::Ok) {
    bool IsDown = Reply.Status != StoreStatus::NotFound;
    if (IsDown)
      Commands.emit(RecordEvent{
          EventName::StoreUnavailable,
          {{"status",
            std::string(nameOf(protocol::StoreStatusNames, Reply.Status))}}});
    return;
  }
  try {
    config::HeadRecord Next = config::parseHead(Reply.Value);
    if (Next.Revision < Current.Revision)
      return;
    HeadVersion = Reply.Version;
    Freshness.onRead(Next.Revision, SentAt);
    followHead(Next, Now);
  } catch (const Error &Failure) {
    Commands.emit(
        RecordEvent{EventName::DocumentStale, {{"why", Failure.what()}}});
  }
}

void DocumentFollower::followHead(const config::HeadRecord &Next,
                                  TimePoint Now) {
  Head = Next;
  switch (config::advance(Current, Head)) {
  case config::AdvanceState::Advanced:
    return onNewDocument();
  case config::AdvanceState::NeedsCopy:
    return readCopy(Head.Copy, Now);
  case config::AdvanceState::Same:
  case config::AdvanceState::Older:
    return;
  }
}

void DocumentFollower::readCopy(uint64_t Revision, TimePoint Now) {
  IsReading = true;
  NextRead = Now + Options.HeadReadInterval;
  protocol::StoreRequest Read;
  Read.Key = config::documentKey(Revision);
  Commands.callStore(std::move(Read), Options.StoreTimeout,
                     [this, Revision](const StoreReply &Reply, TimePoint) {
                       IsReading = false;
                       if (Reply.Status != StoreStatus::Ok)
                         return;
                       try {
                         config::Snapshot Copy =
                             config::snapshotOf(Revision, Reply.Value);
                         config::advance(Copy, Head);
                         // The head may have moved on while the copy was read.
                         if (Copy.Revision != Head.Revision)
                           return;
                         Current = std::move(Copy);
                         onNewDocument();
                       } catch (const Error &Failure) {
                         Commands.emit(RecordEvent{EventName::DocumentStale,
                                                   {{"why", Failure.what()}}});
                       }
                     });
}

void DocumentFollower::onNewDocument() {
  std::vector<ProcessId> Writers;
  for (const config::Writer &Row : Head.Writers)
    Writers.push_back(Row.Process);
  Freshness.adopt(Current.Revision, Writers);
  if (const auto *Centre =
          config::findDataCentre(Current.Content, Options.DataCentre))
    Freshness.setCutOffService(Centre->CutOffService);
  Commands.emit(RecordEvent{EventName::DocumentApplied,
                            {{"revision", std::to_string(Current.Revision)}}});
}

void DocumentFollower::onPeer(uint64_t Revision, Duration Age,
                              TimePoint BeforeRequest) {
  Freshness.onPeer(Revision, Age, BeforeRequest);
}

void DocumentFollower::propose(const ProposalReceived &Change, TimePoint Now) {
  bool IsCurrent = Change.BaseRevision == Current.Revision &&
                   Head.Revision == Current.Revision &&
                   Change.Next.Head.Revision == Current.Revision + 1;
  if (!IsCurrent) {
    NextRead = Now;
    return answer(Change.From, ProposalOutcome::Conflict, Current.Revision);
  }
  if (!Change.Next.CopyBefore)
    return writeHead(Change.Next, Change.From);
  writeDurably(Commands, config::documentKey(Current.Revision),
               config::serialise(Current.Content), 0, Options.StoreTimeout,
               [this, Next = Change.Next,
                From = Change.From](const WriteResult &Result, TimePoint) {
                 bool Present = Result.Outcome == WriteOutcome::Applied ||
                                Result.Outcome == WriteOutcome::Conflict;
                 if (!Present)
                   return answer(From, ProposalOutcome::StoreUnavailable,
                                 Current.Revision);
                 writeHead(Next, From);
               });
}

void DocumentFollower::writeHead(const config::NextHead &Next,
                                 RequestToken From) {
  writeDurably(Commands, config::HeadKey, config::serialise(Next.Head),
               HeadVersion, Options.StoreTimeout,
               [this, From, Revision = Next.Head.Revision](
                   const WriteResult &Result, TimePoint Now) {
                 static constexpr std::array<ProposalOutcome, 4> Outcomes = {
                     ProposalOutcome::Accepted, ProposalOutcome::Conflict,
                     ProposalOutcome::StoreUnavailable,
                     ProposalOutcome::Unknown};
                 NextRead = Now;
                 bool IsApplied = Result.Outcome == WriteOutcome::Applied;
                 // `Current` may have advanced while the write was under way.
                 if (IsApplied)
                   Freshness.onPeer(Revision, Duration(0), Now);
                 answer(From, Outcomes[static_cast<size_t>(Result.Outcome)],
                        IsApplied ? Revision : Current.Revision);
               });
}

void DocumentFollower::answer(RequestToken To, ProposalOutcome Outcome,
                              uint64_t Revision) {
  Commands.emit(AnswerProposal{To, Outcome, Revision});
}

} // namespace teaselwalk::engine
