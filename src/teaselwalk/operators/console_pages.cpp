#include "console_pages.hpp"

#include "html.hpp"

namespace teaselwalk::operators {
namespace {

constexpr size_t ShownChanges = 10;

/// Makes the forms of the home page, each of which drafts one action.
class FormMaker {
public:
  FormMaker(const PageContext &Context, uint64_t Revision)
      : Common{{"session", Context.Session},
               {"base_revision", std::to_string(Revision)}} {}

  std::string operator()(const char *Action, const HiddenFields &Fields,
                         const std::string &Content, const char *Button) const {
    HiddenFields All = Common;
    All.emplace_back("action", Action);
    All.insert(All.end(), Fields.begin(), Fields.end());
    return postForm("/console/draft", All, Content, Button);
  }

private:
  HiddenFields Common;
};

template <typename Enum, size_t N>
std::vector<std::string> namesOf(const std::array<EnumName<Enum>, N> &Table) {
  std::vector<std::string> Out;
  Out.reserve(N);
  for (const EnumName<Enum> &Row : Table)
    Out.emplace_back(Row.Name);
  return Out;
}

std::string row(const std::vector<std::string> &Cells) {
  std::string Out = "<tr>";
  for (const std::string &Cell : Cells)
    Out += "<td>" + Cell + "</td>";
  return Out + "</tr>";
}

std::string dataCentres(const FormMaker &Make, const CurrentConfig &Current,
                        const std::vector<InForce> &Seen) {
  std::string Out = "<h2>Data centres</h2><table>";
  for (const config::DataCentre &Row : Current.Snapshot.Content.DataCentres) {
    std::string InForceText = "no message yet";
    for (const InForce &Message : Seen)
      if (Message.DataCentre == Row.Name)
        InForceText = "follows revision " + std::to_string(Message.Revision) +
                      ", confirmed " + std::to_string(Message.Age.count()) +
                      " ms ago";
    std::string State(nameOf(config::DataCentreStateNames, Row.State));
    std::string Content =
        select("state", namesOf(config::DataCentreStateNames), State) +
        input("service while cut off, s", "cut_off_service_s",
              std::to_string(Row.CutOffService.count() / 1000));
    Out += row(
        {element("b", Row.Name.str()), escapeHtml(Row.Region),
         Make("data_centre_set", {{"name", Row.Name.str()}}, Content, "Draft"),
         escapeHtml(InForceText)});
  }
  return Out + "</table>";
}

std::string teamFields(const config::Team &Row) {
  return input("share", "share", std::to_string(Row.Share)) +
         input("millicores", "cpu_millis", std::to_string(Row.Limit.MilliCpu)) +
         input("memory, MB", "memory_mb", std::to_string(Row.Limit.MemoryMb)) +
         input("accelerators", "accelerators",
               std::to_string(Row.Limit.Accelerators)) +
         input("tasks", "tasks", std::to_string(Row.Limit.Slots));
}

std::string keysOf(const FormMaker &Make, const config::Team &Team) {
  std::string Out;
  std::string Name = Team.Name.str();
  for (const config::TeamKey &Key : Team.Keys)
    Out += "<div>" + element("code", Key.Id.str()) +
           Make("key_withdraw", {{"name", Name}, {"key", Key.Id.str()}}, "",
                "Withdraw") +
           "</div>";
  return Out + Make("key_add", {{"name", Name}}, input("key id", "key", ""),
                    "New key");
}

std::string teams(const FormMaker &Make, const config::Document &Document) {
  std::string Out = "<h2>Teams</h2><table>";
  for (const config::Team &Row : Document.Teams) {
    HiddenFields Name = {{"name", Row.Name.str()}};
    Out += row({element("b", Row.Name.str()),
                Make("team_set", Name, teamFields(Row), "Draft"),
                keysOf(Make, Row), Make("team_remove", Name, "", "Remove")});
  }
  return Out + "</table>" +
         Make("team_set", {}, input("new team", "name", "") + teamFields({}),
              "Add");
}

std::string queueFields(const config::Queue &Row) {
  std::string Teams;
  for (const TeamId &Team : Row.Teams)
    Teams += (Teams.empty() ? "" : " ") + Team.str();
  return select("access", namesOf(config::QueueAccessNames),
                std::string(nameOf(config::QueueAccessNames, Row.Access))) +
         select("class", namesOf(config::QueueClassNames),
                std::string(nameOf(config::QueueClassNames, Row.Class))) +
         input("teams", "teams", Teams) +
         input("deadline, ms", "deadline_ms",
               std::to_string(Row.Deadline.count())) +
         input("overflow", "overflow", Row.Overflow.str());
}

std::string queues(const FormMaker &Make, const config::Document &Document) {
  std::string Out = "<h2>Queues</h2><table>";
  for (const config::Queue &Row : Document.Queues) {
    HiddenFields Name = {{"name", Row.Name.str()}};
    Out += row({element("b", Row.Name.str()),
                Make("queue_set", Name, queueFields(Row), "Draft"),
                Make("queue_remove", Name, "", "Remove")});
  }
  return Out + "</table>" +
         Make("queue_set", {}, input("new queue", "name", "") + queueFields({}),
              "Add");
}

std::string history(const config::HeadRecord &Head) {
  std::string Out = "<h2>Latest changes</h2><ul>";
  size_t Count = 0;
  for (auto Row = Head.Changes.rbegin();
       Row != Head.Changes.rend() && Count < ShownChanges; ++Row, ++Count)
    Out += element("li", "revision " + std::to_string(Row->Revision) + " by " +
                             Row->Who + ": " + Row->Why);
  return Out + "</ul>";
}

std::string differences(const std::vector<config::Difference> &Changes) {
  std::string Out = "<ul>";
  for (const config::Difference &Row : Changes)
    Out += Row.Dangerous
               ? "<li class=\"danger\">" + escapeHtml(Row.Text) + "</li>"
               : element("li", Row.Text);
  return Out + "</ul>";
}

std::string backForm(const PageContext &Context) {
  return postForm("/console/home", {{"session", Context.Session}}, "", "Back");
}

struct OutcomeText {
  ChangeState State;
  const char *Text;
};

constexpr OutcomeText OutcomeTexts[] = {
    {ChangeState::Accepted, "The change is accepted as revision "},
    {ChangeState::Unchanged, "Nothing changes at revision "},
    {ChangeState::NeedsConfirm,
     "Nothing was changed: the confirmation was not typed as shown. Revision "},
    {ChangeState::Conflict,
     "Nothing was changed: somebody else's change came first. Revision "},
    {ChangeState::Unknown,
     "The change may be in force: the store did not tell. Look at the latest "
     "changes. The revision was "},
    {ChangeState::StoreUnavailable,
     "Nothing was changed: no writer can reach the store. Revision "},
};

} // namespace

std::string loginPage(const std::string &Message) {
  std::string Field = "<label>Credential <input type=\"password\" "
                      "name=\"credential\" autocomplete=\"off\"></label> ";
  return htmlPage("teaselwalk",
                  element("p", Message) +
                      postForm("/console/login", {}, Field, "Log in"));
}

std::string homePage(const PageContext &Context, const CurrentConfig &Current,
                     const std::vector<InForce> &InForce) {
  const config::Document &Document = Current.Snapshot.Content;
  FormMaker Make(Context, Current.Snapshot.Revision);
  return htmlPage(
      "Configuration, revision " + std::to_string(Current.Snapshot.Revision),
      element("p", "Operator " + Context.Operator) +
          dataCentres(Make, Current, InForce) + teams(Make, Document) +
          queues(Make, Document) + history(Current.Head));
}

std::string draftPage(const PageContext &Context, const Form &Fields,
                      const ChangeOutcome &Draft) {
  HiddenFields Repeated(Fields.all().begin(), Fields.all().end());
  std::string Content = input("reason", "why", "");
  if (!Draft.Confirmation.empty())
    Content += "<p class=\"danger\">Type \"" + escapeHtml(Draft.Confirmation) +
               "\" to confirm: " + input("", "confirm", "") + "</p>";
  return htmlPage(
      "Draft on revision " + std::to_string(Draft.Revision),
      differences(Draft.Changes) +
          postForm("/console/confirm", Repeated, Content, "Put into force") +
          backForm(Context));
}

std::string resultPage(const PageContext &Context, const ChangeOutcome &Outcome,
                       const std::string &NewKey) {
  std::string Content;
  for (const OutcomeText &Row : OutcomeTexts)
    if (Row.State == Outcome.State)
      Content = element("p", Row.Text + std::to_string(Outcome.Revision) + ".");
  if (Outcome.State == ChangeState::Conflict ||
      Outcome.State == ChangeState::NeedsConfirm)
    Content += differences(Outcome.Changes);
  bool MayBeInForce = Outcome.State == ChangeState::Accepted ||
                      Outcome.State == ChangeState::Unknown;
  if (!NewKey.empty() && MayBeInForce)
    Content +=
        element("p", "The new key, shown only now:") + element("code", NewKey);
  return htmlPage("Result", Content + backForm(Context));
}

std::string mistakesPage(const PageContext &Context,
                         const std::vector<FieldError> &Mistakes) {
  std::string Content = "<ul>";
  for (const FieldError &Row : Mistakes)
    Content += element("li", Row.Field + ": " + Row.Message);
  return htmlPage("Nothing was changed", Content + "</ul>" + backForm(Context));
}

} // namespace teaselwalk::operators
