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

/// Messages between the owner of an endpoint and the endpoint.
namespace teaselwalk::protocol {

/// One attempt to run a task. Unique over the life of the cluster.
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
  Resources Reserved; ///< As declared by the owner.
  Resources Usage;    ///< As measured, with a lag; zero when unknown.
};

/// A task that has ended and whose result the owner has not acknowledged.
struct FinishedTask {
  AttemptId Id;
  bool Ok = false;
  std::string Result;
};

/// `POST /attach`: become the owner under `Owner` if it is higher than the
/// epoch that the endpoint holds.
struct AttachCommand {
  Epoch Owner;
};

/// `POST /run`: start a task under a lease.
struct RunCommand {
  Epoch Owner;
  AttemptId Id;
  TeamId Team;
  Resources Size;
  Duration Lease{0};   ///< The task ends when no renewal arrives for so long.
  Duration RunTime{0}; ///< Declared run time; zero for a service.
  std::string Payload;
  bool Wait = false; ///< Answer at the task's end (quick calls) or its start.
};

/// `POST /renew`: extend the leases of `Tasks`, drop acknowledged results and
/// report the state.
///
/// With `AttemptsHash`, `Tasks` is empty and the command stands for exactly the
/// attempts that the hash was made from: an endpoint that runs these extends
/// their leases and answers `Unchanged`, any other extends none and answers
/// with its whole state. An endpoint that does not know the field also extends
/// none, so the owner names the tasks in the next renewal.
struct RenewCommand {
  Epoch Owner;
  Duration Lease{0};
  std::vector<AttemptId> Tasks;
  std::vector<AttemptId> Acknowledged;
  std::optional<uint64_t> AttemptsHash;
};

/// Hash of a set of attempts, which does not depend on their order.
uint64_t attemptsHash(std::vector<AttemptId> Attempts);

/// How a task is asked to use less.
enum class StopMode { Checkpoint, Throttle, Stop };

constexpr std::array<EnumName<StopMode>, 3> StopModeNames = {{
    {StopMode::Checkpoint, "checkpoint"},
    {StopMode::Throttle, "throttle"},
    {StopMode::Stop, "stop"},
}};

/// `POST /stop`. With mode Stop, an attempt that the endpoint does not know is
/// refused for ever after: a run command that is still on its way then has no
/// effect.
struct StopCommand {
  Epoch Owner;
  AttemptId Id;
  StopMode Mode = StopMode::Stop;
};

/// What the endpoint knows of the attempt named by a stop command.
enum class StopState { NeverStarted, Stopped, Finished, Continues };

constexpr std::array<EnumName<StopState>, 4> StopStateNames = {{
    {StopState::NeverStarted, "never_started"},
    {StopState::Stopped, "stopped"},
    {StopState::Finished, "finished"},
    {StopState::Continues, "continues"}, // Throttled, or still checkpointing.
}};

/// Answer to stop.
struct StopResult {
  StopState State = StopState::Stopped;
};

/// Answer to attach and renew: the whole state of the endpoint. `Unchanged`
/// answers a matching hash; capacity and tasks are then left out.
struct EndpointState {
  Epoch Owner; ///< The epoch that the endpoint holds now.
  bool Unchanged = false;
  Resources Capacity;
  bool Leaving = false;
  std::vector<RunningTask> Tasks;
  std::vector<FinishedTask> Finished;
};

/// Answer to run with `Wait`, and to a duplicate of a finished attempt.
struct RunResult {
  bool Ok = false;
  std::string Result;
};

/// Answer 409: the command's epoch is lower than `Owner`.
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
/// Absent fields are zero.
void from_json(const nlohmann::json &Json, Resources &Value);
} // namespace teaselwalk
