#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/epoch.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages between an endpoint and its owner, the process that schedules tasks
/// on it. Each command carries the owner's fencing epoch.
namespace teaselwalk::protocol {

/// Identifies one attempt to run a task; never reused in a cluster.
struct AttemptId {
  TaskId Task;
  uint32_t Number = 1; ///< Counts from 1.

  friend bool operator==(const AttemptId &A, const AttemptId &B) {
    return A.Task == B.Task && A.Number == B.Number;
  }
};

/// A task that an endpoint is running.
struct RunningTask {
  AttemptId Id;
  TeamId Team;
  Resources Reserved; ///< The size in the owner's run command.
  Resources Usage;    ///< Measured usage, which lags; zero when unknown.
};

/// A task that has ended and whose result the owner has not acknowledged.
struct FinishedTask {
  AttemptId Id;
  bool Ok = false;
  std::string Result;
};

/// `POST /attach`: makes the sender the owner under epoch `Owner`, unless the
/// endpoint holds a higher epoch.
struct AttachCommand {
  Epoch Owner;
};

/// `POST /run`: starts a task under a lease.
struct RunCommand {
  Epoch Owner;
  AttemptId Id;
  TeamId Team;
  Resources Size;
  Duration Lease{0};   ///< The task is ended if not renewed for this long.
  Duration RunTime{0}; ///< Declared run time; zero for a service.
  std::string Payload;
  bool Wait = false; ///< Answer when the task ends (quick calls), not when it
                     ///< starts.
};

/// `POST /renew`: extends the leases of `Tasks`, drops the results of the
/// attempts in `Acknowledged` and reports the state of the endpoint.
///
/// With `AttemptsHash`, `Tasks` is empty and the hash stands for the whole set
/// of attempts that the owner believes to be running. An endpoint that runs
/// exactly this set extends their leases and answers `Unchanged`; any other
/// extends none and answers with its full state. An endpoint that does not
/// support the field also extends none, so the owner lists the tasks in the
/// next renewal.
struct RenewCommand {
  Epoch Owner;
  Duration Lease{0};
  std::vector<AttemptId> Tasks;
  std::vector<AttemptId> Acknowledged;
  std::optional<uint64_t> AttemptsHash;
};

/// Hash of a set of attempts, independent of their order. The owner and the
/// endpoint must compute the same value.
uint64_t attemptsHash(std::vector<AttemptId> Attempts);

/// What a stop command asks of a task: to checkpoint, to use less, or to end.
enum class StopMode { Checkpoint, Throttle, Stop };

constexpr std::array<EnumName<StopMode>, 3> StopModeNames = {{
    {StopMode::Checkpoint, "checkpoint"},
    {StopMode::Throttle, "throttle"},
    {StopMode::Stop, "stop"},
}};

/// `POST /stop`. With mode Stop, the endpoint remembers an attempt that it does
/// not know and never starts it, so that a delayed run command that arrives
/// after the stop has no effect.
struct StopCommand {
  Epoch Owner;
  AttemptId Id;
  StopMode Mode = StopMode::Stop;
};

/// State of the attempt that a stop command names. Finished means that the
/// attempt has ended and its result is not yet acknowledged.
enum class StopState { NeverStarted, Stopped, Finished, Continues };

constexpr std::array<EnumName<StopState>, 4> StopStateNames = {{
    {StopState::NeverStarted, "never_started"},
    {StopState::Stopped, "stopped"},
    {StopState::Finished, "finished"},
    {StopState::Continues, "continues"}, // Throttled or checkpointing.
}};

/// Answer to a `StopCommand`.
struct StopResult {
  StopState State = StopState::Stopped;
};

/// Answer to an `AttachCommand` or a `RenewCommand`: the full state of the
/// endpoint. `Unchanged` says that `AttemptsHash` matched; capacity and running
/// tasks are then left out.
struct EndpointState {
  Epoch Owner; ///< The epoch that the endpoint holds now.
  bool Unchanged = false;
  Resources Capacity;
  bool Leaving = false; ///< Receives no new work; running work continues.
  std::vector<RunningTask> Tasks;
  std::vector<FinishedTask> Finished;
};

/// Result of an attempt: the answer to a `RunCommand` with `Wait`, or to a
/// repeated one whose attempt has finished.
struct RunResult {
  bool Ok = false;
  std::string Result;
};

/// Answer with status 409: the endpoint does not accept the epoch of the
/// command. `Owner` is the epoch that it holds: a higher one, or a lower one if
/// the endpoint has restarted and forgotten its owner.
struct StaleEpoch {
  Epoch Owner;
};

void to_json(nlohmann::json &Json, const AttachCommand &Value);
void from_json(const nlohmann::json &Json, AttachCommand &Value);
void to_json(nlohmann::json &Json, const RunCommand &Value);
void from_json(const nlohmann::json &Json, RunCommand &Value);
void to_json(nlohmann::json &Json, const RenewCommand &Value);
void from_json(const nlohmann::json &Json, RenewCommand &Value);
void to_json(nlohmann::json &Json, const StopCommand &Value);
void from_json(const nlohmann::json &Json, StopCommand &Value);
void to_json(nlohmann::json &Json, const StopResult &Value);
void from_json(const nlohmann::json &Json, StopResult &Value);
void to_json(nlohmann::json &Json, const EndpointState &Value);
void from_json(const nlohmann::json &Json, EndpointState &Value);
void to_json(nlohmann::json &Json, const RunResult &Value);
void from_json(const nlohmann::json &Json, RunResult &Value);
void to_json(nlohmann::json &Json, const StaleEpoch &Value);
void from_json(const nlohmann::json &Json, StaleEpoch &Value);

} // namespace teaselwalk::protocol

namespace teaselwalk {
void to_json(nlohmann::json &Json, const Epoch &Value);
void from_json(const nlohmann::json &Json, Epoch &Value);
void to_json(nlohmann::json &Json, const Resources &Value);
/// Absent fields are read as zero.
void from_json(const nlohmann::json &Json, Resources &Value);
} // namespace teaselwalk
