#pragma once

#include "fake_clock.hpp"

#include "teaselwalk/cell/ports.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace teaselwalk::cell::testing {

/// Model of the platform's store that follows its protocol: one revision
/// counter, conditional transactions, leases and a history that can be dropped.
class SimulatedStore {
public:
  explicit SimulatedStore(FakeClock &Clock) : Clock(Clock) {}

  struct Entry {
    std::string Value;
    int64_t Revision = 0;
    int64_t Lease = 0;
  };

  size_t MaxValueBytes = 1048576;
  int RejectedWrites = 0; ///< Writes that were answered with `Invalid`.

  CommitResult commit(const StoreTransaction &Change) {
    expire();
    CommitResult Result;
    for (const auto &[Key, Needed] : Change.Conditions) {
      auto Found = Items.find(Key);
      int64_t Present = Found == Items.end() ? 0 : Found->second.Revision;
      if (Present == Needed)
        continue;
      Result.Outcome = StoreOutcome::Conflict;
    }
    if (Result.Outcome == StoreOutcome::Conflict) {
      for (const auto &[Key, Needed] : Change.Conditions)
        if (Items.count(Key) != 0)
          Result.Items.push_back({Key, Items[Key].Value, Items[Key].Revision});
      return Result;
    }
    size_t Entries =
        Change.Conditions.size() + Change.Puts.size() + Change.Removes.size();
    bool IsTooLarge = std::any_of(Change.Puts.begin(), Change.Puts.end(),
                                  [this](const StorePut &Put) {
                                    return Put.Value.size() > MaxValueBytes;
                                  });
    if (Entries > MaxTransactionEntries || IsTooLarge) {
      Result.Outcome = StoreOutcome::Invalid;
      ++RejectedWrites;
      return Result;
    }
    for (const StorePut &Put : Change.Puts)
      if (Put.LeaseId != 0 && Leases.count(Put.LeaseId) == 0) {
        Result.Outcome = StoreOutcome::NotFound;
        return Result;
      }
    ++Revision;
    for (const StorePut &Put : Change.Puts) {
      Items[Put.Key] = {Put.Value, Revision, Put.LeaseId};
      History.push_back({Put.Key, Put.Value, Revision, false});
    }
    for (const std::string &Key : Change.Removes)
      erase(Key);
    Result.Outcome = StoreOutcome::Done;
    Result.Revision = Revision;
    return Result;
  }

  /// Writes without a condition, as operators and endpoints do.
  void put(const std::string &Key, const std::string &Value) {
    StoreTransaction Change;
    Change.Puts = {{Key, Value, 0}};
    commit(Change);
  }
  void remove(const std::string &Key) {
    ++Revision;
    erase(Key);
  }

  StoreItems list(const std::string &Prefix) {
    expire();
    StoreItems Result{StoreOutcome::Done, {}, Revision};
    for (auto It = Items.lower_bound(Prefix);
         It != Items.end() && It->first.compare(0, Prefix.size(), Prefix) == 0;
         ++It)
      Result.Items.push_back(
          {It->first, It->second.Value, It->second.Revision});
    return Result;
  }

  StoreItems changes(const std::string &Prefix, int64_t After) {
    expire();
    if (After < OldestHistory)
      return {StoreOutcome::Compacted, {}, Revision};
    StoreItems Result{StoreOutcome::Done, {}, Revision};
    // The history is sorted by revision.
    auto First = std::upper_bound(History.begin(), History.end(), After,
                                  [](int64_t Known, const StoreItem &Item) {
                                    return Known < Item.Revision;
                                  });
    for (auto It = First; It != History.end(); ++It)
      if (It->Key.compare(0, Prefix.size(), Prefix) == 0)
        Result.Items.push_back(*It);
    return Result;
  }

  int64_t grant(Duration Ttl) {
    Leases[++NextLease] = {Ttl, Clock.now() + Ttl};
    return NextLease;
  }
  bool renew(int64_t Lease) {
    expire();
    auto Found = Leases.find(Lease);
    if (Found == Leases.end())
      return false;
    Found->second.second = Clock.now() + Found->second.first;
    return true;
  }
  bool end(int64_t Lease) {
    if (Leases.erase(Lease) == 0)
      return false;
    std::vector<std::string> Gone;
    for (const auto &[Key, Item] : Items)
      if (Item.Lease == Lease)
        Gone.push_back(Key);
    ++Revision;
    for (const std::string &Key : Gone)
      erase(Key);
    return true;
  }

  void dropHistory() {
    History.clear();
    OldestHistory = Revision;
  }

  bool has(const std::string &Key) {
    expire();
    return Items.count(Key) != 0;
  }

private:
  void erase(const std::string &Key) {
    if (Items.erase(Key) != 0)
      History.push_back({Key, "", Revision, true});
  }
  void expire() {
    std::vector<int64_t> Ended;
    for (const auto &[Lease, Value] : Leases)
      if (Value.second <= Clock.now())
        Ended.push_back(Lease);
    for (int64_t Lease : Ended)
      end(Lease);
  }

  FakeClock &Clock;
  std::map<std::string, Entry> Items;
  std::vector<StoreItem> History;
  std::map<int64_t, std::pair<Duration, TimePoint>> Leases;
  int64_t Revision = 1;
  int64_t OldestHistory = 0;
  int64_t NextLease = 100;
};

/// Client of one process for the store, with injected faults.
class SimulatedStoreClient : public Store {
public:
  SimulatedStoreClient(FakeClock &Network, Executor &Own,
                       SimulatedStore &Shared)
      : Network(Network), Own(Own), Shared(Shared) {}

  bool IsSilent = false;         ///< Calls are lost: no effect and no answer.
  bool IsRefusing = false;       ///< Calls are answered with `Refused`.
  bool LosesWatchEvents = false; ///< Watches report no changes.
  /// Lists and watches of this prefix are not answered; empty: all are.
  std::string UnreachablePrefix;
  /// Number of next writes that take effect, but whose answers are lost.
  int LoseAnswers = 0;
  bool LosesWrites = false; ///< Writes have no effect and no answer.
  /// Number of next writes that get no answer and take effect `WriteDelay`
  /// later.
  int DelayWrites = 0;
  Duration WriteDelay{3000};
  Duration Latency{2}; ///< One-way latency; raise it for a slow store.
  int Calls = 0;

  void read(const std::string &Key, Duration Timeout,
            std::function<void(StoreItems)> Done) override {
    call<StoreItems>(Timeout, std::move(Done), [this, Key] {
      StoreItems All = Shared.list(Key);
      StoreItems One{StoreOutcome::NotFound, {}, All.AtRevision};
      for (const StoreItem &Item : All.Items)
        if (Item.Key == Key)
          One = {StoreOutcome::Done, {Item}, All.AtRevision};
      return One;
    });
  }
  void list(const std::string &Prefix, Duration Timeout,
            std::function<void(StoreItems)> Done) override {
    if (isUnreachable(Prefix))
      return Own.after(Timeout, [Done = std::move(Done)] { Done({}); });
    call<StoreItems>(Timeout, std::move(Done),
                     [this, Prefix] { return Shared.list(Prefix); });
  }
  void watch(const std::string &Prefix, int64_t Revision, Duration Wait,
             std::function<void(StoreItems)> Done) override {
    ++Calls;
    poll(Prefix, Revision, Network.now() + Wait, std::move(Done));
  }
  void commit(const StoreTransaction &Change, Duration Timeout,
              std::function<void(CommitResult)> Done) override {
    if (LosesWrites)
      return Own.after(Timeout, [Done = std::move(Done)] { Done({}); });
    bool IsLost = LoseAnswers > 0;
    bool IsLate = !IsLost && DelayWrites > 0;
    if (IsLost) {
      --LoseAnswers;
      Network.after(Latency, [this, Change] { Shared.commit(Change); });
    }
    if (IsLate) {
      --DelayWrites;
      Network.after(WriteDelay, [this, Change] { Shared.commit(Change); });
    }
    if (IsLost || IsLate) {
      ++Calls;
      Own.after(Timeout, [Done = std::move(Done)] { Done({}); });
      return;
    }
    call<CommitResult>(Timeout, std::move(Done),
                       [this, Change] { return Shared.commit(Change); });
  }
  void grantLease(Duration Ttl, Duration Timeout,
                  std::function<void(LeaseResult)> Done) override {
    call<LeaseResult>(Timeout, std::move(Done), [this, Ttl] {
      return LeaseResult{StoreOutcome::Done, Shared.grant(Ttl), Ttl};
    });
  }
  void renewLease(int64_t Lease, Duration Timeout,
                  std::function<void(LeaseResult)> Done) override {
    call<LeaseResult>(Timeout, std::move(Done), [this, Lease] {
      bool IsThere = Shared.renew(Lease);
      return LeaseResult{IsThere ? StoreOutcome::Done : StoreOutcome::NotFound,
                         Lease, Duration(0)};
    });
  }
  void endLease(int64_t Lease, Duration Timeout,
                std::function<void(LeaseResult)> Done) override {
    call<LeaseResult>(Timeout, std::move(Done), [this, Lease] {
      Shared.end(Lease);
      return LeaseResult{StoreOutcome::Done, Lease, Duration(0)};
    });
  }

private:
  static constexpr Duration PollInterval{5};

  bool isUnreachable(const std::string &Prefix) const {
    return !UnreachablePrefix.empty() && Prefix == UnreachablePrefix;
  }

  template <typename Result, typename Body>
  void call(Duration Timeout, std::function<void(Result)> Done, Body Work) {
    ++Calls;
    if (IsSilent)
      return Own.after(Timeout, [Done = std::move(Done)] { Done(Result()); });
    if (IsRefusing)
      return Own.after(Latency, [Done = std::move(Done)] {
        Result Refused;
        Refused.Outcome = StoreOutcome::Refused;
        Done(Refused);
      });
    if (Latency * 2 > Timeout) {
      Network.after(Latency, [Work] { Work(); });
      return Own.after(Timeout, [Done = std::move(Done)] { Done(Result()); });
    }
    Network.after(Latency, [this, Done = std::move(Done), Work]() mutable {
      Own.after(Latency,
                [Done = std::move(Done), Answer = Work()] { Done(Answer); });
    });
  }

  void poll(const std::string &Prefix, int64_t Revision, TimePoint End,
            std::function<void(StoreItems)> Done) {
    Network.after(PollInterval, [=, Done = std::move(Done)]() mutable {
      if (IsSilent || IsRefusing || isUnreachable(Prefix))
        return Own.after(Duration(500), [Done] { Done({}); });
      StoreItems Found = Shared.changes(Prefix, Revision);
      if (LosesWatchEvents)
        Found = {StoreOutcome::Done, {}, Revision};
      bool IsOver = Found.Outcome != StoreOutcome::Done ||
                    !Found.Items.empty() || Network.now() >= End;
      if (!IsOver)
        return poll(Prefix, Revision, End, std::move(Done));
      Own.after(Latency, [Done, Found] { Done(Found); });
    });
  }

  FakeClock &Network;
  Executor &Own;
  SimulatedStore &Shared;
};

} // namespace teaselwalk::cell::testing
