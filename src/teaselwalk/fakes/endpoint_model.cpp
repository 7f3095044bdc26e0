#include "teaselwalk/fakes/endpoint_model.hpp"

#include "task_script.hpp"

#include <algorithm>
#include <utility>

namespace teaselwalk::fakes {

using protocol::AttachCommand;
using protocol::AttemptId;
using protocol::EndpointState;
using protocol::RenewCommand;
using protocol::RunCommand;
using protocol::RunResult;
using protocol::StaleEpoch;
using protocol::StopCommand;
using protocol::StopMode;

namespace {

std::pair<std::string, uint32_t> keyOf(const AttemptId &Id) {
  return {Id.Task.str(), Id.Number};
}

constexpr size_t MaxMarkBytes = 128;

/// Bounded by a week, so that time points cannot overflow.
Duration leaseOf(Duration Asked) {
  return std::clamp(Asked, Duration(0), Duration(604800000));
}

} // namespace

EndpointModel::EndpointModel(EndpointOptions Options)
    : Options(std::move(Options)) {}

StateAnswer EndpointModel::attach(const AttachCommand &Command, TimePoint Now) {
  advance(Now);
  if (!acceptAttach(Command.Owner))
    return StaleEpoch{Held};
  return state(Now);
}

RunAnswer EndpointModel::run(const RunCommand &Command, TimePoint Now) {
  advance(Now);
  if (!accept(Command.Owner))
    return StaleEpoch{Held};
  Key Id = keyOf(Command.Id);
  if (Tasks.count(Id) > 0 || Past.count(Id) > 0)
    return duplicate(Id);
  // The size alone is compared first, so that the sum cannot overflow.
  if (hasNegative(Command.Size) || !fits(Command.Size, Options.Capacity) ||
      !fits(InUse + Command.Size, Options.Capacity)) {
    ++Peak.Refused;
    return RunRefused();
  }
  start(Command, Now);
  advance(Now);
  return RunStarted();
}

RunAnswer EndpointModel::duplicate(const Key &Id) {
  ++Peak.Duplicates;
  if (Tasks.count(Id) > 0)
    return RunDuplicate();
  auto Found = Retained.find(Id);
  if (Found != Retained.end())
    return Found->second;
  return RunForgotten();
}

StateAnswer EndpointModel::renew(const RenewCommand &Command, TimePoint Now) {
  advance(Now);
  if (!accept(Command.Owner))
    return StaleEpoch{Held};
  bool Matches =
      Command.AttemptsHash && *Command.AttemptsHash == runningDigest();
  if (Matches)
    for (auto &[Id, Value] : Tasks)
      Value.LeaseEnd = Now + leaseOf(Command.Lease);
  for (const AttemptId &Id : Command.Tasks) {
    auto Found = Tasks.find(keyOf(Id));
    if (Found != Tasks.end())
      Found->second.LeaseEnd = Now + leaseOf(Command.Lease);
  }
  for (const AttemptId &Id : Command.Acknowledged)
    Retained.erase(keyOf(Id));
  EndpointState Answer = state(Now);
  if (Matches) {
    Answer.Unchanged = true;
    Answer.Capacity = {};
    Answer.Tasks.clear();
  }
  return Answer;
}

uint64_t EndpointModel::runningDigest() const {
  std::vector<AttemptId> Running;
  Running.reserve(Tasks.size());
  for (const auto &[Id, Value] : Tasks)
    Running.push_back(Value.Command.Id);
  return protocol::attemptsHash(std::move(Running));
}

StopAnswer EndpointModel::stop(const StopCommand &Command, TimePoint Now) {
  advance(Now);
  if (!accept(Command.Owner))
    return StaleEpoch{Held};
  Key Id = keyOf(Command.Id);
  auto Found = Tasks.find(Id);
  if (Found != Tasks.end()) {
    if (Command.Mode == StopMode::Throttle)
      Found->second.Throttled = true;
    if (Command.Mode != StopMode::Stop)
      return protocol::StopResult{protocol::StopState::Continues};
    end(Id, Now, RunEnd::Stopped);
    return protocol::StopResult{protocol::StopState::Stopped};
  }
  if (Retained.count(Id) > 0)
    return protocol::StopResult{protocol::StopState::Finished};
  if (Past.count(Id) > 0)
    return protocol::StopResult{protocol::StopState::Stopped};
  if (Command.Mode != StopMode::Stop || Options.Plain)
    return protocol::StopResult{protocol::StopState::Continues};
  // A run command for this attempt that arrives later has no effect.
  Past.insert(Id);
  return protocol::StopResult{protocol::StopState::NeverStarted};
}

void EndpointModel::advance(TimePoint Now) {
  std::vector<std::pair<TimePoint, Key>> Due;
  for (const auto &[Id, Value] : Tasks) {
    TimePoint At =
        Value.End ? std::min(*Value.End, Value.LeaseEnd) : Value.LeaseEnd;
    if (At <= Now)
      Due.emplace_back(At, Id);
  }
  std::sort(Due.begin(), Due.end());
  for (const auto &[At, Id] : Due) {
    const Task &Value = Tasks.at(Id);
    if (!Value.End || *Value.End > Value.LeaseEnd)
      end(Id, At, RunEnd::LeaseExpired);
    else
      end(Id, At, Value.Ok ? RunEnd::Finished : RunEnd::Failed);
  }
}

std::optional<TimePoint> EndpointModel::nextEnd() const {
  std::optional<TimePoint> Next;
  for (const auto &[Id, Value] : Tasks) {
    TimePoint At =
        Value.End ? std::min(*Value.End, Value.LeaseEnd) : Value.LeaseEnd;
    Next = Next ? std::min(*Next, At) : At;
  }
  return Next;
}

std::vector<EndedAttempt> EndpointModel::takeEnded() {
  return std::exchange(Ended, {});
}

void EndpointModel::crash(TimePoint Now) {
  advance(Now);
  while (!Tasks.empty())
    end(Key(Tasks.begin()->first), Now, RunEnd::Crashed);
  Past.clear();
  Retained.clear();
  Held = Epoch();
}

/// Takes over the epoch if it is at least the one held.
/// A higher epoch becomes the one held.
bool EndpointModel::acceptAttach(const Epoch &Owner) {
  if (Owner < Held) {
    ++Peak.StaleCommands;
    if (!Options.Plain)
      return false;
  }
  Held = std::max(Held, Owner);
  return true;
}

/// Only the epoch held may command. After a restart the endpoint holds none, so
/// that an owner learns that its attempts are forgotten.
bool EndpointModel::accept(const Epoch &Owner) {
  if (Owner == Held)
    return true;
  if (Owner < Held)
    ++Peak.StaleCommands;
  return Options.Plain;
}

void EndpointModel::start(const RunCommand &Command, TimePoint Now) {
  TaskScript Script = scriptOf(Command);
  Task Value;
  Value.Command = Command;
  Value.Start = Now;
  Value.LeaseEnd = Now + leaseOf(Command.Lease);
  if (Script.RunTime)
    Value.End = Now + *Script.RunTime;
  Value.Ok = !Script.Fail;
  Value.Result = Script.Result;
  if (Options.FailAll) {
    Value.End = Now;
    Value.Ok = false;
    Value.Result = "the endpoint fails every task";
  }
  Value.LogIndex = Log.size();
  Log.push_back({Command.Id, Command.Team, Command.Size, Command.Owner, Now,
                 std::nullopt, RunEnd::Running, Leaving,
                 Script.Result.substr(0, MaxMarkBytes)});
  InUse += Command.Size;
  for (int64_t Resources::*Field : ResourceFields)
    Peak.Largest.*Field = std::max(Peak.Largest.*Field, InUse.*Field);
  Tasks.emplace(keyOf(Command.Id), std::move(Value));
}

/// A task that was stopped or lost its lease leaves no result: the platform
/// guarantees none.
void EndpointModel::end(const Key &Id, TimePoint At, RunEnd Why) {
  Task Value = std::move(Tasks.at(Id));
  Tasks.erase(Id);
  Past.insert(Id);
  InUse -= Value.Command.Size;
  RunRecord &Record = Log[Value.LogIndex];
  Record.End = At;
  Record.Ended = Why;
  RunResult Result{false, std::string(nameOf(RunEndNames, Why))};
  if (Why == RunEnd::Finished || Why == RunEnd::Failed) {
    Result = {Value.Ok, std::move(Value.Result)};
    if (!Options.Plain)
      Retained[Id] = Result;
  }
  Ended.push_back({Value.Command.Id, Why, std::move(Result)});
}

EndpointState EndpointModel::state(TimePoint Now) const {
  EndpointState State;
  State.Owner = Held;
  State.Capacity = Options.Capacity;
  State.Leaving = Leaving;
  for (const auto &[Id, Value] : Tasks)
    State.Tasks.push_back({Value.Command.Id, Value.Command.Team,
                           Value.Command.Size, usageOf(Value, Now)});
  for (const auto &[Id, Value] : Retained)
    State.Finished.push_back(
        {{TaskId(Id.first), Id.second}, Value.Ok, Value.Result});
  return State;
}

Resources EndpointModel::usageOf(const Task &Value, TimePoint Now) const {
  Resources Usage;
  if (Now - Value.Start < Options.UsageLag)
    return Usage;
  int Percent =
      Value.Throttled ? Options.UsagePercent / 2 : Options.UsagePercent;
  Usage.MilliCpu = Value.Command.Size.MilliCpu * Percent / 100;
  Usage.MemoryMb = Value.Command.Size.MemoryMb * Percent / 100;
  return Usage;
}

} // namespace teaselwalk::fakes
