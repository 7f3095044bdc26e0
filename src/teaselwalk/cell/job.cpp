#include "teaselwalk/cell/job.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/record_fields.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselwalk::cell {
namespace {

using Json = nlohmann::json;

constexpr size_t MaxPayloadBytes = 4000;
constexpr size_t MaxSteps = 64;
constexpr int32_t MaxTasksPerStep = 10000;
constexpr int32_t MaxRepetitions = 10000;

void checkStep(const StepSpec &Step, size_t Index,
               std::vector<FieldError> &Mistakes) {
  std::string At = "steps[" + std::to_string(Index) + "]";
  if (Step.Tasks < 1 || Step.Tasks > MaxTasksPerStep)
    Mistakes.push_back({At + ".tasks", "must be 1 to 10000"});
  if (hasNegative(Step.Need))
    Mistakes.push_back({At + ".need", "must not be negative"});
  for (int32_t Earlier : Step.After)
    if (Earlier < 0 || static_cast<size_t>(Earlier) >= Index)
      Mistakes.push_back({At + ".after", "must name earlier steps"});
  if (Step.MaxPerEndpoint < 0)
    Mistakes.push_back({At + ".max_per_endpoint", "must not be negative"});
}

Json encodeStep(const StepSpec &Step) {
  Json Row = {{"tasks", Step.Tasks},
              {"cpu", Step.Need.MilliCpu},
              {"memory", Step.Need.MemoryMb},
              {"estimate", Step.Estimate.count()}};
  if (Step.Need.Accelerators > 0)
    Row["accelerators"] = Step.Need.Accelerators;
  if (!Step.After.empty())
    Row["after"] = Step.After;
  if (!Step.RequiredLabel.empty())
    Row["label"] = Step.RequiredLabel;
  if (!Step.DataRack.empty())
    Row["rack"] = Step.DataRack;
  if (!Step.Image.empty())
    Row["image"] = Step.Image;
  if (Step.MaxPerEndpoint > 0)
    Row["per_endpoint"] = Step.MaxPerEndpoint;
  if (Step.MaxUnavailable > 0)
    Row["unavailable"] = Step.MaxUnavailable;
  if (Step.TailTarget.count() > 0)
    Row["tail"] = Step.TailTarget.count();
  int Flags = (Step.Checkpoints ? 1 : 0) | (Step.Gang ? 2 : 0) |
              (Step.OneRack ? 4 : 0) | (Step.Speculative ? 8 : 0) |
              (Step.Service ? 16 : 0) | (Step.Opportunistic ? 32 : 0);
  if (Flags != 0)
    Row["flags"] = Flags;
  return Row;
}

int64_t numberOr(const Json &Record, const char *Name, int64_t Default) {
  return Record.contains(Name) ? integerField(Record, Name, 0, MaxRecordNumber)
                               : Default;
}

int32_t countField(const Json &Record, const char *Name) {
  return static_cast<int32_t>(integerField(Record, Name, 0, MaxRecordCount));
}

int32_t countOr(const Json &Record, const char *Name, int32_t Default) {
  return Record.contains(Name) ? countField(Record, Name) : Default;
}

StepSpec decodeStep(const Json &Row) {
  StepSpec Step;
  Step.Tasks = countField(Row, "tasks");
  Step.Need.MilliCpu = integerField(Row, "cpu", 0, MaxRecordNumber);
  Step.Need.MemoryMb = integerField(Row, "memory", 0, MaxRecordNumber);
  Step.Need.Accelerators = numberOr(Row, "accelerators", 0);
  Step.Estimate = Duration(
      integerField(Row, "estimate", -MaxRecordNumber, MaxRecordNumber));
  Step.After = Row.value("after", std::vector<int32_t>());
  Step.RequiredLabel = Row.value("label", "");
  Step.DataRack = Row.value("rack", "");
  Step.Image = Row.value("image", "");
  Step.MaxPerEndpoint = countOr(Row, "per_endpoint", 0);
  Step.MaxUnavailable = countOr(Row, "unavailable", 0);
  Step.TailTarget = Duration(numberOr(Row, "tail", 0));
  int Flags = countOr(Row, "flags", 0);
  Step.Checkpoints = (Flags & 1) != 0;
  Step.Gang = (Flags & 2) != 0;
  Step.OneRack = (Flags & 4) != 0;
  Step.Speculative = (Flags & 8) != 0;
  Step.Service = (Flags & 16) != 0;
  Step.Opportunistic = (Flags & 32) != 0;
  return Step;
}

Json encodePolicy(const QueuePolicy &Policy) {
  Json Row = {{"service", Policy.Service},
              {"priority", Policy.Priority},
              {"attempts", Policy.MaxAttempts},
              {"slack", Policy.SlackFactor},
              {"target", Policy.Target.count()}};
  if (Policy.NeedsAdvice)
    Row["advice"] = {Policy.AdviceBase.count(), Policy.AdvicePerEndpointMs,
                     Policy.TicketValidity.count()};
  return Row;
}

QueuePolicy decodePolicy(const Json &Row) {
  QueuePolicy Policy;
  Policy.Service = Row.at("service");
  Policy.Priority = static_cast<int32_t>(
      integerField(Row, "priority", -MaxRecordCount, MaxRecordCount));
  Policy.MaxAttempts = static_cast<int32_t>(
      integerField(Row, "attempts", -MaxRecordCount, MaxRecordCount));
  Policy.SlackFactor = Row.at("slack");
  Policy.Target = Duration(integerField(Row, "target", 0, MaxRecordNumber));
  auto Advice = Row.find("advice");
  if (Advice == Row.end())
    return Policy;
  Policy.NeedsAdvice = true;
  Policy.AdviceBase =
      Duration(integerIn(Advice->at(0), "advice", 0, MaxRecordNumber));
  Policy.AdvicePerEndpointMs = Advice->at(1);
  Policy.TicketValidity =
      Duration(integerIn(Advice->at(2), "advice", 0, MaxRecordNumber));
  return Policy;
}

} // namespace

std::string textOf(const TaskKey &Key) {
  return std::to_string(Key.Occurrence) + '.' + std::to_string(Key.Step) + '.' +
         std::to_string(Key.Index);
}

void validate(const JobSpec &Job) {
  std::vector<FieldError> Mistakes;
  if (Job.Payload.size() > MaxPayloadBytes)
    Mistakes.push_back({"payload", "must have at most 4000 bytes"});
  if (Job.Steps.empty() || Job.Steps.size() > MaxSteps)
    Mistakes.push_back({"steps", "must have 1 to 64 entries"});
  if (Job.Repetitions < 0 || Job.Repetitions > MaxRepetitions)
    Mistakes.push_back({"repetitions", "must be 0 to 10000"});
  if (Job.IntervalMs < 0)
    Mistakes.push_back({"interval", "must not be negative"});
  for (size_t I = 0; I < Job.Steps.size(); ++I)
    checkStep(Job.Steps[I], I, Mistakes);
  if (!Mistakes.empty())
    throw InvalidInput(std::move(Mistakes));
}

size_t JobSpec::tasksPerOccurrence() const {
  size_t Count = 0;
  for (const StepSpec &Step : Steps)
    Count += static_cast<size_t>(Step.Tasks);
  return Count;
}

std::vector<Duration> chainsFrom(const JobSpec &Job) {
  std::vector<Duration> Chains(Job.Steps.size(), Duration(0));
  for (size_t I = Job.Steps.size(); I-- > 0;) {
    Chains[I] += Job.Steps[I].Estimate;
    for (int32_t Earlier : Job.Steps[I].After) {
      Duration &Before = Chains[static_cast<size_t>(Earlier)];
      Before = std::max(Before, Chains[I]);
    }
  }
  return Chains;
}

Duration longestChain(const JobSpec &Job) {
  Duration Longest{0};
  for (Duration Chain : chainsFrom(Job))
    Longest = std::max(Longest, Chain);
  return Longest;
}

std::string encodeJob(const JobSpec &Job) {
  Json Steps = Json::array();
  for (const StepSpec &Step : Job.Steps)
    Steps.push_back(encodeStep(Step));
  Json Document = {
      {"queue", Job.Queue},         {"team", Job.Team},
      {"payload", Job.Payload},     {"steps", std::move(Steps)},
      {"accepted", Job.AcceptedMs}, {"policy", encodePolicy(Job.Policy)}};
  if (Job.Repetitions > 0)
    Document["schedule"] = {Job.Repetitions, Job.FirstStartMs, Job.IntervalMs};
  return Document.dump();
}

JobSpec decodeJob(const JobId &Id, const std::string &Text) {
  try {
    Json Document = Json::parse(Text);
    JobSpec Job;
    Job.Id = Id;
    Job.Queue = Document.at("queue");
    Job.Team = Document.at("team");
    Job.Payload = Document.at("payload");
    for (const Json &Row : Document.at("steps"))
      Job.Steps.push_back(decodeStep(Row));
    Job.AcceptedMs = integerField(Document, "accepted", 0, MaxRecordNumber);
    Job.Policy = decodePolicy(Document.at("policy"));
    auto Schedule = Document.find("schedule");
    if (Schedule != Document.end()) {
      Job.Repetitions = static_cast<int32_t>(
          integerIn(Schedule->at(0), "schedule", 0, MaxRecordCount));
      Job.FirstStartMs =
          integerIn(Schedule->at(1), "schedule", 0, MaxRecordNumber);
      Job.IntervalMs =
          integerIn(Schedule->at(2), "schedule", 0, MaxRecordNumber);
    }
    validate(Job);
    return Job;
  } catch (const Json::exception &Failure) {
    throw Error("cannot read job record " + Id.str() + ": " + Failure.what());
  }
}

} // namespace teaselwalk::cell
