#include "console_actions.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/config/access.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace teaselwalk::operators {
namespace {

using Json = nlohmann::json;

/// What an action works on.
struct Work {
  Json Document;
  const Form &Fields;
  const std::function<std::vector<uint8_t>(size_t)> &RandomBytes;
  std::string NewKey;
};

/// A number if the field is one; otherwise the text, which the document's
/// checks then refuse with its path.
Json numberOf(const Form &Fields, const char *Name) {
  std::string Text = Fields.text(Name);
  size_t Sign = !Text.empty() && Text.front() == '-' ? 1 : 0;
  bool Digits = Text.size() > Sign && Text.size() <= 18 &&
                std::all_of(Text.begin() + static_cast<int>(Sign), Text.end(),
                            [](char C) { return C >= '0' && C <= '9'; });
  return Digits ? Json(std::stoll(Text)) : Json(Text);
}

/// The row called \p Name of array \p Array, or null.
Json *findRow(Json &Document, const char *Array, const std::string &Name) {
  for (Json &Row : Document[Array])
    if (Row["name"] == Name)
      return &Row;
  return nullptr;
}

Json &rowOf(Work &Task, const char *Array) {
  std::string Name = Task.Fields.text("name");
  if (Json *Found = findRow(Task.Document, Array, Name))
    return *Found;
  throw InvalidInput("name", "there is no \"" + Name.substr(0, 64) +
                                 "\" among the " + Array);
}

/// The row that the form names; a new one if there is none.
Json &rowOrNew(Work &Task, const char *Array, const Json &New) {
  std::string Name = Task.Fields.text("name");
  if (Json *Found = findRow(Task.Document, Array, Name))
    return *Found;
  Task.Document[Array].push_back(New);
  Task.Document[Array].back()["name"] = Name;
  return Task.Document[Array].back();
}

void removeRow(Work &Task, const char *Array) {
  Json &Row = rowOf(Task, Array);
  Json &Rows = Task.Document[Array];
  Rows.erase(Rows.begin() + (&Row - &Rows[0]));
}

void setDataCentre(Work &Task) {
  Json &Row = rowOf(Task, "data_centres");
  Row["state"] = Task.Fields.text("state");
  Row["cut_off_service_s"] = numberOf(Task.Fields, "cut_off_service_s");
}

void setTeam(Work &Task) {
  Json &Row = rowOrNew(Task, "teams", {{"keys", Json::array()}});
  Row["share"] = numberOf(Task.Fields, "share");
  for (const char *Name : {"cpu_millis", "memory_mb", "accelerators", "tasks"})
    Row["limit"][Name] = numberOf(Task.Fields, Name);
}

void removeTeam(Work &Task) { removeRow(Task, "teams"); }

void addKey(Work &Task) {
  config::NewKey Made =
      config::makeKey(KeyId(Task.Fields.text("key")),
                      Task.RandomBytes(config::SecretRandomBytes));
  rowOf(Task, "teams")["keys"].push_back({{"id", Made.Stored.Id.str()},
                                          {"salt", Made.Stored.Secret.Salt},
                                          {"hash", Made.Stored.Secret.Hash}});
  Task.NewKey = Made.Text;
}

void withdrawKey(Work &Task) {
  Json &Keys = rowOf(Task, "teams")["keys"];
  std::string Id = Task.Fields.text("key");
  for (size_t I = 0; I < Keys.size(); ++I)
    if (Keys[I]["id"] == Id)
      return Keys.erase(I);
  throw InvalidInput("key", "the team has no such key");
}

void setQueue(Work &Task) {
  Json &Row = rowOrNew(Task, "queues", Json::object());
  for (const char *Name : {"access", "class", "overflow"})
    Row[Name] = Task.Fields.text(Name);
  Row["deadline_ms"] = numberOf(Task.Fields, "deadline_ms");
  Row["teams"] = Json::array();
  std::istringstream Names(Task.Fields.text("teams"));
  for (std::string Name; Names >> Name;)
    Row["teams"].push_back(Name);
}

void removeQueue(Work &Task) { removeRow(Task, "queues"); }

struct ActionRow {
  const char *Name;
  void (*Run)(Work &);
};

constexpr ActionRow Actions[] = {
    {"data_centre_set", setDataCentre}, {"team_set", setTeam},
    {"team_remove", removeTeam},        {"key_add", addKey},
    {"key_withdraw", withdrawKey},      {"queue_set", setQueue},
    {"queue_remove", removeQueue},
};

} // namespace

Edit editedBy(const config::Document &Current, const Form &Fields,
              const std::function<std::vector<uint8_t>(size_t)> &RandomBytes) {
  Work Task{toJson(Current), Fields, RandomBytes, {}};
  std::string Name = Fields.text("action");
  for (const ActionRow &Row : Actions) {
    if (Name != Row.Name)
      continue;
    Row.Run(Task);
    // Through the text, because a form can hold bytes that are not UTF-8.
    std::string Text =
        Task.Document.dump(-1, ' ', false, Json::error_handler_t::replace);
    return {config::parseDocument(Text), Task.NewKey};
  }
  throw InvalidInput("action", "is not a known action");
}

} // namespace teaselwalk::operators
