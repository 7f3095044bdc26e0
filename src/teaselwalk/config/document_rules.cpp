#include "document_rules.hpp"

#include "object_reader.hpp"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace teaselwalk::config {
namespace {

std::string place(const char *Array, size_t Index, const char *Field) {
  return std::string(Array) + "[" + std::to_string(Index) + "]." + Field;
}

/// Names that could not be read are empty and were reported already.
template <typename Row>
void checkDuplicates(const char *Array, const std::vector<Row> &Rows,
                     MistakeList &Mistakes) {
  using Name = std::decay_t<decltype(Rows.front().Name)>;
  std::unordered_map<Name, size_t> First;
  for (size_t I = 0; I < Rows.size(); ++I) {
    if (Rows[I].Name.empty())
      continue;
    auto [Found, New] = First.emplace(Rows[I].Name, I);
    if (!New)
      Mistakes.add(place(Array, I, "name"),
                   "is also the name of " + std::string(Array) + "[" +
                       std::to_string(Found->second) + "]; names must differ");
  }
}

void checkKeyIds(const Document &Value, MistakeList &Mistakes) {
  std::unordered_set<KeyId> Seen;
  for (size_t I = 0; I < Value.Teams.size(); ++I) {
    const auto &Keys = Value.Teams[I].Keys;
    for (size_t J = 0; J < Keys.size(); ++J)
      if (!Keys[J].Id.empty() && !Seen.insert(Keys[J].Id).second)
        Mistakes.add(place("teams", I, "keys") + "[" + std::to_string(J) +
                         "].id",
                     "is the id of another key; ids must differ");
  }
}

void checkTeamsOfQueue(const Document &Value, size_t Index,
                       const std::unordered_set<TeamId> &Teams,
                       MistakeList &Mistakes) {
  const Queue &Row = Value.Queues[Index];
  std::unordered_set<TeamId> Seen;
  for (size_t I = 0; I < Row.Teams.size(); ++I) {
    const TeamId &Team = Row.Teams[I];
    std::string Path =
        place("queues", Index, "teams") + "[" + std::to_string(I) + "]";
    if (Team.empty())
      continue;
    if (Teams.count(Team) == 0)
      Mistakes.add(Path, "is \"" + Team.str() + "\"; there is no such team");
    if (!Seen.insert(Team).second)
      Mistakes.add(Path, "is \"" + Team.str() + "\"; is named twice");
  }
  if (Row.Access == QueueAccess::Open && Row.Teams.size() > 1)
    Mistakes.add(place("queues", Index, "teams"),
                 "has " + std::to_string(Row.Teams.size()) +
                     " elements; an open queue must have exactly one team, "
                     "which is charged");
}

using QueueMap = std::unordered_map<QueueId, const Queue *>;

const Queue *lookUp(const QueueMap &Queues, const QueueId &Name) {
  auto Found = Queues.find(Name);
  return Found == Queues.end() ? nullptr : Found->second;
}

/// Work that overflows must stay charged to the same team, so every team of a
/// queue must be one of the other queue's.
void checkOverflow(const Document &Value, size_t Index, const QueueMap &Queues,
                   const std::unordered_set<TeamId> &Teams,
                   MistakeList &Mistakes) {
  const Queue &Row = Value.Queues[Index];
  if (Row.Overflow.empty())
    return;
  std::string Path = place("queues", Index, "overflow");
  const Queue *Target = lookUp(Queues, Row.Overflow);
  if (!Target)
    return Mistakes.add(Path, "is \"" + Row.Overflow.str() +
                                  "\"; there is no such queue");
  std::unordered_set<TeamId> Allowed(Target->Teams.begin(),
                                     Target->Teams.end());
  for (const TeamId &Team : Row.Teams)
    if (Teams.count(Team) > 0 && Allowed.count(Team) == 0)
      Mistakes.add(Path, "is \"" + Row.Overflow.str() + "\", which team \"" +
                             Team.str() + "\" may not use");
  // Following more links than there are queues proves a loop.
  const Queue *Next = &Row;
  for (size_t Steps = 0; Next && !Next->Overflow.empty(); ++Steps) {
    Next = lookUp(Queues, Next->Overflow);
    if (Next == &Row || Steps > Value.Queues.size())
      return Mistakes.add(Path, "is \"" + Row.Overflow.str() +
                                    "\", which leads back to a queue "
                                    "already passed; overflow must not loop");
  }
}

void checkStates(const Document &Value, MistakeList &Mistakes) {
  const auto &Rows = Value.DataCentres;
  bool AllOut = std::all_of(Rows.begin(), Rows.end(), [](const auto &Row) {
    return Row.State == DataCentreState::Out;
  });
  if (AllOut && !Rows.empty())
    Mistakes.add("data_centres", "are all in state out; the last data centre "
                                 "must stay in state in or draining");
}

} // namespace

void checkRules(const Document &Value, MistakeList &Mistakes) {
  checkDuplicates("data_centres", Value.DataCentres, Mistakes);
  checkDuplicates("teams", Value.Teams, Mistakes);
  checkDuplicates("queues", Value.Queues, Mistakes);
  checkDuplicates("operators", Value.Operators, Mistakes);
  checkKeyIds(Value, Mistakes);
  std::unordered_set<TeamId> Teams;
  for (const Team &Row : Value.Teams)
    Teams.insert(Row.Name);
  QueueMap Queues;
  for (const Queue &Row : Value.Queues)
    Queues.emplace(Row.Name, &Row);
  for (size_t I = 0; I < Value.Queues.size(); ++I) {
    checkTeamsOfQueue(Value, I, Teams, Mistakes);
    checkOverflow(Value, I, Queues, Teams, Mistakes);
  }
  checkStates(Value, Mistakes);
}

} // namespace teaselwalk::config
