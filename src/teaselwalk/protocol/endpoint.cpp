#include "teaselwalk/protocol/endpoint.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace teaselwalk {

void to_json(nlohmann::json &Json, const Epoch &Value) {
  Json = {{"counter", Value.Counter}, {"process", Value.Process.str()}};
}

void from_json(const nlohmann::json &Json, Epoch &Value) {
  Value.Counter = Json.at("counter").get<uint64_t>();
  Value.Process = ProcessId(Json.at("process").get<std::string>());
}

void to_json(nlohmann::json &Json, const Resources &Value) {
  Json = {{"cpu_millis", Value.MilliCpu},
          {"memory_mb", Value.MemoryMb},
          {"accelerators", Value.Accelerators},
          {"slots", Value.Slots},
          {"connections", Value.Connections}};
}

void from_json(const nlohmann::json &Json, Resources &Value) {
  Value.MilliCpu = Json.value("cpu_millis", int64_t{0});
  Value.MemoryMb = Json.value("memory_mb", int64_t{0});
  Value.Accelerators = Json.value("accelerators", int64_t{0});
  Value.Slots = Json.value("slots", int64_t{0});
  Value.Connections = Json.value("connections", int64_t{0});
}

namespace protocol {
namespace {

nlohmann::json attemptToJson(const AttemptId &Value) {
  return {{"task", Value.Task.str()}, {"attempt", Value.Number}};
}

AttemptId attemptFromJson(const nlohmann::json &Json) {
  return {TaskId(Json.at("task").get<std::string>()),
          Json.at("attempt").get<uint32_t>()};
}

nlohmann::json attemptsToJson(const std::vector<AttemptId> &Values) {
  nlohmann::json Array = nlohmann::json::array();
  for (const AttemptId &Value : Values)
    Array.push_back(attemptToJson(Value));
  return Array;
}

std::vector<AttemptId> attemptsFromJson(const nlohmann::json &Array) {
  std::vector<AttemptId> Values;
  Values.reserve(Array.size());
  for (const nlohmann::json &Json : Array)
    Values.push_back(attemptFromJson(Json));
  return Values;
}

Duration durationAt(const nlohmann::json &Json, const char *Name) {
  return Duration(Json.at(Name).get<int64_t>());
}

} // namespace

uint64_t attemptsHash(std::vector<AttemptId> Attempts) {
  std::sort(Attempts.begin(), Attempts.end(),
            [](const AttemptId &A, const AttemptId &B) {
              return A.Task != B.Task ? A.Task < B.Task : A.Number < B.Number;
            });
  // Newlines separate the fields, so that different sets never give the same
  // text; task ids contain no newline.
  std::string Text;
  for (const AttemptId &Id : Attempts)
    Text += Id.Task.str() + '\n' + std::to_string(Id.Number) + '\n';
  return XXH3_64bits(Text.data(), Text.size());
}

void to_json(nlohmann::json &Json, const AttachCommand &Value) {
  Json = {{"epoch", Value.Owner}};
}

void from_json(const nlohmann::json &Json, AttachCommand &Value) {
  Json.at("epoch").get_to(Value.Owner);
}

void to_json(nlohmann::json &Json, const RunCommand &Value) {
  Json = attemptToJson(Value.Id);
  Json["epoch"] = Value.Owner;
  Json["team"] = Value.Team.str();
  Json["resources"] = Value.Size;
  Json["lease_ms"] = Value.Lease.count();
  Json["run_ms"] = Value.RunTime.count();
  Json["payload"] = Value.Payload;
  Json["wait"] = Value.Wait;
}

void from_json(const nlohmann::json &Json, RunCommand &Value) {
  Json.at("epoch").get_to(Value.Owner);
  Value.Id = attemptFromJson(Json);
  Value.Team = TeamId(Json.at("team").get<std::string>());
  Json.at("resources").get_to(Value.Size);
  Value.Lease = durationAt(Json, "lease_ms");
  Value.RunTime = durationAt(Json, "run_ms");
  Json.at("payload").get_to(Value.Payload);
  Json.at("wait").get_to(Value.Wait);
}

void to_json(nlohmann::json &Json, const RenewCommand &Value) {
  Json = {{"epoch", Value.Owner},
          {"lease_ms", Value.Lease.count()},
          {"tasks", attemptsToJson(Value.Tasks)},
          {"ack", attemptsToJson(Value.Acknowledged)}};
  if (Value.AttemptsHash)
    Json["digest"] = *Value.AttemptsHash;
}

void from_json(const nlohmann::json &Json, RenewCommand &Value) {
  Json.at("epoch").get_to(Value.Owner);
  Value.Lease = durationAt(Json, "lease_ms");
  Value.Tasks = attemptsFromJson(Json.at("tasks"));
  Value.Acknowledged = attemptsFromJson(Json.at("ack"));
  Value.AttemptsHash.reset();
  if (Json.contains("digest"))
    Value.AttemptsHash = Json.at("digest").get<uint64_t>();
}

void to_json(nlohmann::json &Json, const StopCommand &Value) {
  Json = attemptToJson(Value.Id);
  Json["epoch"] = Value.Owner;
  Json["mode"] = nameOf(StopModeNames, Value.Mode);
}

void from_json(const nlohmann::json &Json, StopCommand &Value) {
  Json.at("epoch").get_to(Value.Owner);
  Value.Id = attemptFromJson(Json);
  auto Mode = valueOf(StopModeNames, Json.at("mode").get<std::string>());
  if (!Mode)
    throw InvalidInput("mode", "must be checkpoint, throttle or stop");
  Value.Mode = *Mode;
}

void to_json(nlohmann::json &Json, const StopResult &Value) {
  Json = {{"state", nameOf(StopStateNames, Value.State)}};
}

void from_json(const nlohmann::json &Json, StopResult &Value) {
  auto State = valueOf(StopStateNames, Json.at("state").get<std::string>());
  if (!State)
    throw InvalidInput("state",
                       "must be never_started, stopped, finished or continues");
  Value.State = *State;
}

void to_json(nlohmann::json &Json, const EndpointState &Value) {
  nlohmann::json Tasks = nlohmann::json::array();
  for (const RunningTask &Task : Value.Tasks) {
    nlohmann::json Row = attemptToJson(Task.Id);
    Row["team"] = Task.Team.str();
    Row["resources"] = Task.Reserved;
    Row["usage"] = Task.Usage;
    Tasks.push_back(std::move(Row));
  }
  nlohmann::json Finished = nlohmann::json::array();
  for (const FinishedTask &Task : Value.Finished) {
    nlohmann::json Row = attemptToJson(Task.Id);
    Row["ok"] = Task.Ok;
    Row["result"] = Task.Result;
    Finished.push_back(std::move(Row));
  }
  Json = {{"epoch", Value.Owner},
          {"leaving", Value.Leaving},
          {"finished", std::move(Finished)}};
  if (Value.Unchanged) {
    Json["unchanged"] = true;
    return;
  }
  Json["capacity"] = Value.Capacity;
  Json["tasks"] = std::move(Tasks);
}

void from_json(const nlohmann::json &Json, EndpointState &Value) {
  Json.at("epoch").get_to(Value.Owner);
  Json.at("leaving").get_to(Value.Leaving);
  Value.Unchanged = Json.value("unchanged", false);
  Value.Capacity = {};
  Value.Tasks.clear();
  if (!Value.Unchanged)
    Json.at("capacity").get_to(Value.Capacity);
  const nlohmann::json Running =
      Value.Unchanged ? nlohmann::json::array() : Json.at("tasks");
  for (const nlohmann::json &Row : Running) {
    RunningTask Task;
    Task.Id = attemptFromJson(Row);
    Task.Team = TeamId(Row.at("team").get<std::string>());
    Row.at("resources").get_to(Task.Reserved);
    if (Row.contains("usage"))
      Row.at("usage").get_to(Task.Usage);
    Value.Tasks.push_back(std::move(Task));
  }
  Value.Finished.clear();
  for (const nlohmann::json &Row : Json.at("finished"))
    Value.Finished.push_back({attemptFromJson(Row), Row.at("ok").get<bool>(),
                              Row.at("result").get<std::string>()});
}

void to_json(nlohmann::json &Json, const RunResult &Value) {
  Json = {{"ok", Value.Ok}, {"result", Value.Result}};
}

void from_json(const nlohmann::json &Json, RunResult &Value) {
  Json.at("ok").get_to(Value.Ok);
  Json.at("result").get_to(Value.Result);
}

void to_json(nlohmann::json &Json, const StaleEpoch &Value) {
  Json = {{"epoch", Value.Owner}};
}

void from_json(const nlohmann::json &Json, StaleEpoch &Value) {
  Json.at("epoch").get_to(Value.Owner);
}

} // namespace protocol
} // namespace teaselwalk
