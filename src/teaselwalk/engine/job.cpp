#include "teaselwalk/engine/job.hpp"

#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <utility>

namespace teaselwalk::engine {
namespace {

constexpr char CallPrefix[] = "call/";

std::optional<uint32_t> parseNumber(std::string_view Text) {
  uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Failure != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

} // namespace

Job makeJob(JobId Id, TeamId Team, protocol::JobSpec Spec) {
  Job Value;
  Value.Id = std::move(Id);
  Value.Team = std::move(Team);
  Value.Spec = std::move(Spec);
  Value.Tasks.resize(Value.Spec.Tasks);
  Value.Unfinished = Value.Tasks.size();
  return Value;
}

std::string requestHash(const TeamId &Team, const RequestId &Request) {
  // The length prefix keeps ("a", "bc") and ("ab", "c") distinct.
  std::string Text =
      std::to_string(Team.str().size()) + ':' + Team.str() + Request.str();
  XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  char Hex[33];
  std::snprintf(Hex, sizeof(Hex), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Hex;
}

JobId makeJobId(const protocol::ShardId &Home, const TeamId &Team,
                const RequestId &Request) {
  return JobId(Home.DataCentre.str() + '.' + std::to_string(Home.Number) + '.' +
               requestHash(Team, Request));
}

std::optional<protocol::ShardId> homeShardOf(const JobId &Id) {
  std::string_view Text = Id.str();
  size_t Last = Text.rfind('.');
  if (Last == std::string_view::npos || Last == 0)
    return std::nullopt;
  size_t Middle = Text.rfind('.', Last - 1);
  if (Middle == std::string_view::npos || Middle == 0)
    return std::nullopt;
  auto Number = parseNumber(Text.substr(Middle + 1, Last - Middle - 1));
  if (!Number)
    return std::nullopt;
  return protocol::ShardId{DataCentreId(std::string(Text.substr(0, Middle))),
                           *Number};
}

TaskId makeTaskId(const JobId &Id, uint32_t Index) {
  return TaskId(Id.str() + '/' + std::to_string(Index));
}

TaskId makeCallTaskId(const RequestId &Request, const ProcessId &Process,
                      uint64_t Sequence) {
  return TaskId(CallPrefix + Request.str() + '/' + Process.str() + '-' +
                std::to_string(Sequence));
}

std::optional<JobTaskRef> jobTaskOf(const TaskId &Id) {
  const std::string &Text = Id.str();
  if (Text.compare(0, sizeof(CallPrefix) - 1, CallPrefix) == 0)
    return std::nullopt;
  size_t Slash = Text.rfind('/');
  if (Slash == std::string::npos)
    return std::nullopt;
  auto Index = parseNumber(std::string_view(Text).substr(Slash + 1));
  if (!Index)
    return std::nullopt;
  return JobTaskRef{JobId(Text.substr(0, Slash)), *Index};
}

protocol::JobStatus statusOf(const Job &Value) {
  protocol::JobStatus Status;
  Status.Job = Value.Id;
  Status.State = Value.State;
  Status.Reason = Value.Reason;
  Status.Tasks.reserve(Value.Tasks.size());
  for (uint32_t Index = 0; Index < Value.Tasks.size(); ++Index) {
    const JobTask &Task = Value.Tasks[Index];
    Status.Tasks.push_back({Index, Task.State, Task.Outcome, Task.Endpoint,
                            Task.StartCount, Task.Result});
  }
  return Status;
}

bool isEnded(protocol::JobState State) {
  return State == protocol::JobState::Finished ||
         State == protocol::JobState::Failed ||
         State == protocol::JobState::Cancelled;
}

} // namespace teaselwalk::engine
