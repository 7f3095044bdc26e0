#pragma once

#include "fake_clock.hpp"

#include "teaselwalk/cell/ports.hpp"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace teaselwalk::cell::testing {

/// What a task does when it runs.
struct FakeWork {
  Duration Length{1000};
  int FailFirst = 0; ///< So many runs fail at their end.
  bool Lasts = false;
};

/// All endpoints, as their protocol describes them, and a check of the rules
/// that they can see: room, one run of a task at a time, order of steps, and
/// no run after an acknowledged end.
class FakeCluster {
public:
  explicit FakeCluster(FakeClock &Clock) : Clock(Clock) {}

  struct Run {
    int64_t Attempt = 0;
    std::string Checkpoint;
    uint64_t Serial = 0;
    /// Ordered in a former life, and carried out before an owner could raise
    /// the token of the new one. No owner can prevent such a run.
    bool IsUnfenced = false;
    int64_t Figure = 0;
    int32_t Pace = 100;
    TimePoint Since;
  };

  struct Machine {
    EndpointInfo Info;
    bool IsUp = true;
    bool IsCut = false; ///< Runs on, but nothing reaches it.
    TimePoint Born;
    int64_t IncarnationMs = 0;
    int64_t Token = 0;
    int64_t NextEnd = 1;
    /// Ends up to it were listed before the lease lapsed once: the rules do
    /// not count an acknowledgement of these.
    int64_t LapsedUpTo = 0;
    int64_t LeaseUntilMs = 0;
    std::map<TaskKey, Run> Running;
    std::map<TaskKey, int64_t> Highest; ///< Attempts stopped or ended.
    std::vector<EndedRun> Ends;
    bool FailsAll = false;
    bool StandsStill = false; ///< Runs make no progress and do not end.
  };

  std::map<EndpointId, Machine> Machines;
  std::map<JobId, JobSpec> Jobs;
  std::map<TaskKey, FakeWork> Work;
  FakeWork DefaultWork;
  std::set<std::string> Violations;
  Duration MaxLease{6000};
  /// Called with a line for each start, end and acknowledgement.
  std::function<void(const std::string &)> Trace;
  int Starts = 0;
  std::map<TaskKey, int> StartsOf;

  int64_t clockOf(const Machine &M) const {
    return (Clock.now() - M.Born).count() + 1;
  }

  void crash(const EndpointId &Id) {
    Machine &M = Machines[Id];
    M.IsUp = false;
    M.Running.clear();
  }
  void restart(const EndpointId &Id) {
    Machine &M = Machines[Id];
    EndpointInfo Info = M.Info;
    M = Machine();
    M.Info = Info;
    M.Born = Clock.now();
    M.IncarnationMs = Clock.wallMillis();
    M.Info.IncarnationMs = M.IncarnationMs;
  }

  EndpointResult start(Machine &M, const StartRequest &Order,
                       bool IsFormerLife = false) {
    bool IsUnfenced = IsFormerLife && clockOf(M) < TimeToFence.count();
    expire(M);
    EndpointResult Result{EndpointOutcome::Done, clockOf(M)};
    if (Order.FencingToken < M.Token)
      return {EndpointOutcome::StaleToken, Result.ClockMs};
    M.Token = Order.FencingToken;
    if (Order.LeaseUntilMs <= clockOf(M))
      return {EndpointOutcome::TooLate, Result.ClockMs};
    extend(M, Order.LeaseUntilMs);
    auto Present = M.Running.find(Order.Task);
    if (Present != M.Running.end() && Present->second.Attempt == Order.Attempt)
      return Result;
    auto Known = M.Highest.find(Order.Task);
    if (Known != M.Highest.end() && Order.Attempt <= Known->second)
      return {EndpointOutcome::Superseded, Result.ClockMs};
    begin(M, Order, IsUnfenced);
    return Result;
  }

  EndpointResult stop(Machine &M, const TaskKey &Task, int64_t Attempt,
                      int64_t Token) {
    expire(M);
    if (Token < M.Token)
      return {EndpointOutcome::StaleToken, clockOf(M)};
    M.Token = Token;
    M.Highest[Task] = std::max(M.Highest[Task], Attempt);
    auto Found = M.Running.find(Task);
    if (Found != M.Running.end() && Found->second.Attempt <= Attempt)
      Clock.after(StopTime,
                  [this, Id = M.Info.Id, Task, Serial = Found->second.Serial] {
                    end(Id, Task, Serial, RunOutcome::Stopped);
                  });
    return {EndpointOutcome::Done, clockOf(M)};
  }

  RenewResult renew(Machine &M, const RenewRequest &Order) {
    expire(M);
    RenewResult Result;
    Result.ClockMs = clockOf(M);
    Result.IncarnationMs = M.IncarnationMs;
    if (Order.FencingToken < M.Token) {
      Result.Outcome = EndpointOutcome::StaleToken;
      return Result;
    }
    M.Token = Order.FencingToken;
    if (Order.LeaseUntilMs > 0)
      extend(M, Order.LeaseUntilMs);
    acknowledge(M, Order.AcknowledgedEnd);
    for (const auto &[Key, Value] : M.Running)
      Result.Running.push_back({Key, Value.Attempt, Value.Checkpoint,
                                progressOf(M, Key, Value), Value.Figure});
    Result.Ends = M.Ends;
    Result.Outcome = EndpointOutcome::Done;
    return Result;
  }

  /// All tasks of \p Step of \p Job have an end `Done`.
  bool isDone(const JobId &Job, int32_t Step) const {
    const JobSpec &Spec = Jobs.at(Job);
    for (int32_t T = 0; T < Spec.Steps[static_cast<size_t>(Step)].Tasks; ++T)
      if (DoneTasks.count({Job, 0, Step, T}) == 0)
        return false;
    return true;
  }

private:
  /// Endpoint, start of its life and number of an end.
  using EndId = std::tuple<EndpointId, int64_t, int64_t>;

  static constexpr Duration StopTime{50};
  /// An owner notices a restart by a renewal that fails (2 s at most).
  static constexpr Duration TimeToFence{3000};

  int32_t progressOf(const Machine &M, const TaskKey &Task,
                     const Run &Value) const {
    auto Found = Work.find(Task);
    const FakeWork &Plan = Found == Work.end() ? DefaultWork : Found->second;
    if (Plan.Lasts)
      return 100;
    if (M.StandsStill)
      return 0;
    return static_cast<int32_t>((Clock.now() - Value.Since).count() * 100 /
                                Plan.Length.count());
  }

  void violate(const std::string &Rule, const TaskKey &Task) {
    Violations.insert(Rule + " " + Task.Job.str() + "." +
                      std::to_string(Task.Step) + "." +
                      std::to_string(Task.Index));
  }

  void trace(const char *What, const Machine &M, const TaskKey &Task,
             int64_t Number) const {
    if (Trace)
      Trace(std::to_string(Clock.now().time_since_epoch().count()) + ' ' +
            What + ' ' + std::to_string(Number) + ' ' + Task.Job.str() + '.' +
            std::to_string(Task.Step) + '.' + std::to_string(Task.Index) +
            " at " + M.Info.Id.str() + " token " + std::to_string(M.Token) +
            " clock " + std::to_string(clockOf(M)) + " lease " +
            std::to_string(M.LeaseUntilMs));
  }

  const StepSpec &stepOf(const TaskKey &Task) const {
    return Jobs.at(Task.Job).Steps[static_cast<size_t>(Task.Step)];
  }

  void begin(Machine &M, const StartRequest &Order, bool IsUnfenced) {
    ++Starts;
    trace("start", M, Order.Task, Order.Attempt);
    ++StartsOf[Order.Task];
    const StepSpec &Step = stepOf(Order.Task);
    Resources Used = Step.Need;
    for (const auto &[Key, Value] : M.Running)
      Used += stepOf(Key).Need;
    if (!fits(Used, M.Info.Capacity))
      violate("LIMIT", Order.Task);
    for (auto &[Id, Other] : Machines) {
      expire(Other);
      auto Beside = Other.Running.find(Order.Task);
      if (Other.IsUp && Beside != Other.Running.end() && !IsUnfenced &&
          !Beside->second.IsUnfenced)
        violate("TWICE", Order.Task);
    }
    if (AcknowledgedDone.count(Order.Task) != 0 && !IsUnfenced)
      violate("TWICE after the end", Order.Task);
    for (const EndId &End : DoneEnds[Order.Task])
      FollowedByStart.insert(End);
    for (int32_t Earlier : Step.After)
      if (!isDone(Order.Task.Job, Earlier))
        violate("ORDER", Order.Task);
    Run Value;
    Value.Attempt = Order.Attempt;
    Value.Checkpoint = Order.Checkpoint;
    Value.Serial = ++NextSerial;
    Value.Since = Clock.now();
    Value.IsUnfenced = IsUnfenced;
    M.Running[Order.Task] = Value;
    auto Found = Work.find(Order.Task);
    const FakeWork &Plan = Found == Work.end() ? DefaultWork : Found->second;
    if (Plan.Lasts || M.StandsStill)
      return;
    bool Fails = M.FailsAll || StartsOf[Order.Task] <= Plan.FailFirst;
    Clock.after(Plan.Length, [this, Id = M.Info.Id, Task = Order.Task,
                              Serial = Value.Serial, Fails] {
      end(Id, Task, Serial, Fails ? RunOutcome::Failed : RunOutcome::Done);
    });
  }

  void end(const EndpointId &Id, const TaskKey &Task, uint64_t Serial,
           RunOutcome How) {
    Machine &M = Machines[Id];
    expire(M);
    auto Found = M.Running.find(Task);
    if (!M.IsUp || Found == M.Running.end() || Found->second.Serial != Serial)
      return;
    finish(M, Task, How);
  }

  void finish(Machine &M, const TaskKey &Task, RunOutcome How) {
    auto Found = M.Running.find(Task);
    int64_t Attempt = Found->second.Attempt;
    trace(How == RunOutcome::Done ? "done" : "end", M, Task, Attempt);
    M.Highest[Task] = std::max(M.Highest[Task], Attempt);
    M.Ends.push_back(
        {M.NextEnd++, Task, Attempt, How, Found->second.Checkpoint});
    M.Running.erase(Found);
    if (How != RunOutcome::Done)
      return;
    DoneTasks.insert(Task);
    DoneEnds[Task].push_back({M.Info.Id, M.IncarnationMs, M.NextEnd - 1});
  }

  void acknowledge(Machine &M, int64_t Number) {
    std::vector<EndedRun> Kept;
    for (const EndedRun &End : M.Ends) {
      if (End.Number > Number) {
        Kept.push_back(End);
        continue;
      }
      trace("acknowledged", M, End.Task, End.Number);
      if (End.Outcome != RunOutcome::Done || End.Number <= M.LapsedUpTo)
        continue;
      AcknowledgedDone.insert(End.Task);
      if (FollowedByStart.count({M.Info.Id, M.IncarnationMs, End.Number}) != 0)
        violate("TWICE around the end", End.Task);
    }
    M.Ends.swap(Kept);
  }

  void extend(Machine &M, int64_t UntilMs) {
    int64_t Longest = clockOf(M) + MaxLease.count();
    M.LeaseUntilMs = std::max(M.LeaseUntilMs, std::min(UntilMs, Longest));
  }

  void expire(Machine &M) {
    if (!M.IsUp || clockOf(M) < M.LeaseUntilMs)
      return;
    M.LapsedUpTo = M.NextEnd - 1;
    std::vector<TaskKey> Lapsed;
    for (const auto &[Key, Value] : M.Running)
      Lapsed.push_back(Key);
    for (const TaskKey &Key : Lapsed)
      finish(M, Key, RunOutcome::LeaseExpired);
  }

  FakeClock &Clock;
  std::set<TaskKey> DoneTasks;
  std::set<TaskKey> AcknowledgedDone;
  std::map<TaskKey, std::vector<EndId>> DoneEnds;
  /// Ends `Done` after which the task was started again.
  std::set<EndId> FollowedByStart;
  uint64_t NextSerial = 0;
};

} // namespace teaselwalk::cell::testing
