#include "teaselwalk/engine/active_task_table.hpp"

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

ActiveTask &ActiveTaskTable::insert(ActiveTask Value) {
  TaskId Task = Value.Id.Task;
  Endpoints[Value.Endpoint].insert(Task);
  if (Value.TaskRef)
    Jobs[Value.TaskRef->Job].insert(Task);
  return Tasks.insert_or_assign(Task, std::move(Value)).first->second;
}

ActiveTask *ActiveTaskTable::find(const TaskId &Task) {
  auto Found = Tasks.find(Task);
  return Found == Tasks.end() ? nullptr : &Found->second;
}

ActiveTask *ActiveTaskTable::find(const protocol::AttemptId &Id) {
  ActiveTask *Entry = find(Id.Task);
  return Entry && Entry->Id == Id ? Entry : nullptr;
}

void ActiveTaskTable::erase(const TaskId &Task) {
  auto Found = Tasks.find(Task);
  if (Found == Tasks.end())
    return;
  eraseFrom(Endpoints, Found->second.Endpoint, Task);
  if (Found->second.TaskRef)
    eraseFrom(Jobs, Found->second.TaskRef->Job, Task);
  Tasks.erase(Found);
}

std::vector<protocol::AttemptId>
ActiveTaskTable::attemptsOn(const EndpointId &Endpoint) const {
  std::vector<protocol::AttemptId> Attempts;
  auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return Attempts;
  for (const TaskId &Task : Found->second)
    Attempts.push_back(Tasks.at(Task).Id);
  return Attempts;
}

std::vector<TaskId> ActiveTaskTable::tasksOn(const EndpointId &Endpoint) const {
  return listOf(Endpoints, Endpoint);
}

std::vector<TaskId> ActiveTaskTable::tasksOf(const JobId &Job) const {
  return listOf(Jobs, Job);
}

} // namespace teaselwalk::engine
