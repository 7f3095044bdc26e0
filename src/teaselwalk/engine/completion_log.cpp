#include "teaselwalk/engine/completion_log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace teaselwalk::engine {

CompletionLog::CompletionLog(protocol::ShardId Home,
                             const EngineOptions &Options,
                             CommandDispatcher &Commands,
                             OnDurable NotifyDurable)
    : Home(std::move(Home)), Options(Options), Commands(Commands),
      NotifyDurable(std::move(NotifyDurable)) {}

void CompletionLog::add(CompletedTask Task, protocol::AttemptId Id) {
  Queued.push_back({std::move(Task), std::move(Id)});
}

void CompletionLog::tick(const Epoch &Owner, TimePoint Now) {
  if (IsWriting || Now < NextWrite)
    return;
  if (InFlight.empty()) {
    if (Queued.empty())
      return;
    size_t Count = std::min(Queued.size(), Options.MaxCompletionBatch);
    auto End = Queued.begin() + static_cast<std::ptrdiff_t>(Count);
    InFlight.assign(std::make_move_iterator(Queued.begin()),
                    std::make_move_iterator(End));
    Queued.erase(Queued.begin(), End);
    BatchKey = completionPrefix(Home) + std::to_string(Owner.Counter) + '-' +
               Owner.Process.str() + '-' + std::to_string(++Sequence);
  }
  write(Now);
}

void CompletionLog::write(TimePoint Now) {
  std::vector<CompletedTask> Batch;
  Batch.reserve(InFlight.size());
  for (const Entry &Item : InFlight)
    Batch.push_back(Item.Task);
  IsWriting = true;
  NextWrite = Now + Options.FlushInterval;
  writeDurably(Commands, BatchKey, encodeCompletions(Batch), 0,
               Options.StoreTimeout,
               [this, BatchKey = BatchKey, SentGeneration = Generation](
                   const WriteResult &Result, TimePoint Later) {
                 if (SentGeneration == Generation)
                   onWritten(BatchKey, Result, Later);
               });
}

void CompletionLog::onWritten(const std::string &WrittenKey,
                              const WriteResult &Result, TimePoint Now) {
  IsWriting = false;
  // After any other outcome the same batch is written again under the same key.
  if (Result.Outcome != WriteOutcome::Applied) {
    NextWrite = Now + Options.FlushInterval;
    return;
  }
  StoredBatch &Batch = Batches[WrittenKey];
  Batch.Version = Result.Version;
  std::vector<Entry> Written;
  Written.swap(InFlight);
  for (const Entry &Item : Written) {
    Batch.Jobs.insert(Item.Task.Job);
    NotifyDurable(Item.Task.Endpoint, Item.Id);
  }
}

void CompletionLog::onLoaded(const std::string &LoadedKey,
                             protocol::StoreVersion Version,
                             const std::vector<CompletedTask> &Batch) {
  StoredBatch &Entry = Batches[LoadedKey];
  Entry.Version = Version;
  for (const CompletedTask &Task : Batch)
    Entry.Jobs.insert(Task.Job);
}

void CompletionLog::onJobRemoved(const JobId &Job) {
  for (auto It = Batches.begin(); It != Batches.end();) {
    bool WasNamed = It->second.Jobs.erase(Job) > 0;
    if (!WasNamed || !It->second.Jobs.empty()) {
      ++It;
      continue;
    }
    protocol::StoreRequest Remove;
    Remove.Operation = protocol::StoreOperation::Remove;
    Remove.Key = It->first;
    Remove.Expected = It->second.Version;
    // If the removal fails, the next owner finds the batch and removes it.
    Commands.callStore(std::move(Remove), Options.StoreTimeout,
                       [](const protocol::StoreReply &, TimePoint) {});
    It = Batches.erase(It);
  }
}

void CompletionLog::reset() {
  ++Generation;
  Queued.clear();
  InFlight.clear();
  Batches.clear();
  IsWriting = false;
}

} // namespace teaselwalk::engine
