#include "teaselwalk/cell/store_mirror.hpp"

#include "teaselwalk/cell/sliced_work.hpp"

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
  Clock.after(Delay, Alive.guard([this, Method] { (this->*Method)(); }));
}

void StoreMirror::list() {
  Storage.list(Options.Prefix, Options.PageTimeout,
               Alive.guard([this, SentAt = Clock.now()](StoreItems Result) {
                 onList(std::move(Result), SentAt);
               }));
}

void StoreMirror::onList(StoreItems Result, TimePoint SentAt) {
  if (Result.Outcome != StoreOutcome::Done) {
    noteFailure("list", Result.Outcome);
    return schedule(Options.RetryPause, &StoreMirror::list);
  }
  ListedAt = SentAt;
  AtRevision = Result.AtRevision;
  std::vector<StoreItem> Changes = missingIn(Result);
  for (StoreItem &Item : Result.Items)
    if (isChange(Item))
      Changes.push_back(std::move(Item));
  applyAll(std::move(Changes), [this, SentAt] { finishList(SentAt); });
}

void StoreMirror::finishList(TimePoint SentAt) {
  noteSuccess(SentAt);
  if (auto Done = std::exchange(OnSynced, nullptr))
    isolateFaults(Options.Prefix, AtRevision, Done);
  if (Options.IsWatched)
    return watch();
  schedule(Options.RelistInterval, &StoreMirror::list);
}

std::vector<StoreItem> StoreMirror::missingIn(const StoreItems &Listed) const {
  std::unordered_set<std::string> Present;
  for (const StoreItem &Item : Listed.Items)
    Present.insert(Item.Key);
  std::vector<StoreItem> Missing;
  for (const auto &[Key, Revision] : Revisions)
    // The listing is no snapshot: an item may have been written after its page
    // was read. Items that are newer than the first page are kept.
    if (Present.count(Key) == 0 && Revision <= Listed.AtRevision)
      Missing.push_back({Key, "", Listed.AtRevision, true});
  return Missing;
}

void StoreMirror::watch() {
  TimePoint SentAt = Clock.now();
  if (SentAt - ListedAt >= Options.RelistInterval)
    return list();
  Storage.watch(Options.Prefix, AtRevision, Options.WatchWait,
                Alive.guard([this, SentAt](StoreItems Result) {
                  onEvents(std::move(Result), SentAt);
                }));
}

void StoreMirror::onEvents(StoreItems Result, TimePoint SentAt) {
  if (Result.Outcome == StoreOutcome::Compacted)
    return list();
  if (Result.Outcome != StoreOutcome::Done) {
    noteFailure("watch", Result.Outcome);
    return schedule(Options.RetryPause, &StoreMirror::watch);
  }
  applyAll(std::move(Result.Items),
           [this, SentAt, Revision = Result.AtRevision] {
             AtRevision = std::max(AtRevision, Revision);
             noteSuccess(SentAt);
             if (Options.WatchPause.count() > 0)
               return schedule(Options.WatchPause, &StoreMirror::watch);
             watch();
           });
}

void StoreMirror::applyAll(std::vector<StoreItem> Items,
                           std::function<void()> Done) {
  size_t Count = Items.size();
  doInSlices(
      Clock, Alive, Count,
      [this, Items = std::move(Items)](size_t Index) { apply(Items[Index]); },
      std::move(Done));
}

bool StoreMirror::isChange(const StoreItem &Item) const {
  auto Known = Revisions.find(Item.Key);
  if (Item.Deleted)
    return Known != Revisions.end() && Known->second <= Item.Revision;
  return Known == Revisions.end() || Known->second < Item.Revision;
}

void StoreMirror::apply(const StoreItem &Item) {
  if (!isChange(Item))
    return;
  if (Item.Deleted)
    Revisions.erase(Item.Key);
  else
    Revisions[Item.Key] = Item.Revision;
  isolateFaults(Item.Key, Item.Revision, [&] { OnChange(Item); });
}

void StoreMirror::isolateFaults(const std::string &Key, int64_t Revision,
                                const std::function<void()> &Body) {
  try {
    Body();
  } catch (const std::exception &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"key", Key},
               {"revision", std::to_string(Revision)},
               {"reason", Failure.what()}});
    // The next listing reports the item again.
    Revisions.erase(Key);
  }
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
