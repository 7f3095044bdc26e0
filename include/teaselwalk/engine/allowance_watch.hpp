#pragma once

#include "teaselwalk/cluster/allowance_record.hpp"
#include "teaselwalk/engine/commands.hpp"
#include "teaselwalk/engine/options.hpp"

#include <functional>
#include <set>

namespace teaselwalk::engine {

/// Follows all keys `allowance/<team>` with one watch for the whole process and
/// reads each key that changed once. The number of store calls therefore does
/// not grow with the number of teams or shards, only with the changes.
class AllowanceWatch {
public:
  using OnRecord =
      std::function<void(const TeamId &, const cluster::AllowanceRecord &,
                         protocol::StoreVersion, TimePoint)>;

  AllowanceWatch(const EngineOptions &Options, Commands &Out, OnRecord Take);

  void tick(TimePoint Now);

private:
  void onWatch(const protocol::StoreReply &Reply, TimePoint Now);
  void read(const std::string &Key);

  const EngineOptions &Options;
  Commands &Out;
  OnRecord Take;
  protocol::StoreVersion Seen = 0; ///< Store version up to which all is known.
  bool Waiting = false;
  TimePoint NextWatch;
};

} // namespace teaselwalk::engine
