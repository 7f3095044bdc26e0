#include "teaselwalk/cell/job_progress.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/record_fields.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselwalk::cell {
namespace {

using Json = nlohmann::json;

/// In a record, a task is 0 (never assigned), 1 (done) or an array of attempt,
/// failures, endpoint (empty unless the task may run there), checkpoint (empty:
/// none), crashes and incarnation of the endpoint. Values at the end that are
/// empty or 0 are left out.
Json encodeTask(const TaskProgress &Task) {
  if (Task.Phase == TaskPhase::Done)
    return 1;
  if (Task.Attempt == 0)
    return 0;
  bool MayRun = Task.Phase != TaskPhase::Waiting;
  Json Row = {Task.Attempt, Task.Failures, MayRun ? Task.AssignedTo.str() : ""};
  int64_t IncarnationMs = MayRun ? Task.IncarnationMs : 0;
  bool HasCrashes = Task.Crashes != 0 || IncarnationMs != 0;
  if (!Task.Checkpoint.empty() || HasCrashes)
    Row.push_back(Task.Checkpoint);
  if (HasCrashes)
    Row.push_back(Task.Crashes);
  if (IncarnationMs != 0)
    Row.push_back(IncarnationMs);
  return Row;
}

int32_t countIn(const Json &Value, const char *Name) {
  return static_cast<int32_t>(integerIn(Value, Name, 0, MaxRecordCount));
}

void restoreTask(const Json &Value, TaskProgress &Task) {
  if (Value.is_number()) {
    Task.Phase = integerIn(Value, "tasks", 0, 1) == 1 ? TaskPhase::Done
                                                      : TaskPhase::Waiting;
    return;
  }
  Task.Attempt = integerIn(Value.at(0), "attempt", 1, MaxRecordNumber);
  Task.Failures = countIn(Value.at(1), "failures");
  Task.AssignedTo = EndpointId(Value.at(2).get<std::string>());
  Task.Phase =
      Task.AssignedTo.empty() ? TaskPhase::Waiting : TaskPhase::Assigned;
  if (Value.size() > 3)
    Task.Checkpoint = Value.at(3);
  if (Value.size() > 4)
    Task.Crashes = countIn(Value.at(4), "crashes");
  if (Value.size() > 5)
    Task.IncarnationMs =
        integerIn(Value.at(5), "incarnation", 0, MaxRecordNumber);
}

} // namespace

JobProgress::JobProgress(JobSpec Given) : Spec(std::move(Given)) {
  Occurrences.resize(static_cast<size_t>(Spec.occurrences()));
  for (OccurrenceProgress &Occurrence : Occurrences) {
    Occurrence.Steps.resize(Spec.Steps.size());
    for (size_t I = 0; I < Spec.Steps.size(); ++I)
      Occurrence.Steps[I].Tasks.resize(
          static_cast<size_t>(Spec.Steps[I].Tasks));
    recount(Occurrence);
  }
}

TaskProgress *JobProgress::find(const TaskKey &Key) {
  auto Occurrence = static_cast<size_t>(Key.Occurrence);
  auto Step = static_cast<size_t>(Key.Step);
  auto Index = static_cast<size_t>(Key.Index);
  if (Occurrence >= Occurrences.size() || Step >= Spec.Steps.size() ||
      Index >= Occurrences[Occurrence].Steps[Step].Tasks.size())
    return nullptr;
  return &Occurrences[Occurrence].Steps[Step].Tasks[Index];
}

StepProgress &JobProgress::stateOf(const TaskKey &Key) {
  return Occurrences[static_cast<size_t>(Key.Occurrence)]
      .Steps[static_cast<size_t>(Key.Step)];
}

bool JobProgress::isReady(const OccurrenceProgress &Occurrence,
                          size_t Step) const {
  for (int32_t Earlier : Spec.Steps[Step].After) {
    const StepProgress &State = Occurrence.Steps[static_cast<size_t>(Earlier)];
    if (State.Done < Spec.Steps[static_cast<size_t>(Earlier)].Tasks)
      return false;
  }
  return true;
}

bool JobProgress::mayHaveStarted() const {
  bool HasAssignment = false;
  for (const OccurrenceProgress &Occurrence : Occurrences)
    for (const StepProgress &Step : Occurrence.Steps)
      for (const TaskProgress &Task : Step.Tasks)
        HasAssignment |= Task.Attempt > 0;
  return IsStarted || HasAssignment;
}

bool JobProgress::allDone() const {
  for (const OccurrenceProgress &Occurrence : Occurrences)
    if (static_cast<size_t>(Occurrence.StepsDone) < Spec.Steps.size())
      return false;
  return true;
}

void JobProgress::assign(StepProgress &Step, TaskProgress &Task,
                         const EndpointId &AssignedTo, int64_t Attempt) {
  --Step.Waiting;
  Task.Phase = TaskPhase::Assigned;
  Task.IsStartSent = false;
  Task.IsStopping = false;
  Task.AssignedTo = AssignedTo;
  Task.Attempt = Attempt;
  Task.StartToken = 0;
  Task.IncarnationMs = 0;
  Task.StartConfirmedAt = TimePoint();
  Task.CpuLimitPercent = 100;
  Task.ProgressPercent = 0;
  Task.LoadMetric = 0;
  Task.ObservedSince = TimePoint();
}

void JobProgress::release(StepProgress &Step, TaskProgress &Task) {
  ++Step.Waiting;
  Task.Phase = TaskPhase::Waiting;
  Task.IsStopping = false;
  Task.IsStartSent = false;
}

void JobProgress::complete(OccurrenceProgress &Occurrence, size_t Step,
                           TaskProgress &Task) {
  if (Task.Phase == TaskPhase::Done)
    return;
  StepProgress &State = Occurrence.Steps[Step];
  if (Task.Phase == TaskPhase::Waiting)
    --State.Waiting;
  Task.Phase = TaskPhase::Done;
  ++State.Done;
  if (State.Done == Spec.Steps[Step].Tasks)
    ++Occurrence.StepsDone;
}

std::string JobProgress::encode() const {
  Json Rows = Json::array();
  for (const OccurrenceProgress &Occurrence : Occurrences) {
    Json Steps = Json::array();
    for (const StepProgress &Step : Occurrence.Steps) {
      Json Tasks = Json::array();
      for (const TaskProgress &Task : Step.Tasks)
        Tasks.push_back(encodeTask(Task));
      Steps.push_back(std::move(Tasks));
    }
    Rows.push_back(std::move(Steps));
  }
  Json Document = {{"status", static_cast<int>(Status)}, {"version", Version}};
  if (IsStarted)
    Document["started"] = true;
  if (EndedMs != 0)
    Document["ended"] = EndedMs;
  // An ended job needs its tasks too: a later owner stops those that still run.
  Document["tasks"] = std::move(Rows);
  return Document.dump();
}

void JobProgress::restore(const std::string &Text) {
  try {
    Json Document = Json::parse(Text);
    Status = static_cast<JobPhase>(integerField(
        Document, "status", 0, static_cast<int64_t>(JobPhase::Cancelled)));
    StoredStatus = Status;
    EndedMs = Document.contains("ended")
                  ? integerField(Document, "ended", 0, MaxRecordNumber)
                  : 0;
    IsStarted = Document.value("started", false);
    Version = integerField(Document, "version", 0, MaxRecordNumber);
    StoredVersion = Version;
    const Json &Rows = Document.at("tasks");
    for (size_t K = 0; K < Occurrences.size(); ++K) {
      for (size_t S = 0; S < Spec.Steps.size(); ++S)
        for (size_t T = 0; T < Occurrences[K].Steps[S].Tasks.size(); ++T)
          restoreTask(Rows.at(K).at(S).at(T), Occurrences[K].Steps[S].Tasks[T]);
      recount(Occurrences[K]);
    }
  } catch (const Json::exception &Failure) {
    throw Error("cannot read state record " + Spec.Id.str() + ": " +
                Failure.what());
  }
}

int64_t JobProgress::versionOf(const std::string &Text) {
  try {
    return integerField(Json::parse(Text), "version", 0, MaxRecordNumber);
  } catch (const std::exception &) {
    return 0;
  }
}

void JobProgress::recount(OccurrenceProgress &Occurrence) {
  Occurrence.StepsDone = 0;
  for (StepProgress &Step : Occurrence.Steps) {
    Step.Done = 0;
    Step.Waiting = 0;
    for (const TaskProgress &Task : Step.Tasks) {
      Step.Done += Task.Phase == TaskPhase::Done ? 1 : 0;
      Step.Waiting += Task.Phase == TaskPhase::Waiting ? 1 : 0;
      IsStarted |= Task.Phase == TaskPhase::Done;
    }
    if (static_cast<size_t>(Step.Done) == Step.Tasks.size())
      ++Occurrence.StepsDone;
  }
}

} // namespace teaselwalk::cell
