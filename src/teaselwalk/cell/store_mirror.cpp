#include "teaselwalk/cell/store_mirror.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace teaselwalk::cell {

StoreMirror::StoreMirror(Executor &Clock, Store &Storage, Recorder &Log,
                         StoreMirrorOptions Options, ItemCallback OnChange)
    : Clock(Clock), Storage(Storage), Log(Log), Options(std::move(Options)),
      OnChange(std::move(OnChange)) {}

void StoreMirror::start(std::function<void()> Done) {
  OnSynced = std::move(Done);
  list();
}

void StoreMirror::schedule(Duration Delay, void (StoreMirror::*Method)()) {
  Clock.after(Delay, [this, Method, Token = std::weak_ptr<char>(Alive)] {
    if (!Token.expired())
      (this->*Method)();
  });
}

void StoreMirror::list() {
  TimePoint SentAt = Clock.now();
  Storage.list(
      Options.Prefix, Options.PageTimeout,
      [this, SentAt, Token = std::weak_ptr<char>(Alive)](const StoreItems &R) {
        if (!Token.expired())
          onList(R, SentAt);
      });
}

void StoreMirror::onList(const StoreItems &Result, TimePoint SentAt) {
  if (Result.Outcome != StoreOutcome::Done) {
    noteFailure("list", Result.Outcome);
    return schedule(Options.RetryPause, &StoreMirror::list);
  }
  ListedAt = SentAt;
  AtRevision = Result.AtRevision;
  removeMissing(Result);
  for (const StoreItem &Item : Result.Items)
    apply(Item);
  noteSuccess(SentAt);
  if (auto Done = std::exchange(OnSynced, nullptr))
    Done();
  if (Options.IsWatched)
    return watch();
  schedule(Options.RelistInterval, &StoreMirror::list);
}

void StoreMirror::removeMissing(const StoreItems &Listed) {
  std::unordered_set<std::string> Present;
  for (const StoreItem &Item : Listed.Items)
    Present.insert(Item.Key);
  std::vector<std::string> Missing;
  for (const auto &[Key, Revision] : Revisions)
    // The listing is no snapshot: an item may have been written after its page
    // was read. Items that are newer than the first page are kept.
    if (Present.count(Key) == 0 && Revision <= Listed.AtRevision)
      Missing.push_back(Key);
  for (const std::string &Key : Missing)
    apply({Key, "", Listed.AtRevision, true});
}

void StoreMirror::watch() {
  TimePoint SentAt = Clock.now();
  if (SentAt - ListedAt >= Options.RelistInterval)
    return list();
  Storage.watch(Options.Prefix, AtRevision, Options.WatchWait,
                [this, SentAt,
                 Token = std::weak_ptr<char>(Alive)](const StoreItems &Result) {
                  if (!Token.expired())
                    onEvents(Result, SentAt);
                });
}

void StoreMirror::onEvents(const StoreItems &Result, TimePoint SentAt) {
  if (Result.Outcome == StoreOutcome::Compacted)
    return list();
  if (Result.Outcome != StoreOutcome::Done) {
    noteFailure("watch", Result.Outcome);
    return schedule(Options.RetryPause, &StoreMirror::watch);
  }
  for (const StoreItem &Item : Result.Items)
    apply(Item);
  AtRevision = std::max(AtRevision, Result.AtRevision);
  noteSuccess(SentAt);
  if (Options.WatchPause.count() > 0)
    return schedule(Options.WatchPause, &StoreMirror::watch);
  watch();
}

void StoreMirror::apply(const StoreItem &Item) {
  auto Known = Revisions.find(Item.Key);
  if (Item.Deleted) {
    if (Known == Revisions.end() || Known->second > Item.Revision)
      return;
    Revisions.erase(Known);
    return OnChange(Item);
  }
  if (Known != Revisions.end() && Known->second >= Item.Revision)
    return;
  Revisions[Item.Key] = Item.Revision;
  OnChange(Item);
}

void StoreMirror::noteSuccess(TimePoint SentAt) {
  ConfirmedAt = SentAt;
  AnsweredAt = Clock.now();
  if (!std::exchange(IsFailing, false))
    return;
  Log.event(EventName::StoreAvailable, {{"prefix", Options.Prefix}});
}

void StoreMirror::noteFailure(const char *Call, StoreOutcome Outcome) {
  Log.count("store_reads_failed");
  if (std::exchange(IsFailing, true))
    return;
  Log.event(EventName::StoreUnavailable,
            {{"prefix", Options.Prefix},
             {"call", Call},
             {"outcome", std::string(nameOf(StoreOutcomeNames, Outcome))}});
}

} // namespace teaselwalk::cell
