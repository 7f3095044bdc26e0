#include "teaselwalk/engine/allowance_watcher.hpp"

#include "teaselwalk/base/error.hpp"

#include <utility>

namespace teaselwalk::engine {
namespace {

constexpr const char *Prefix = "allowance/";

} // namespace

AllowanceWatcher::AllowanceWatcher(const EngineOptions &Options,
                                   CommandDispatcher &Commands,
                                   OnRecord OnChange)
    : Options(Options), Commands(Commands), OnChange(std::move(OnChange)) {}

void AllowanceWatcher::tick(TimePoint Now) {
  if (IsWatching || Now < NextWatch)
    return;
  IsWatching = true;
  NextWatch = Now + Options.WatchInterval;
  protocol::StoreRequest Watch;
  Watch.Operation = protocol::StoreOperation::Watch;
  Watch.Key = Prefix;
  Watch.Unless = SeenVersion;
  Watch.Ttl = Options.WatchLength;
  Commands.callStore(std::move(Watch),
                     Options.WatchLength + Options.StoreTimeout,
                     [this](const protocol::StoreReply &Reply,
                            TimePoint Later) { onWatch(Reply, Later); });
}

void AllowanceWatcher::onWatch(const protocol::StoreReply &Reply,
                               TimePoint Now) {
  IsWatching = false;
  if (Reply.Status != protocol::StoreStatus::Ok) {
    NextWatch = Now + Options.FlushInterval;
    return;
  }
  SeenVersion = Reply.Version;
  std::set<std::string> Changed;
  for (const protocol::StoreEntry &Entry : Reply.Entries)
    if (Entry.Version > 0)
      Changed.insert(Entry.Key);
  for (const std::string &Key : Changed)
    read(Key);
}

void AllowanceWatcher::read(const std::string &Key) {
  protocol::StoreRequest Read;
  Read.Key = Key;
  Commands.callStore(
      std::move(Read), Options.StoreTimeout,
      [this, Key](const protocol::StoreReply &Reply, TimePoint Now) {
        // If this read fails, the record is read again at its next
        // change, or by the ledger that needs it.
        if (Reply.Status != protocol::StoreStatus::Ok)
          return;
        TeamId Team(Key.substr(std::string(Prefix).size()));
        try {
          OnChange(Team, cluster::decodeAllowance(Reply.Value), Reply.Version,
                   Now);
        } catch (const InvalidInput &Failure) {
          Commands.emit(RecordEvent{EventName::RecordMalformed,
                                    {{"key", Key}, {"why", Failure.what()}}});
        }
      });
}

} // namespace teaselwalk::engine
