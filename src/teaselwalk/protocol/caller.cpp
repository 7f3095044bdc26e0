#include "teaselwalk/protocol/caller.hpp"

#include "teaselwalk/protocol/endpoint.hpp"
#include "teaselwalk/protocol/peer.hpp"

#include "field_reader.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::protocol {
namespace {

Resources readSize(FieldReader &Reader, const Resources &Max) {
  Resources Size;
  Size.MilliCpu = Reader.integer("cpu_millis", 1, Max.MilliCpu, "millicores");
  Size.MemoryMb = Reader.integer("memory_mb", 1, Max.MemoryMb, "MB");
  Size.Accelerators =
      Reader.integerOr("accelerators", 0, 0, Max.Accelerators, "accelerators");
  // Callers do not declare these: each task takes one slot and one connection.
  Size.Slots = 1;
  Size.Connections = 1;
  return Size;
}

} // namespace

CallRequest parseCall(const std::string &Body, const CallerBounds &Bounds) {
  FieldReader Reader(Body);
  CallRequest Call;
  Call.Queue = QueueId(Reader.text("queue", 1, Bounds.MaxNameBytes));
  Call.Size = readSize(Reader, Bounds.MaxTask);
  Call.Idempotent = Reader.flagOr("idempotent", false);
  Call.Deadline =
      Duration(Reader.integerOr("deadline_ms", Call.Deadline.count(), 1,
                                Bounds.MaxDeadline.count(), "ms"));
  Call.Payload = Reader.textOr("payload", "", Bounds.MaxPayloadBytes);
  Reader.finish();
  return Call;
}

JobSpec parseJob(const std::string &Body, const CallerBounds &Bounds) {
  FieldReader Reader(Body);
  JobSpec Spec;
  Spec.Name = Reader.text("name", 1, Bounds.MaxNameBytes);
  Spec.Kind = Reader.choice("kind", JobKindNames);
  Spec.Queue = QueueId(Reader.text("queue", 1, Bounds.MaxNameBytes));
  Spec.Tasks = static_cast<uint32_t>(
      Reader.integerOr("tasks", 1, 1, Bounds.MaxTasks, "tasks"));
  Spec.Size = readSize(Reader, Bounds.MaxTask);
  bool IsService = Spec.Kind == JobKind::Service;
  Spec.RunTime = Duration(
      IsService ? Reader.integerOr("run_ms", 0, 0, 0,
                                   "ms (a service has no run time)")
                : Reader.integer("run_ms", 1, Bounds.MaxRunTime.count(), "ms"));
  Spec.Urgent = Reader.flagOr("urgent", false);
  Spec.Idempotent = Reader.flagOr("idempotent", true);
  Spec.Payload = Reader.textOr("payload", "", Bounds.MaxPayloadBytes);
  Reader.finish();
  return Spec;
}

void to_json(nlohmann::json &Json, const JobSpec &Value) {
  Json = {
      {"name", Value.Name},         {"kind", nameOf(JobKindNames, Value.Kind)},
      {"queue", Value.Queue.str()}, {"tasks", Value.Tasks},
      {"size", Value.Size},         {"run_ms", Value.RunTime.count()},
      {"urgent", Value.Urgent},     {"idempotent", Value.Idempotent},
      {"payload", Value.Payload}};
}

void from_json(const nlohmann::json &Json, JobSpec &Value) {
  Json.at("name").get_to(Value.Name);
  Value.Kind = valueOf(JobKindNames, Json.at("kind").get<std::string>())
                   .value_or(JobKind::Batch);
  Value.Queue = QueueId(Json.at("queue").get<std::string>());
  Json.at("tasks").get_to(Value.Tasks);
  Json.at("size").get_to(Value.Size);
  Value.RunTime = Duration(Json.at("run_ms").get<int64_t>());
  Json.at("urgent").get_to(Value.Urgent);
  Json.at("idempotent").get_to(Value.Idempotent);
  Json.at("payload").get_to(Value.Payload);
}

const RefusalRow &rowOf(Refusal Value) {
  for (const RefusalRow &Row : RefusalTable)
    if (Row.Value == Value)
      return Row;
  return RefusalTable.front();
}

void to_json(nlohmann::json &Json, const CallAnswer &Value) {
  Json = {{"request_id", Value.Request.str()},
          {"verdict", toString(Value.Outcome)}};
  if (Value.Reason != Refusal::None) {
    Json["reason"] = rowOf(Value.Reason).Name;
    Json["error"] = Value.Message;
  }
  if (!Value.Field.empty())
    Json["field"] = Value.Field;
  if (!Value.Endpoint.empty())
    Json["endpoint"] = Value.Endpoint.str();
  if (Value.Outcome == Verdict::Ran)
    Json["result"] = Value.Result;
  if (Value.RetryAfter.count() > 0)
    Json["retry_after_ms"] = Value.RetryAfter.count();
}

void from_json(const nlohmann::json &Json, CallAnswer &Value) {
  Value.Request = RequestId(Json.at("request_id").get<std::string>());
  Value.Outcome = valueOf(VerdictNames, Json.at("verdict").get<std::string>())
                      .value_or(Verdict::MayHaveRun);
  Value.Reason = Refusal::None;
  std::string Reason = Json.value("reason", "none");
  for (const RefusalRow &Row : RefusalTable)
    if (Row.Name == Reason)
      Value.Reason = Row.Value;
  Value.Message = Json.value("error", "");
  Value.Field = Json.value("field", "");
  Value.Endpoint = EndpointId(Json.value("endpoint", ""));
  Value.Result = Json.value("result", "");
  Value.RetryAfter = Duration(Json.value("retry_after_ms", int64_t{0}));
}

void to_json(nlohmann::json &Json, const JobStatus &Value) {
  nlohmann::json Tasks = nlohmann::json::array();
  for (const TaskStatus &Task : Value.Tasks)
    Tasks.push_back({{"index", Task.Index},
                     {"state", nameOf(TaskStateNames, Task.State)},
                     {"verdict", toString(Task.Outcome)},
                     {"endpoint", Task.Endpoint.str()},
                     {"attempt", Task.Attempt},
                     {"result", Task.Result}});
  Json = {{"job", Value.Job.str()},
          {"state", nameOf(JobStateNames, Value.State)},
          {"tasks", std::move(Tasks)}};
  if (!Value.Reason.empty())
    Json["reason"] = Value.Reason;
}

} // namespace teaselwalk::protocol
