#include "teaselwalk/config/describe.hpp"

#include "describe_parts.hpp"

#include <algorithm>
#include <set>

namespace teaselwalk::config {
namespace {

/// Calls \p Added, \p Removed and \p Changed for the rows that differ by name.
template <typename Row, typename OnAdded, typename OnRemoved,
          typename OnChanged>
void compareByName(const std::vector<Row> &Old, const std::vector<Row> &New,
                   const OnAdded &Added, const OnRemoved &Removed,
                   const OnChanged &Changed) {
  using Name = std::decay_t<decltype(Old.front().Name)>;
  std::unordered_map<Name, const Row *> Before;
  for (const Row &Value : Old)
    Before.emplace(Value.Name, &Value);
  std::set<Name> Kept;
  for (const Row &Value : New) {
    Kept.insert(Value.Name);
    auto Found = Before.find(Value.Name);
    if (Found == Before.end())
      Added(Value);
    else
      Changed(*Found->second, Value);
  }
  for (const Row &Value : Old)
    if (Kept.count(Value.Name) == 0)
      Removed(Value);
}

void describeOperators(const Document &Old, const Document &New,
                       DifferenceList &Out) {
  compareByName(
      Old.Operators, New.Operators,
      [&](const Operator &Row) {
        Out.add(Row.Name, "operator " + Row.Name + " is added");
      },
      [&](const Operator &Row) {
        Out.addDangerous(Row.Name, "operator " + Row.Name +
                                       " is removed and can no longer log in");
      },
      [&](const Operator &Before, const Operator &After) {
        if (Before.Secret.Hash != After.Secret.Hash ||
            Before.Secret.Salt != After.Secret.Salt)
          Out.addDangerous(After.Name,
                           "operator " + After.Name +
                               " gets another credential; the old one stops "
                               "working within 3 s");
      });
}

} // namespace

std::vector<Difference> describeChanges(const Document &Old,
                                        const Document &New,
                                        const RunningUsage &Running) {
  DifferenceList Out;
  compareByName(
      Old.DataCentres, New.DataCentres,
      [&](const DataCentre &Row) { describeAdded(Row, Out); },
      [&](const DataCentre &Row) { describeRemoved(Row, Out); },
      [&](const DataCentre &Before, const DataCentre &After) {
        describeChanged(Before, After, Out);
      });
  ShareSums Sums{Old, New};
  compareByName(
      Old.Teams, New.Teams,
      [&](const Team &Row) { describeAdded(Row, Sums, Out); },
      [&](const Team &Row) { describeRemoved(Row, Running, Out); },
      [&](const Team &Before, const Team &After) {
        describeChanged(Before, After, Sums, Running, Out);
      });
  compareByName(
      Old.Queues, New.Queues,
      [&](const Queue &Row) { describeAdded(Row, Out); },
      [&](const Queue &Row) { describeRemoved(Row, Out); },
      [&](const Queue &Before, const Queue &After) {
        describeChanged(Before, After, Out);
      });
  describeOperators(Old, New, Out);
  return Out.take();
}

std::string confirmationFor(const std::vector<Difference> &Changes) {
  std::vector<std::string> Names;
  for (const Difference &Row : Changes)
    if (Row.Dangerous &&
        std::find(Names.begin(), Names.end(), Row.Object) == Names.end())
      Names.push_back(Row.Object);
  std::string Out;
  for (const std::string &Name : Names)
    Out += (Out.empty() ? "" : " ") + Name;
  return Out;
}

} // namespace teaselwalk::config
