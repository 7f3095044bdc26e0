#include "teaselwalk/cell/store_mirror.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace teaselwalk::cell {

StoreMirror::StoreMirror(Executor &Clock, Store &Source, Recorder &Log,
                         StoreMirrorOptions Options, OnItem Changed)
    : Clock(Clock), Source(Source), Log(Log), Options(std::move(Options)),
      Changed(std::move(Changed)) {}

void StoreMirror::start(std::function<void()> Done) {
  Synced = std::move(Done);
  list();
}

void StoreMirror::again(Duration Delay, void (StoreMirror::*Step)()) {
  Clock.after(Delay, [this, Step, Token = std::weak_ptr<char>(Alive)] {
    if (!Token.expired())
      (this->*Step)();
  });
}

void StoreMirror::list() {
  TimePoint Asked = Clock.now();
  Source.list(
      Options.Prefix, Options.ListTimeout,
      [this, Asked, Token = std::weak_ptr<char>(Alive)](const StoreItems &R) {
        if (!Token.expired())
          onList(R, Asked);
      });
}

void StoreMirror::onList(const StoreItems &Result, TimePoint Asked) {
  if (Result.Outcome != StoreOutcome::Done) {
    failed("list", Result.Outcome);
    return again(Options.Retry, &StoreMirror::list);
  }
  ListedAt = Asked;
  AtRevision = Result.AtRevision;
  removeMissing(Result);
  for (const StoreItem &Item : Result.Items)
    apply(Item);
  confirm(Asked);
  if (auto Done = std::exchange(Synced, nullptr))
    Done();
  if (Options.Watches)
    return watch();
  again(Options.Relist, &StoreMirror::list);
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
  TimePoint Asked = Clock.now();
  if (Asked - ListedAt >= Options.Relist)
    return list();
  Source.watch(Options.Prefix, AtRevision, Options.Wait,
               [this, Asked,
                Token = std::weak_ptr<char>(Alive)](const StoreItems &Result) {
                 if (!Token.expired())
                   onEvents(Result, Asked);
               });
}

void StoreMirror::onEvents(const StoreItems &Result, TimePoint Asked) {
  if (Result.Outcome == StoreOutcome::Compacted)
    return list();
  if (Result.Outcome != StoreOutcome::Done) {
    failed("watch", Result.Outcome);
    return again(Options.Retry, &StoreMirror::watch);
  }
  for (const StoreItem &Item : Result.Items)
    apply(Item);
  AtRevision = std::max(AtRevision, Result.AtRevision);
  confirm(Asked);
  if (Options.Pause.count() > 0)
    return again(Options.Pause, &StoreMirror::watch);
  watch();
}

void StoreMirror::apply(const StoreItem &Item) {
  auto Known = Revisions.find(Item.Key);
  if (Item.Deleted) {
    if (Known == Revisions.end() || Known->second > Item.Revision)
      return;
    Revisions.erase(Known);
    return Changed(Item);
  }
  if (Known != Revisions.end() && Known->second >= Item.Revision)
    return;
  Revisions[Item.Key] = Item.Revision;
  Changed(Item);
}

void StoreMirror::confirm(TimePoint Asked) {
  ConfirmedAt = Asked;
  if (!std::exchange(IsFailing, false))
    return;
  Log.event(EventName::StoreAvailable, {{"prefix", Options.Prefix}});
}

void StoreMirror::failed(const char *Call, StoreOutcome Outcome) {
  Log.count("store_reads_failed");
  if (std::exchange(IsFailing, true))
    return;
  Log.event(EventName::StoreUnavailable,
            {{"prefix", Options.Prefix},
             {"call", Call},
             {"outcome", std::string(nameOf(StoreOutcomeNames, Outcome))}});
}

} // namespace teaselwalk::cell
