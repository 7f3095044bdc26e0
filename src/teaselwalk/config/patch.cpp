#include "patch.hpp"

#include <optional>
#include <set>
#include <string>

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

std::set<std::string> namesOf(const Json &Rows) {
  std::set<std::string> Out;
  for (const Json &Row : Rows)
    Out.insert(Row["name"].get<std::string>());
  return Out;
}

void append(Json &Steps, const Json &More) {
  Steps.insert(Steps.end(), More.begin(), More.end());
}

/// The steps between two arrays of rows with unique names. Nothing if rows that
/// stay have changed their order.
std::optional<Json> patchRows(const Json &Old, const Json &New,
                              const std::string &Path) {
  std::set<std::string> Wanted = namesOf(New);
  Json Steps = Json::array();
  std::vector<const Json *> Kept;
  for (size_t I = Old.size(); I > 0; --I) {
    const Json &Row = Old[I - 1];
    if (Wanted.count(Row["name"].get<std::string>()) > 0)
      Kept.push_back(&Row);
    else
      Steps.push_back(
          {{"op", "remove"}, {"path", Path + "/" + std::to_string(I - 1)}});
  }
  // Kept is in reverse order: its last row is the next one.
  std::set<std::string> Before = namesOf(Old);
  for (size_t I = 0; I < New.size(); ++I) {
    std::string Place = Path + "/" + std::to_string(I);
    bool IsNext = !Kept.empty() && (*Kept.back())["name"] == New[I]["name"];
    if (IsNext) {
      append(Steps, Json::diff(*Kept.back(), New[I], Place));
      Kept.pop_back();
    } else if (Before.count(New[I]["name"].get<std::string>()) > 0) {
      return std::nullopt;
    } else {
      Steps.push_back({{"op", "add"}, {"path", Place}, {"value", New[I]}});
    }
  }
  return Steps;
}

/// Nothing if there is no such patch, as for the first document.
std::optional<Json> patchByName(const Json &Old, const Json &New) {
  Json Steps = Json::array();
  for (const auto &Item : New.items()) {
    if (!Old.contains(Item.key()))
      return std::nullopt;
    auto Part = patchRows(Old[Item.key()], Item.value(), "/" + Item.key());
    if (!Part)
      return std::nullopt;
    append(Steps, *Part);
  }
  return Steps;
}

} // namespace

Json patchBetween(const Json &Old, const Json &New) {
  // The library's difference compares rows by position, so that a row removed
  // from the front changes all rows behind it.
  auto ByName = patchByName(Old, New);
  Json Steps = ByName ? *ByName : Json::diff(Old, New);
  Json Whole = Json::array({{{"op", "replace"}, {"path", ""}, {"value", New}}});
  return Steps.dump().size() <= Whole.dump().size() ? Steps : Whole;
}

} // namespace teaselwalk::config
