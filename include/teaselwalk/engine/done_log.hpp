#pragma once

#include "teaselwalk/engine/commands.hpp"
#include "teaselwalk/engine/durable_write.hpp"
#include "teaselwalk/engine/options.hpp"
#include "teaselwalk/engine/record.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselwalk::engine {

/// Writes ended tasks of one shard to the store, in batches of at most one a
/// second, and says when a task's end is durable: only then may the endpoint
/// forget its result.
class DoneLog {
public:
  /// Called for each ended attempt once it is in the store.
  using OnDurable =
      std::function<void(const EndpointId &, const protocol::AttemptId &)>;

  DoneLog(protocol::ShardId Home, const EngineOptions &Options, Commands &Out,
          OnDurable Durable);

  void add(DoneTask Task, protocol::AttemptId Id);

  /// Writes the next batch when it is due. \p Owner makes the keys of this
  /// ownership unique.
  void tick(const Epoch &Owner, TimePoint Now);

  /// A batch that was found in the store.
  void onLoaded(const std::string &Key, protocol::StoreVersion Version,
                const std::vector<DoneTask> &Batch);

  /// The job's record is gone: remove batches that name no other job.
  void retire(const JobId &Job);

  /// Forget what is not written, after ownership was lost. The endpoints still
  /// have the results.
  void reset();

  size_t waiting() const { return Waiting.size(); }

private:
  struct Entry {
    DoneTask Task;
    protocol::AttemptId Id;
  };
  struct Stored {
    protocol::StoreVersion Version = 0;
    std::set<JobId> Jobs;
  };

  void write(TimePoint Now);
  void onWritten(const std::string &Key, const WriteResult &Result,
                 TimePoint Now);

  protocol::ShardId Home;
  const EngineOptions &Options;
  Commands &Out;
  OnDurable Durable;
  std::deque<Entry> Waiting;
  std::vector<Entry> InFlight;
  std::string Key; ///< Of the batch in flight.
  uint64_t Sequence = 0;
  uint64_t Generation = 0; ///< Answers of an earlier generation are ignored.
  TimePoint NextWrite;
  bool Sending = false;
  std::map<std::string, Stored> Batches;
};

} // namespace teaselwalk::engine
