#include "describe_parts.hpp"

#include <algorithm>

/// Differences of data centres and queues.
namespace teaselwalk::config {
namespace {

std::string titleOf(const DataCentre &Row) {
  return "data centre " + Row.Name.str();
}

std::string titleOf(const Queue &Row) { return "queue " + Row.Name.str(); }

std::string secondsOf(Duration Length) {
  return std::to_string(Length.count() / 1000) + " s";
}

struct StateText {
  DataCentreState State;
  const char *Consequence;
  bool Dangerous;
};

constexpr StateText StateTexts[] = {
    {DataCentreState::In, "starts work again", false},
    {DataCentreState::Draining,
     "starts nothing new within 3 s; running tasks continue", true},
    {DataCentreState::Out,
     "starts nothing new within 3 s; its running tasks are checkpointed and "
     "stopped",
     true},
};

void describeState(const DataCentre &Before, const DataCentre &After,
                   DifferenceList &Out) {
  if (Before.State == After.State)
    return;
  std::string Text =
      titleOf(After) + " goes from " +
      std::string(nameOf(DataCentreStateNames, Before.State)) + " to " +
      std::string(nameOf(DataCentreStateNames, After.State)) + ": it ";
  for (const StateText &Row : StateTexts) {
    if (Row.State != After.State)
      continue;
    if (Row.Dangerous)
      Out.addDangerous(After.Name.str(), Text + Row.Consequence);
    else
      Out.add(After.Name.str(), Text + Row.Consequence);
  }
}

bool names(const Queue &Row, const TeamId &Team) {
  return std::find(Row.Teams.begin(), Row.Teams.end(), Team) != Row.Teams.end();
}

void describeTeams(const Queue &Before, const Queue &After,
                   DifferenceList &Out) {
  for (const TeamId &Team : After.Teams)
    if (!names(Before, Team))
      Out.add(After.Name.str(),
              titleOf(After) + " accepts work of team " + Team.str());
  for (const TeamId &Team : Before.Teams)
    if (!names(After, Team))
      Out.addDangerous(After.Name.str(),
                       titleOf(After) + " no longer accepts work of team " +
                           Team.str());
}

std::string orNone(const QueueId &Name) {
  return Name.empty() ? "none" : Name.str();
}

} // namespace

void describeAdded(const DataCentre &Row, DifferenceList &Out) {
  Out.add(Row.Name.str(),
          titleOf(Row) + " is added in region " + Row.Region + ", state " +
              std::string(nameOf(DataCentreStateNames, Row.State)) + ", " +
              std::to_string(Row.Shards) + " shards");
}

void describeRemoved(const DataCentre &Row, DifferenceList &Out) {
  Out.addDangerous(Row.Name.str(),
                   titleOf(Row) + " is removed: its entry processes refuse "
                                  "all work and its jobs have no owner");
}

void describeChanged(const DataCentre &Before, const DataCentre &After,
                     DifferenceList &Out) {
  describeState(Before, After, Out);
  std::string Name = After.Name.str();
  if (Before.Region != After.Region)
    Out.add(Name, titleOf(After) + " changes its region from " + Before.Region +
                      " to " + After.Region);
  if (Before.Shards != After.Shards)
    Out.addDangerous(Name, titleOf(After) + " changes from " +
                               std::to_string(Before.Shards) + " to " +
                               std::to_string(After.Shards) +
                               " shards: endpoints and jobs change owners");
  if (Before.CutOffService == After.CutOffService)
    return;
  std::string Text = titleOf(After) + " serves for " +
                     secondsOf(After.CutOffService) + " instead of " +
                     secondsOf(Before.CutOffService) + " while it is cut off";
  if (After.CutOffService > Before.CutOffService)
    Out.addDangerous(Name, Text + ": withdrawn keys and states take effect "
                                  "there only after that time");
  else
    Out.add(Name, Text);
}

void describeAdded(const Queue &Row, DifferenceList &Out) {
  std::string Text = titleOf(Row) + " is added, class " +
                     std::string(nameOf(QueueClassNames, Row.Class));
  if (Row.Access == QueueAccess::Open)
    return Out.addDangerous(Row.Name.str(),
                            Text +
                                ": it accepts work without a key and "
                                "charges team " +
                                Row.Teams.front().str());
  Out.add(Row.Name.str(),
          Text + ", for " + std::to_string(Row.Teams.size()) + " teams");
}

void describeRemoved(const Queue &Row, DifferenceList &Out) {
  Out.addDangerous(Row.Name.str(),
                   titleOf(Row) + " is removed: requests to it are refused");
}

void describeChanged(const Queue &Before, const Queue &After,
                     DifferenceList &Out) {
  std::string Name = After.Name.str();
  if (Before.Access != After.Access) {
    if (After.Access == QueueAccess::Open)
      Out.addDangerous(Name, titleOf(After) +
                                 " becomes open: it accepts work without a "
                                 "key and charges team " +
                                 After.Teams.front().str());
    else
      Out.addDangerous(Name, titleOf(After) +
                                 " becomes keyed: requests without a "
                                 "key are refused");
  }
  describeTeams(Before, After, Out);
  if (Before.Class != After.Class)
    Out.add(Name, titleOf(After) + " changes its class from " +
                      std::string(nameOf(QueueClassNames, Before.Class)) +
                      " to " +
                      std::string(nameOf(QueueClassNames, After.Class)));
  if (Before.Deadline != After.Deadline)
    Out.add(Name, titleOf(After) + " changes its deadline from " +
                      std::to_string(Before.Deadline.count()) + " ms to " +
                      std::to_string(After.Deadline.count()) + " ms");
  if (Before.Overflow != After.Overflow)
    Out.add(Name, titleOf(After) + " changes its overflow from " +
                      orNone(Before.Overflow) + " to " +
                      orNone(After.Overflow));
}

} // namespace teaselwalk::config
