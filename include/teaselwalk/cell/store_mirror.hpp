#pragma once

#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselwalk::cell {

struct StoreMirrorOptions {
  std::string Prefix;
  /// Longest wait of one watch call. Each answer advances `confirmedAt`.
  Duration WatchWait{1000};
  /// Pause between two watch calls, so that changes arrive in batches.
  Duration WatchPause{0};
  /// Interval of full listings. A watch can miss changes when the store drops
  /// its history.
  Duration RelistInterval{4000};
  /// Pause before a failed call is repeated.
  Duration RetryPause{150};
  Duration PageTimeout{1500}; ///< For each page of a listing.
  /// False: the prefix is only listed, every `RelistInterval`. For prefixes
  /// that change all the time.
  bool IsWatched = true;
};

/// Mirrors the items under a prefix of the store: lists and watches the prefix
/// and reports every change of an item. Many changes are reported in slices.
class StoreMirror {
public:
  using ItemCallback = std::function<void(const StoreItem &)>;

  StoreMirror(Executor &Clock, Store &Storage, Recorder &Log,
              StoreMirrorOptions Options, ItemCallback OnChange);

  /// Begins to watch. \p OnSynced is called after the first complete listing.
  void start(std::function<void()> OnSynced = nullptr);

  /// The start of the latest list or watch call that succeeded, up to which all
  /// changes were reported; none before the first listing.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt; }
  /// When the store last answered. While a change is applied: the answer before
  /// the one that reports it, so the change is not older than that.
  std::optional<TimePoint> answeredAt() const { return AnsweredAt; }

private:
  void list();
  void watch();
  void schedule(Duration Delay, void (StoreMirror::*Method)());
  void onList(StoreItems Result, TimePoint SentAt);
  void onEvents(StoreItems Result, TimePoint SentAt);
  void finishList(TimePoint SentAt);
  /// Removals of the known items that are missing in \p Listed.
  std::vector<StoreItem> missingIn(const StoreItems &Listed) const;
  /// Reports the changes among \p Items in slices, then calls \p Done.
  void applyAll(std::vector<StoreItem> Items, std::function<void()> Done);
  void apply(const StoreItem &Item);
  /// Calls \p Body. An exception is logged and does not end the mirror.
  void isolateFaults(const std::string &Key, int64_t Revision,
                     const std::function<void()> &Body);
  /// True if \p Item is newer than what was reported of it.
  bool isChange(const StoreItem &Item) const;
  void noteSuccess(TimePoint SentAt);
  void noteFailure(const char *Call, StoreOutcome Outcome);

  Executor &Clock;
  Store &Storage;
  Recorder &Log;
  StoreMirrorOptions Options;
  ItemCallback OnChange;
  std::function<void()> OnSynced;
  std::unordered_map<std::string, int64_t> Revisions;
  int64_t AtRevision = 0;
  TimePoint ListedAt;
  std::optional<TimePoint> ConfirmedAt;
  std::optional<TimePoint> AnsweredAt;
  bool IsFailing = false;
  Lifetime Alive;
};

} // namespace teaselwalk::cell
