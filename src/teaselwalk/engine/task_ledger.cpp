#include "teaselwalk/engine/task_ledger.hpp"

#include <utility>

namespace teaselwalk::engine {
namespace {

template <typename Key>
std::vector<TaskId>
listOf(const std::unordered_map<Key, std::set<TaskId>> &Index, const Key &Of) {
  auto Found = Index.find(Of);
  if (Found == Index.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
}

template <typename Key>
void eraseFrom(std::unordered_map<Key, std::set<TaskId>> &Index, const Key &Of,
               const TaskId &Task) {
  auto Found = Index.find(Of);
  if (Found == Index.end())
    return;
  Found->second.erase(Task);
  if (Found->second.empty())
    Index.erase(Found);
}

} // namespace

ActiveTask &TaskLedger::insert(ActiveTask Value) {
  TaskId Task = Value.Id.Task;
  Endpoints[Value.Endpoint].insert(Task);
  if (Value.Place)
    Jobs[Value.Place->Job].insert(Task);
  return Tasks.insert_or_assign(Task, std::move(Value)).first->second;
}

ActiveTask *TaskLedger::find(const TaskId &Task) {
  auto Found = Tasks.find(Task);
  return Found == Tasks.end() ? nullptr : &Found->second;
}

ActiveTask *TaskLedger::find(const protocol::AttemptId &Id) {
  ActiveTask *Entry = find(Id.Task);
  return Entry && Entry->Id == Id ? Entry : nullptr;
}

void TaskLedger::erase(const TaskId &Task) {
  auto Found = Tasks.find(Task);
  if (Found == Tasks.end())
    return;
  eraseFrom(Endpoints, Found->second.Endpoint, Task);
  if (Found->second.Place)
    eraseFrom(Jobs, Found->second.Place->Job, Task);
  Tasks.erase(Found);
}

std::vector<protocol::AttemptId>
TaskLedger::on(const EndpointId &Endpoint) const {
  std::vector<protocol::AttemptId> Attempts;
  auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return Attempts;
  for (const TaskId &Task : Found->second)
    Attempts.push_back(Tasks.at(Task).Id);
  return Attempts;
}

std::vector<TaskId> TaskLedger::tasksOn(const EndpointId &Endpoint) const {
  return listOf(Endpoints, Endpoint);
}

std::vector<TaskId> TaskLedger::tasksOf(const JobId &Job) const {
  return listOf(Jobs, Job);
}

} // namespace teaselwalk::engine
