#pragma once

#include "teaselwalk/engine/command_dispatcher.hpp"
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

/// Writes the ended tasks of one shard to the store, in at most one batch per
/// `EngineOptions::FlushInterval`, and reports when the end of a task is
/// durable. Only then may the endpoint drop the task's result.
class CompletionLog {
public:
  /// Called for each ended attempt once its record is in the store.
  using OnDurable =
      std::function<void(const EndpointId &, const protocol::AttemptId &)>;

  CompletionLog(protocol::ShardId Home, const EngineOptions &Options,
                CommandDispatcher &Commands, OnDurable NotifyDurable);

  void add(CompletedTask Task, protocol::AttemptId Id);

  /// Writes the next batch when it is due. The epoch \p Owner is part of the
  /// batch's key, so that keys of different owners never collide.
  void tick(const Epoch &Owner, TimePoint Now);

  /// Registers a batch that was read from the store.
  void onLoaded(const std::string &Key, protocol::StoreVersion Version,
                const std::vector<CompletedTask> &Batch);

  /// Called when the record of \p Job was removed. Removes the batches that now
  /// contain only tasks of removed jobs.
  void onJobRemoved(const JobId &Job);

  /// Drops everything after ownership was lost. The endpoints still have the
  /// results that were not written.
  void reset();

  size_t queued() const { return Queued.size(); }

private:
  struct Entry {
    CompletedTask Task;
    protocol::AttemptId Id;
  };
  struct StoredBatch {
    protocol::StoreVersion Version = 0;
    std::set<JobId> Jobs;
  };

  void write(TimePoint Now);
  void onWritten(const std::string &Key, const WriteResult &Result,
                 TimePoint Now);

  protocol::ShardId Home;
  const EngineOptions &Options;
  CommandDispatcher &Commands;
  OnDurable NotifyDurable;
  std::deque<Entry> Queued;
  std::vector<Entry> InFlight;
  std::string BatchKey; ///< Key of the batch in flight.
  uint64_t Sequence = 0;
  /// Counts resets. Answers to writes from before a reset are ignored.
  uint64_t Generation = 0;
  TimePoint NextWrite;
  bool IsWriting = false;
  std::map<std::string, StoredBatch> Batches;
};

} // namespace teaselwalk::engine
