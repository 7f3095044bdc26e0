#pragma once

#include "fake_clock.hpp"
#include "fake_machine.hpp"

#include "teaselwalk/cell/ports.hpp"

#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace teaselwalk::cell::testing {

/// Model of all endpoints that follows their protocol. It also checks the
/// scheduler's invariants that are visible to endpoints: capacities are kept,
/// no task runs twice at the same time or after an acknowledged end, and steps
/// run in order.
class FakeCluster {
public:
  explicit FakeCluster(FakeClock &Clock) : Clock(Clock) {}

  using Run = FakeRun;
  using Machine = FakeMachine;

  std::map<EndpointId, Machine> Machines;
  std::map<JobId, JobSpec> Jobs;
  std::map<TaskKey, FakeWork> Work;
  FakeWork DefaultWork;
  std::set<std::string> Violations; ///< Violated invariants and their tasks.
  Duration MaxLease{10000};
  Duration StopTime{50}; ///< From a stop request to the end of the run.
  /// Called with one line for each start, end and acknowledgement of a run.
  std::function<void(const std::string &)> Trace;
  /// Whether a start request carries a valid ticket; unset: none is needed.
  std::function<bool(const StartRequest &, const EndpointId &)> AcceptsTicket;
  /// Called when a task has crashed its endpoint.
  std::function<void(const EndpointId &)> OnCrash;
  /// Called when a task that crashes its endpoint has been started.
  std::function<void()> OnDeadlyStart;
  /// The members of a gang work from when all are present, and end together.
  bool GangsEndTogether = false;
  /// A process was cut off from something until shortly before this time.
  /// Until then former capacities count, however long ago they have shrunk.
  TimePoint InTouchFrom;
  int Starts = 0;
  std::map<TaskKey, int> StartsOf;

  int64_t clockOf(const Machine &M) const {
    return M.ClockStartMs + (Clock.now() - M.StartedAt).count();
  }

  /// Begins an incarnation, whose clock has nothing to do with that of the one
  /// before.
  void begin(Machine &M) {
    M.StartedAt = Clock.now();
    M.ClockStartMs = 1 + static_cast<int64_t>(ClockStarts() % MaxClockStartMs);
    M.IncarnationMs = Clock.wallMillis();
    M.Info.IncarnationMs = M.IncarnationMs;
  }

  void crash(const EndpointId &Id) {
    Machine &M = Machines[Id];
    M.IsUp = false;
    std::map<TaskKey, Run> Lost;
    Lost.swap(M.Running);
    for (const auto &[Key, Value] : Lost) {
      trace("crash", M, Key, Value.Attempt);
      breakGang(Key, Value.Attempt);
    }
  }
  void restart(const EndpointId &Id) {
    Machine &M = Machines[Id];
    EndpointInfo Info = M.Info;
    auto FormerCapacities = std::move(M.FormerCapacities);
    M = Machine();
    M.Info = Info;
    M.FormerCapacities = std::move(FormerCapacities);
    begin(M);
  }

  /// Ends the run of \p Task, if there is one, as failed.
  void fail(const TaskKey &Task) {
    for (auto &[Id, M] : Machines)
      if (M.Running.count(Task) != 0)
        finish(M, Task, RunOutcome::Failed);
  }

  void setCapacity(const EndpointId &Id, const Resources &Capacity) {
    Machine &M = Machines[Id];
    M.FormerCapacities.emplace_back(Clock.now(), M.Info.Capacity);
    M.Info.Capacity = Capacity;
  }

  EndpointResult start(Machine &M, const StartRequest &Request,
                       bool IsFormerIncarnation = false) {
    bool IsUnfenced =
        IsFormerIncarnation && Clock.now() - M.StartedAt < TimeToFence;
    expire(M);
    EndpointResult Result{EndpointOutcome::Done, clockOf(M)};
    if (Request.FencingToken < M.FencingToken)
      return {EndpointOutcome::StaleToken, Result.ClockMs};
    M.FencingToken = Request.FencingToken;
    if (Request.LeaseUntilMs <= clockOf(M))
      return {EndpointOutcome::LeaseTimePassed, Result.ClockMs};
    extend(M, Request.LeaseUntilMs);
    auto Present = M.Running.find(Request.Task);
    if (Present != M.Running.end() &&
        Present->second.Attempt == Request.Attempt)
      return Result;
    auto Known = M.HighestEnded.find(Request.Task);
    if (Known != M.HighestEnded.end() && Request.Attempt <= Known->second)
      return {EndpointOutcome::Superseded, Result.ClockMs};
    if (AcceptsTicket && !AcceptsTicket(Request, M.Info.Id))
      return {EndpointOutcome::TicketRefused, Result.ClockMs};
    begin(M, Request, IsUnfenced);
    return Result;
  }

  EndpointResult stop(Machine &M, const TaskKey &Task, int64_t Attempt,
                      int64_t FencingToken) {
    expire(M);
    if (FencingToken < M.FencingToken)
      return {EndpointOutcome::StaleToken, clockOf(M)};
    M.FencingToken = FencingToken;
    M.HighestEnded[Task] = std::max(M.HighestEnded[Task], Attempt);
    auto Found = M.Running.find(Task);
    if (Found != M.Running.end() && Found->second.Attempt <= Attempt)
      Clock.after(StopTime,
                  [this, Id = M.Info.Id, Task, Serial = Found->second.Serial] {
                    end(Id, Task, Serial, RunOutcome::Stopped);
                  });
    return {EndpointOutcome::Done, clockOf(M)};
  }

  RenewResult renew(Machine &M, const RenewRequest &Request) {
    expire(M);
    RenewResult Result;
    Result.ClockMs = clockOf(M);
    Result.IncarnationMs = M.IncarnationMs;
    if (Request.FencingToken < M.FencingToken) {
      Result.Outcome = EndpointOutcome::StaleToken;
      return Result;
    }
    M.FencingToken = Request.FencingToken;
    if (Request.LeaseUntilMs > 0)
      extend(M, Request.LeaseUntilMs);
    acknowledge(M, Request.AcknowledgedEnd);
    for (const auto &[Key, Value] : M.Running)
      Result.Running.push_back({Key, Value.Attempt, Value.Checkpoint,
                                progressOf(M, Key, Value), Value.LoadMetric});
    Result.Ends = M.Ends;
    Result.Outcome = EndpointOutcome::Done;
    return Result;
  }

  /// True if a run of each task of \p Step of \p Job has ended as `Done`.
  bool isDone(const JobId &Job, int32_t Step, int32_t Occurrence = 0) const {
    const JobSpec &Spec = Jobs.at(Job);
    for (int32_t T = 0; T < Spec.Steps[static_cast<size_t>(Step)].Tasks; ++T)
      if (DoneTasks.count({Job, Occurrence, Step, T}) == 0)
        return false;
    return true;
  }

private:
  /// Endpoint, start of its incarnation and number of an ended run.
  using EndId = std::tuple<EndpointId, int64_t, int64_t>;

  /// From the start of a task that crashes its endpoint to the crash.
  static constexpr Duration CrashDelay{3};
  /// A capacity that has shrunk counts after this time: the shortest time until
  /// a process is out of touch, and a beat of the endpoint.
  static constexpr Duration ShrunkRoomCountsAfter{2500};
  /// How long a member of a gang waits for the others.
  static constexpr Duration GangTimeout{5000};
  /// From the end of a member of a gang to that of the others.
  static constexpr Duration GangEndDelay{20};
  /// The owner notices a restart by a failed renewal, after 2 s at most.
  static constexpr Duration TimeToFence{3000};
  static constexpr uint64_t MaxClockStartMs = 9000000;

  int32_t progressOf(const Machine &M, const TaskKey &Task,
                     const Run &Value) const {
    auto Found = Work.find(Task);
    const FakeWork &Plan = Found == Work.end() ? DefaultWork : Found->second;
    if (Plan.RunsUntilStopped)
      return 100;
    if (M.IsStuck)
      return 0;
    return static_cast<int32_t>((Clock.now() - Value.StartedAt).count() * 100 /
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
            " at " + M.Info.Id.str() + " token " +
            std::to_string(M.FencingToken) + " clock " +
            std::to_string(clockOf(M)) + " lease " +
            std::to_string(M.LeaseUntilMs));
  }

  const StepSpec &stepOf(const TaskKey &Task) const {
    return Jobs.at(Task.Job).Steps[static_cast<size_t>(Task.Step)];
  }

  void begin(Machine &M, const StartRequest &Request, bool IsUnfenced) {
    ++Starts;
    trace("start", M, Request.Task, Request.Attempt);
    ++StartsOf[Request.Task];
    const StepSpec &Step = stepOf(Request.Task);
    Resources Used = Step.Need;
    for (const auto &[Key, Value] : M.Running)
      Used += stepOf(Key).Need;
    bool IsInTouch = Clock.now() >= InTouchFrom;
    TimePoint ShrunkSince =
        IsInTouch ? Clock.now() - ShrunkRoomCountsAfter : TimePoint();
    if (!fits(Used, M.roomSince(ShrunkSince)))
      violate("capacity exceeded by", Request.Task);
    for (auto &[Id, Other] : Machines) {
      expire(Other);
      auto Duplicate = Other.Running.find(Request.Task);
      if (Other.IsUp && Duplicate != Other.Running.end() && !IsUnfenced &&
          !Duplicate->second.IsUnfenced)
        violate("concurrent run of", Request.Task);
    }
    if (AcknowledgedDone.count(Request.Task) != 0 && !IsUnfenced)
      violate("start after the acknowledged end of", Request.Task);
    for (const EndId &End : DoneEnds[Request.Task])
      RestartedAfterDone.insert(End);
    for (int32_t Earlier : Step.After)
      if (!isDone(Request.Task.Job, Earlier, Request.Task.Occurrence))
        violate("start before the end of an earlier step:", Request.Task);
    Run Value;
    Value.Attempt = Request.Attempt;
    Value.Checkpoint = Request.Checkpoint;
    Value.Serial = ++NextSerial;
    Value.StartedAt = Clock.now();
    Value.IsUnfenced = IsUnfenced;
    auto Found = Work.find(Request.Task);
    const FakeWork &Plan = Found == Work.end() ? DefaultWork : Found->second;
    if (!Plan.Checkpoint.empty())
      Value.Checkpoint = Plan.Checkpoint;
    M.Running[Request.Task] = Value;
    if (Plan.CrashesEndpoint) {
      if (OnDeadlyStart)
        OnDeadlyStart();
      return crashLater(M.Info.Id);
    }
    if (GangsEndTogether && Step.Gang)
      joinGang(Request.Task, Request.Attempt, Plan.Length);
    bool EndsWithGang = GangsEndTogether && Step.Gang;
    if (Plan.RunsUntilStopped || M.IsStuck || EndsWithGang)
      return;
    bool Fails = M.FailsAll || StartsOf[Request.Task] <= Plan.FailFirst;
    Clock.after(Plan.Length, [this, Id = M.Info.Id, Task = Request.Task,
                              Serial = Value.Serial, Fails] {
      end(Id, Task, Serial, Fails ? RunOutcome::Failed : RunOutcome::Done);
    });
  }

  void crashLater(const EndpointId &Id) {
    Clock.after(CrashDelay, [this, Id] {
      if (!Machines[Id].IsUp)
        return;
      crash(Id);
      if (OnCrash)
        OnCrash(Id);
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

  /// Calls \p Body with the endpoint and task of each run of an attempt of a
  /// gang.
  template <typename Call>
  void forGang(const TaskKey &Member, int64_t Attempt, Call Body) {
    for (auto &[Id, M] : Machines) {
      expire(M);
      std::map<TaskKey, Run> Before = M.Running;
      for (const auto &[Key, Value] : Before)
        if (Key.Job == Member.Job && Key.Occurrence == Member.Occurrence &&
            Key.Step == Member.Step && Value.Attempt == Attempt)
          Body(M, Key);
    }
  }

  int32_t countGang(const TaskKey &Member, int64_t Attempt) {
    int32_t Count = 0;
    forGang(Member, Attempt, [&](Machine &, const TaskKey &) { ++Count; });
    return Count;
  }

  void joinGang(const TaskKey &Member, int64_t Attempt, Duration Length) {
    int32_t Size = stepOf(Member).Tasks;
    bool IsComplete = countGang(Member, Attempt) == Size;
    auto How = IsComplete ? RunOutcome::Done : RunOutcome::GangTimedOut;
    Clock.after(IsComplete ? Length : GangTimeout, [=] {
      // The gang has lost a member, or has become complete since.
      if ((countGang(Member, Attempt) == Size) != IsComplete)
        return;
      forGang(Member, Attempt, [&](Machine &M, const TaskKey &Key) {
        if (IsComplete || Key == Member)
          finish(M, Key, How);
      });
    });
  }

  /// Ends the other members of a gang that has lost one.
  void breakGang(const TaskKey &Member, int64_t Attempt) {
    if (!GangsEndTogether || !stepOf(Member).Gang)
      return;
    Clock.after(GangEndDelay, [=] {
      forGang(Member, Attempt, [&](Machine &M, const TaskKey &Key) {
        finish(M, Key, RunOutcome::GangBroken);
      });
    });
  }

  void finish(Machine &M, const TaskKey &Task, RunOutcome How) {
    auto Found = M.Running.find(Task);
    int64_t Attempt = Found->second.Attempt;
    trace(How == RunOutcome::Done ? "done" : "end", M, Task, Attempt);
    M.HighestEnded[Task] = std::max(M.HighestEnded[Task], Attempt);
    M.Ends.push_back(
        {M.NextEnd++, Task, Attempt, How, Found->second.Checkpoint});
    M.Running.erase(Found);
    if (How != RunOutcome::Done)
      return breakGang(Task, Attempt);
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
      if (End.Outcome != RunOutcome::Done || End.Number <= M.ExpiredUpTo)
        continue;
      AcknowledgedDone.insert(End.Task);
      if (RestartedAfterDone.count({M.Info.Id, M.IncarnationMs, End.Number}) !=
          0)
        violate("end acknowledged after another start of", End.Task);
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
    M.ExpiredUpTo = M.NextEnd - 1;
    std::vector<TaskKey> Lapsed;
    for (const auto &[Key, Value] : M.Running)
      Lapsed.push_back(Key);
    for (const TaskKey &Key : Lapsed)
      finish(M, Key, RunOutcome::LeaseExpired);
  }

  FakeClock &Clock;
  std::minstd_rand ClockStarts{20261206};
  std::set<TaskKey> DoneTasks;
  std::set<TaskKey> AcknowledgedDone;
  std::map<TaskKey, std::vector<EndId>> DoneEnds;
  /// Runs that ended as `Done` before the task was started again.
  std::set<EndId> RestartedAfterDone;
  uint64_t NextSerial = 0;
};

} // namespace teaselwalk::cell::testing
