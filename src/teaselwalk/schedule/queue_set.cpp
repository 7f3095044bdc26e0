#include "teaselwalk/schedule/queue_set.hpp"

namespace teaselwalk::schedule {

Resources Unit::total() const {
  Resources Sum = Spec.Size;
  for (int64_t Resources::*Field : ResourceFields)
    Sum.*Field *= static_cast<int64_t>(Tasks.size());
  return Sum;
}

bool ShapeQueue::KeyLess::operator()(const Key &A, const Key &B) const {
  auto Rest = [](const Key &Value) {
    return std::make_pair(std::get<1>(Value), std::get<2>(Value));
  };
  if (Rest(A) != Rest(B))
    return Rest(A) < Rest(B);
  return ResourcesLess()(std::get<0>(A), std::get<0>(B));
}

ShapeQueue::Key ShapeQueue::keyOf(const Unit &Value) {
  return {Value.Spec.Size, Value.Spec.RunTime, Value.isGang() ? Value.Id : 0};
}

void ShapeQueue::insert(const Unit &Value) {
  std::set<UnitId> &Units = Shapes[keyOf(Value)];
  if (!Units.empty())
    Heads.erase(*Units.begin());
  Units.insert(Value.Id);
  Heads[*Units.begin()] = {&Units, Value.Spec.Size, Value.Spec.RunTime,
                           Value.isGang()};
}

void ShapeQueue::erase(const Unit &Value) {
  auto Found = Shapes.find(keyOf(Value));
  if (Found == Shapes.end())
    return;
  std::set<UnitId> &Units = Found->second;
  Heads.erase(*Units.begin());
  Units.erase(Value.Id);
  if (Units.empty())
    Shapes.erase(Found);
  else
    Heads[*Units.begin()] = {&Units, Value.Spec.Size, Value.Spec.RunTime,
                             Value.isGang()};
}

UnitId QueueSet::insert(Unit Value) {
  Value.Id = Next++;
  for (const TaskId &Task : Value.Tasks)
    Tasks.emplace(Task, Value.Id);
  if (!Value.Spec.Job.empty())
    Jobs[Value.Spec.Job].insert(Value.Id);
  if (Value.isGang())
    Gangs.insert(Value.Id);
  if (Value.Spec.Deadline)
    Deadlines.emplace(*Value.Spec.Deadline, Value.Id);
  if (Value.Team >= Teams.size())
    Teams.resize(Value.Team + 1);
  Teams[Value.Team][static_cast<size_t>(Value.Class)].insert(Value);
  UnitId Id = Value.Id;
  Units.emplace_hint(Units.end(), Id, std::move(Value));
  return Id;
}

Unit QueueSet::take(UnitId Id) {
  auto Found = Units.find(Id);
  Unit Value = std::move(Found->second);
  Units.erase(Found);
  for (const TaskId &Task : Value.Tasks)
    Tasks.erase(Task);
  auto Job = Jobs.find(Value.Spec.Job);
  if (Job != Jobs.end()) {
    Job->second.erase(Id);
    if (Job->second.empty())
      Jobs.erase(Job);
  }
  Gangs.erase(Id);
  if (Value.Spec.Deadline)
    Deadlines.erase({*Value.Spec.Deadline, Id});
  Teams[Value.Team][static_cast<size_t>(Value.Class)].erase(Value);
  return Value;
}

Unit *QueueSet::find(UnitId Id) {
  auto Found = Units.find(Id);
  return Found == Units.end() ? nullptr : &Found->second;
}

const Unit *QueueSet::find(UnitId Id) const {
  auto Found = Units.find(Id);
  return Found == Units.end() ? nullptr : &Found->second;
}

const Unit *QueueSet::findTask(const TaskId &Task) const {
  auto Found = Tasks.find(Task);
  return Found == Tasks.end() ? nullptr : find(Found->second);
}

std::vector<UnitId> QueueSet::unitsOf(const JobId &Job) const {
  auto Found = Jobs.find(Job);
  if (Found == Jobs.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
}

std::vector<UnitId> QueueSet::unitsOf(TeamTable::Index Team) const {
  std::vector<UnitId> Result;
  for (const auto &[Id, Value] : Units)
    if (Value.Team == Team)
      Result.push_back(Id);
  return Result;
}

const ShapeQueue &QueueSet::queueOf(TeamTable::Index Team,
                                    TaskClass Class) const {
  static const ShapeQueue Empty;
  return Team < Teams.size() ? Teams[Team][static_cast<size_t>(Class)] : Empty;
}

} // namespace teaselwalk::schedule
