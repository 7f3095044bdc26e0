#include "teaselwalk/cell/job_progress.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/base/json_text.hpp"
#include "teaselwalk/cell/record_fields.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <optional>

namespace teaselwalk::cell {
namespace {

using Json = nlohmann::json;

/// A job has at most this many open tasks before another occurrence is opened.
constexpr size_t MaxOpenTasks = 10000;
/// Shorter runs of equal tasks are not shorter as a pair.
constexpr size_t MinPairLength = 3;
/// Elements of the pair that stands for a run of equal tasks.
constexpr size_t PairSize = 2;

void encodeSuspected(JsonText &Out, const TaskProgress &Task) {
  Out.beginArray();
  for (const SuspectedCrash &Each : Task.SuspectedCrashes)
    Out.beginArray()
        .text(Each.Endpoint.str())
        .integer(Each.IncarnationMs)
        .integer(Each.Attempt)
        .boolean(Each.HasCommonCause)
        .endArray();
  Out.endArray();
}

/// The number that stands for \p Task in a record: 0 (never assigned) or 1
/// (done). Nothing if the task has an array.
std::optional<int> numberOf(const TaskProgress &Task) {
  if (Task.Phase == TaskPhase::Done)
    return 1;
  if (Task.Attempt == 0)
    return 0;
  return std::nullopt;
}

/// In a record, any other task is an array of attempt, failures, endpoint
/// (empty unless the task may run there), checkpoint (empty: none), crashes,
/// incarnation of the endpoint, suspected crashes, each as endpoint,
/// incarnation, attempt and whether it has a common cause with others, and 1 if
/// the run may have a longer lease than usual. Values at the end that are empty
/// or 0 are left out.
void encodeTask(JsonText &Out, const TaskProgress &Task, bool WithCheckpoint) {
  bool MayRun = Task.Phase != TaskPhase::Waiting;
  int64_t IncarnationMs = MayRun ? Task.IncarnationMs : 0;
  bool HasLongLease = MayRun && Task.MayHaveLongLease;
  bool HasSuspicions = HasLongLease || !Task.SuspectedCrashes.empty();
  bool HasIncarnation = IncarnationMs != 0 || HasSuspicions;
  bool HasCrashes = Task.Crashes != 0 || HasIncarnation;
  bool HasCheckpoint = WithCheckpoint && !Task.Checkpoint.empty();
  Out.beginArray().integer(Task.Attempt).integer(Task.Failures);
  Out.text(MayRun ? Task.AssignedTo.str() : "");
  if (HasCheckpoint || HasCrashes)
    Out.text(HasCheckpoint ? Task.Checkpoint : "");
  if (HasCrashes)
    Out.integer(Task.Crashes);
  if (HasIncarnation)
    Out.integer(IncarnationMs);
  if (HasSuspicions)
    encodeSuspected(Out, Task);
  if (HasLongLease)
    Out.integer(1);
  Out.endArray();
}

/// A run of tasks that are all 0 or all 1 is a pair of this number and the
/// length of the run.
void encodeRun(JsonText &Out, int Value, size_t Length) {
  if (Length >= MinPairLength) {
    Out.beginArray()
        .integer(Value)
        .integer(static_cast<int64_t>(Length))
        .endArray();
    return;
  }
  for (size_t I = 0; I < Length; ++I)
    Out.integer(Value);
}

void encodeTasks(JsonText &Out, const std::vector<TaskProgress> &Tasks,
                 bool WithCheckpoints) {
  Out.beginArray();
  int RunValue = 0;
  size_t RunLength = 0;
  for (const TaskProgress &Task : Tasks) {
    std::optional<int> Number = numberOf(Task);
    if (Number == RunValue) {
      ++RunLength;
      continue;
    }
    encodeRun(Out, RunValue, RunLength);
    RunLength = 0;
    if (Number) {
      RunValue = *Number;
      RunLength = 1;
    } else {
      encodeTask(Out, Task, WithCheckpoints);
    }
  }
  encodeRun(Out, RunValue, RunLength);
  Out.endArray();
}

int32_t countIn(const Json &Value, const char *Name) {
  return static_cast<int32_t>(integerIn(Value, Name, 0, MaxRecordCount));
}

SuspectedCrash suspectedCrashOf(const Json &Row) {
  return {EndpointId(Row.at(0).get<std::string>()),
          integerIn(Row.at(1), "incarnation", 0, MaxRecordNumber),
          integerIn(Row.at(2), "attempt", 1, MaxRecordNumber), TimePoint(),
          Row.at(3).get<bool>()};
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
  if (Value.size() > 6)
    for (const Json &Row : Value.at(6))
      Task.SuspectedCrashes.push_back(suspectedCrashOf(Row));
  if (Value.size() > 7)
    Task.MayHaveLongLease = integerIn(Value.at(7), "long lease", 0, 1) == 1;
}

void restoreTasks(const Json &Rows, std::vector<TaskProgress> &Tasks) {
  size_t Next = 0;
  for (const Json &Row : Rows) {
    bool IsPair = Row.is_array() && Row.size() == PairSize;
    auto Length = static_cast<size_t>(
        IsPair ? integerIn(Row.at(1), "tasks", 1, MaxRecordCount) : 1);
    if (Length > Tasks.size() - Next)
      throw Error("a step has more tasks than its job");
    for (size_t I = 0; I < Length; ++I)
      restoreTask(IsPair ? Row.at(0) : Row, Tasks[Next++]);
  }
  if (Next < Tasks.size())
    throw Error("a step has fewer tasks than its job");
}

bool isUntouched(const OccurrenceProgress &Occurrence) {
  for (const StepProgress &Step : Occurrence.Steps)
    for (const TaskProgress &Task : Step.Tasks)
      if (Task.Attempt > 0 || Task.Phase == TaskPhase::Done)
        return false;
  return true;
}

} // namespace

bool TaskProgress::hasTooManyCrashes(TimePoint Limit) const {
  int32_t Suspected = 0;
  int32_t Unexplained = 0;
  for (const SuspectedCrash &Each : SuspectedCrashes)
    if (Each.Since < Limit) {
      ++Suspected;
      Unexplained += Each.HasCommonCause ? 0 : 1;
    }
  return (Unexplained > 0 && Crashes + Unexplained >= CrashesToGiveUp) ||
         Crashes + Suspected >= MaxCrashes;
}

SuspectedCrash *TaskProgress::suspectedCrash(const EndpointId &Endpoint) {
  auto Found = std::find_if(
      SuspectedCrashes.begin(), SuspectedCrashes.end(),
      [&](const SuspectedCrash &Each) { return Each.Endpoint == Endpoint; });
  return Found == SuspectedCrashes.end() ? nullptr : &*Found;
}

int32_t StepProgress::restarting() const {
  return static_cast<int32_t>(
      std::count_if(Tasks.begin(), Tasks.end(), [](const TaskProgress &Task) {
        return Task.Phase == TaskPhase::Waiting && Task.Attempt > 0;
      }));
}

JobProgress::JobProgress(JobSpec Given)
    : Spec(std::move(Given)), ChainFrom(chainsFrom(Spec)) {
  if (Spec.Repetitions == 0)
    open(0);
}

void JobProgress::open(int32_t Number) {
  OccurrenceProgress &Occurrence = Occurrences[Number];
  Occurrence.Steps.resize(Spec.Steps.size());
  for (size_t I = 0; I < Spec.Steps.size(); ++I)
    Occurrence.Steps[I].Tasks.resize(static_cast<size_t>(Spec.Steps[I].Tasks));
  recount(Occurrence);
  NextOccurrence = std::max(NextOccurrence, Number + 1);
}

void JobProgress::openDue(int64_t WallMs) {
  size_t Tasks = Spec.tasksPerOccurrence();
  while (NextOccurrence < Spec.occurrences() &&
         WallMs >= dueMs(NextOccurrence) &&
         Occurrences.size() * Tasks < MaxOpenTasks)
    open(NextOccurrence);
}

std::vector<int32_t> JobProgress::closeEnded() {
  std::vector<int32_t> Closed;
  // The only run of a job is dropped with the job.
  if (Spec.Repetitions == 0)
    return Closed;
  for (auto It = Occurrences.begin(); It != Occurrences.end();) {
    bool HasEnded =
        static_cast<size_t>(It->second.StepsDone) == Spec.Steps.size() &&
        It->second.ReservedTasks == 0;
    if (HasEnded)
      Closed.push_back(It->first);
    It = HasEnded ? Occurrences.erase(It) : std::next(It);
  }
  return Closed;
}

TaskProgress *JobProgress::find(const TaskKey &Key) {
  auto Occurrence = Occurrences.find(Key.Occurrence);
  auto Step = static_cast<size_t>(Key.Step);
  auto Index = static_cast<size_t>(Key.Index);
  if (Occurrence == Occurrences.end() || Step >= Spec.Steps.size() ||
      Index >= Occurrence->second.Steps[Step].Tasks.size())
    return nullptr;
  return &Occurrence->second.Steps[Step].Tasks[Index];
}

StepProgress &JobProgress::stateOf(const TaskKey &Key) {
  return Occurrences.at(Key.Occurrence).Steps[static_cast<size_t>(Key.Step)];
}

const StepProgress &JobProgress::stateOf(const TaskKey &Key) const {
  return Occurrences.at(Key.Occurrence).Steps[static_cast<size_t>(Key.Step)];
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
  return IsStarted ||
         std::any_of(Occurrences.begin(), Occurrences.end(),
                     [](const auto &Row) { return !isUntouched(Row.second); });
}

bool JobProgress::allDone() const {
  return NextOccurrence == Spec.occurrences() &&
         std::all_of(Occurrences.begin(), Occurrences.end(),
                     [this](const auto &Row) {
                       return static_cast<size_t>(Row.second.StepsDone) ==
                              Spec.Steps.size();
                     });
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
  Task.IsIncarnationProven = false;
  Task.MayHaveLongLease = false;
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
  // The latest occurrences without an assigned task are opened again when they
  // are due; the wall clock may have jumped forward and back.
  auto End = Occurrences.end();
  int32_t Next = NextOccurrence;
  while (Spec.Repetitions > 0 && End != Occurrences.begin() &&
         std::prev(End)->first == Next - 1 &&
         isUntouched(std::prev(End)->second)) {
    --End;
    --Next;
  }
  JsonText Out;
  Out.beginObject().key("status").integer(static_cast<int64_t>(Status));
  Out.key("version").integer(Version);
  if (IsStarted)
    Out.key("started").boolean(true);
  if (EndedMs != 0)
    Out.key("ended").integer(EndedMs);
  if (Spec.Repetitions > 0) {
    Out.key("next").integer(Next).key("open").beginArray();
    for (auto It = Occurrences.begin(); It != End; ++It)
      Out.integer(It->first);
    Out.endArray();
  }
  // An ended job needs its tasks too: a later owner stops those that still run.
  Out.key("tasks").beginArray();
  for (auto It = Occurrences.begin(); It != End; ++It) {
    Out.beginArray();
    for (const StepProgress &Step : It->second.Steps)
      encodeTasks(Out, Step.Tasks, StoresCheckpoints);
    Out.endArray();
  }
  Out.endArray().endObject();
  return Out.take();
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
    bool HasOpen = Document.contains("open");
    // Records of former versions list all occurrences.
    NextOccurrence = static_cast<int32_t>(
        HasOpen ? integerField(Document, "next", 0, Spec.occurrences())
                : Spec.occurrences());
    IsStarted |= HasOpen && NextOccurrence > static_cast<int64_t>(Rows.size());
    Occurrences.clear();
    for (size_t I = 0; I < Rows.size(); ++I) {
      int64_t Number = HasOpen ? integerIn(Document.at("open").at(I), "open", 0,
                                           NextOccurrence - 1)
                               : static_cast<int64_t>(I);
      if (Number >= NextOccurrence)
        throw Error("has more occurrences than the job");
      open(static_cast<int32_t>(Number));
      OccurrenceProgress &Occurrence =
          Occurrences[static_cast<int32_t>(Number)];
      for (size_t S = 0; S < Spec.Steps.size(); ++S)
        restoreTasks(Rows.at(I).at(S), Occurrence.Steps[S].Tasks);
      recount(Occurrence);
    }
    if (!HasOpen && Rows.size() < static_cast<size_t>(Spec.occurrences()))
      throw Error("has fewer occurrences than the job");
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
