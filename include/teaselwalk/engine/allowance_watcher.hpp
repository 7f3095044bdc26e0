#pragma once

#include "teaselwalk/cluster/allowance_record.hpp"
#include "teaselwalk/engine/command_dispatcher.hpp"
#include "teaselwalk/engine/options.hpp"

#include <functional>
#include <set>

namespace teaselwalk::engine {

/// Follows the allowance records of all teams (keys `allowance/<team>`) with
/// one store watch for the whole process, and reads each changed key once. The
/// number of store calls therefore grows with the number of changes, not with
/// that of teams or shards.
class AllowanceWatcher {
public:
  using OnRecord =
      std::function<void(const TeamId &, const cluster::AllowanceRecord &,
                         protocol::StoreVersion, TimePoint)>;

  AllowanceWatcher(const EngineOptions &Options, CommandDispatcher &Commands,
                   OnRecord OnChange);

  void tick(TimePoint Now);

private:
  void onWatch(const protocol::StoreReply &Reply, TimePoint Now);
  void read(const std::string &Key);

  const EngineOptions &Options;
  CommandDispatcher &Commands;
  OnRecord OnChange;
  /// Store version up to which all changes have been reported.
  protocol::StoreVersion SeenVersion = 0;
  bool IsWatching = false; ///< A watch is in flight.
  TimePoint NextWatch;
};

} // namespace teaselwalk::engine
