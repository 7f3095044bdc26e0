#include "teaselwalk/cell/fenced_writer.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/record_fields.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace teaselwalk::cell {
std::string EpochRecord::encode() const {
  return nlohmann::json{
      {"process", Process}, {"epoch", Epoch}, {"sequence", Sequence}}
      .dump();
}

EpochRecord EpochRecord::decode(const std::string &Text) {
  try {
    nlohmann::json Document = nlohmann::json::parse(Text);
    return {Document.at("process"),
            integerField(Document, "epoch", 1, MaxEpoch),
            integerField(Document, "sequence", 0, MaxRecordNumber)};
  } catch (const nlohmann::json::exception &Failure) {
    throw Error(std::string("cannot read epoch record: ") + Failure.what());
  }
}

FencedWriter::FencedWriter(Executor &Clock, Store &Target, Recorder &Log,
                           EpochRecord Held, int64_t Revision)
    : Clock(Clock), Target(Target), Log(Log), Held(std::move(Held)),
      Revision(Revision) {}

void FencedWriter::commit(StoreTransaction Change,
                          std::function<void(WriteOutcome)> Call) {
  IsBusy = true;
  StartedAt = Clock.now();
  Attempts = 0;
  ++Held.Sequence;
  Current = std::move(Change);
  Current.Puts.push_back({EpochKey, Held.encode(), 0});
  Done = std::move(Call);
  attempt();
}

EventFields FencedWriter::describe() const {
  size_t Bytes = 0;
  for (const StorePut &Put : Current.Puts)
    Bytes += Put.Value.size();
  return {{"sequence", std::to_string(Held.Sequence)},
          {"attempts", std::to_string(Attempts)},
          {"puts", std::to_string(Current.Puts.size())},
          {"removes", std::to_string(Current.Removes.size())},
          {"bytes", std::to_string(Bytes)}};
}

void FencedWriter::attempt() {
  Current.Conditions = {{EpochKey, Revision}};
  SentAt = Clock.now();
  Target.commit(
      Current, Timer.timeout(Attempts++),
      [this, Token = std::weak_ptr<char>(Alive)](const CommitResult &R) {
        if (Token.expired())
          return;
        if (R.Outcome != StoreOutcome::Unknown)
          Timer.recordAnswer(Clock.now() - SentAt);
        onResult(R);
      });
}

void FencedWriter::onResult(const CommitResult &Result) {
  if (Result.Outcome == StoreOutcome::Done) {
    Revision = Result.Revision;
    return finish(WriteOutcome::Written);
  }
  // What the store takes for invalid stays so, however often it is sent.
  if (Result.Outcome == StoreOutcome::Invalid)
    return finish(WriteOutcome::Rejected);
  if (Result.Outcome != StoreOutcome::Conflict)
    return retry(Result.Outcome);
  for (const StoreItem &Item : Result.Items) {
    if (Item.Key != EpochKey || Item.Revision == 0)
      continue;
    EpochRecord Found;
    try {
      Found = EpochRecord::decode(Item.Value);
    } catch (const Error &Failure) {
      Log.event(EventName::RecordMalformed,
                {{"key", Item.Key}, {"reason", Failure.what()}});
      return finish(WriteOutcome::OwnershipLost);
    }
    if (Found.Process != Held.Process || Found.Epoch != Held.Epoch)
      return finish(WriteOutcome::OwnershipLost);
    Revision = Item.Revision;
    // An earlier attempt, whose answer was lost, has taken effect.
    if (Found.Sequence == Held.Sequence)
      return finish(WriteOutcome::Written);
    return attempt();
  }
  retry(Result.Outcome);
}

void FencedWriter::retry(StoreOutcome Outcome) {
  Log.count("journal_retries");
  Log.event(EventName::StoreCallFailed,
            {{"call", "commit"},
             {"sequence", std::to_string(Held.Sequence)},
             {"outcome", std::string(nameOf(StoreOutcomeNames, Outcome))}});
  Clock.after(AdaptiveTimeout::pauseAfter(Clock.now() - SentAt),
              [this, Token = std::weak_ptr<char>(Alive)] {
                if (!Token.expired())
                  attempt();
              });
}

void FencedWriter::finish(WriteOutcome Outcome) {
  IsBusy = false;
  if (Outcome == WriteOutcome::Written)
    ConfirmedAt = SentAt;
  Log.time("journal_commit", Clock.now() - StartedAt);
  if (auto Call = std::exchange(Done, nullptr))
    Call(Outcome);
}

} // namespace teaselwalk::cell
