#include "teaselwalk/engine/done_log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace teaselwalk::engine {

DoneLog::DoneLog(protocol::ShardId Home, const EngineOptions &Options,
                 Commands &Out, OnDurable Durable)
    : Home(std::move(Home)), Options(Options), Out(Out),
      Durable(std::move(Durable)) {}

void DoneLog::add(DoneTask Task, protocol::AttemptId Id) {
  Waiting.push_back({std::move(Task), std::move(Id)});
}

void DoneLog::tick(const Epoch &Owner, TimePoint Now) {
  if (Sending || Now < NextWrite)
    return;
  if (InFlight.empty()) {
    if (Waiting.empty())
      return;
    size_t Count = std::min(Waiting.size(), Options.MaxDoneBatch);
    auto End = Waiting.begin() + static_cast<std::ptrdiff_t>(Count);
    InFlight.assign(std::make_move_iterator(Waiting.begin()),
                    std::make_move_iterator(End));
    Waiting.erase(Waiting.begin(), End);
    Key = donePrefix(Home) + std::to_string(Owner.Counter) + '-' +
          Owner.Process.str() + '-' + std::to_string(++Sequence);
  }
  write(Now);
}

void DoneLog::write(TimePoint Now) {
  std::vector<DoneTask> Batch;
  Batch.reserve(InFlight.size());
  for (const Entry &Item : InFlight)
    Batch.push_back(Item.Task);
  Sending = true;
  NextWrite = Now + Options.FlushInterval;
  writeDurably(Out, Key, encodeDone(Batch), 0, Options.StoreTimeout,
               [this, Key = Key, Mine = Generation](const WriteResult &Result,
                                                    TimePoint Later) {
                 if (Mine == Generation)
                   onWritten(Key, Result, Later);
               });
}

void DoneLog::onWritten(const std::string &WrittenKey,
                        const WriteResult &Result, TimePoint Now) {
  Sending = false;
  // After any other outcome the same batch is written again under the same key.
  if (Result.Outcome != WriteOutcome::Applied) {
    NextWrite = Now + Options.FlushInterval;
    return;
  }
  Stored &Batch = Batches[WrittenKey];
  Batch.Version = Result.Version;
  std::vector<Entry> Written;
  Written.swap(InFlight);
  for (const Entry &Item : Written) {
    Batch.Jobs.insert(Item.Task.Job);
    Durable(Item.Task.Endpoint, Item.Id);
  }
}

void DoneLog::onLoaded(const std::string &LoadedKey,
                       protocol::StoreVersion Version,
                       const std::vector<DoneTask> &Batch) {
  Stored &Entry = Batches[LoadedKey];
  Entry.Version = Version;
  for (const DoneTask &Task : Batch)
    Entry.Jobs.insert(Task.Job);
}

void DoneLog::retire(const JobId &Job) {
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
    Out.store(std::move(Remove), Options.StoreTimeout,
              [](const protocol::StoreReply &, TimePoint) {});
    It = Batches.erase(It);
  }
}

void DoneLog::reset() {
  ++Generation;
  Waiting.clear();
  InFlight.clear();
  Batches.clear();
  Sending = false;
}

} // namespace teaselwalk::engine
