#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace teaselwalk::cell {

struct StoreMirrorOptions {
  std::string Prefix;
  /// Longest wait of one watch. Each answer confirms the copy.
  Duration Wait{1000};
  /// Pause between two watches, so that changes come in groups.
  Duration Pause{0};
  /// The prefix is read again after this time: a watch can miss changes while
  /// the store drops its history.
  Duration Relist{4000};
  /// Pause after a call that failed.
  Duration Retry{150};
  Duration ListTimeout{1500};
  /// False: the prefix is only read, each `Relist`. For prefixes that change
  /// all the time.
  bool Watches = true;
};

/// A copy of all items under a prefix of the store.
class StoreMirror {
public:
  using OnItem = std::function<void(const StoreItem &)>;

  StoreMirror(Executor &Clock, Store &Source, Recorder &Log,
              StoreMirrorOptions Options, OnItem Changed);

  /// \p Synced is called after the first complete reading.
  void start(std::function<void()> Synced = nullptr);

  /// The start of the latest call that confirmed the copy.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt; }

private:
  void list();
  void watch();
  void again(Duration Delay, void (StoreMirror::*Step)());
  void onList(const StoreItems &Result, TimePoint Asked);
  void onEvents(const StoreItems &Result, TimePoint Asked);
  void removeMissing(const StoreItems &Listed);
  void apply(const StoreItem &Item);
  void confirm(TimePoint Asked);
  void failed(const char *Call, StoreOutcome Outcome);

  Executor &Clock;
  Store &Source;
  Recorder &Log;
  StoreMirrorOptions Options;
  OnItem Changed;
  std::function<void()> Synced;
  std::unordered_map<std::string, int64_t> Revisions;
  int64_t AtRevision = 0;
  TimePoint ListedAt;
  std::optional<TimePoint> ConfirmedAt;
  bool IsFailing = false;
  /// Callbacks that outlive this object find it gone.
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
