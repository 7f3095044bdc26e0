#include "teaselwalk/config/strict_json.hpp"

#include <set>

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

// A document is five levels deep, and a request adds one.
constexpr int MaxDepth = 16;
constexpr size_t MaxReportedErrors = 100;
constexpr size_t MaxQuotedBytes = 40;

} // namespace

Json parseStrictJson(const std::string &Text, const char *Whole,
                     std::vector<FieldError> &Mistakes) {
  std::vector<std::set<std::string>> Seen;
  bool TooDeep = false;
  auto Check = [&](int Depth, Json::parse_event_t Event, Json &Parsed) {
    using Kind = Json::parse_event_t;
    TooDeep = TooDeep || Depth > MaxDepth;
    if (TooDeep)
      return false;
    if (Event == Kind::object_start)
      Seen.emplace_back();
    if (Event == Kind::object_end)
      Seen.pop_back();
    if (Event != Kind::key)
      return true;
    auto Key = Parsed.get<std::string>();
    if (!Seen.back().insert(Key).second && Mistakes.size() < MaxReportedErrors)
      Mistakes.push_back(
          {Key.substr(0, MaxQuotedBytes), "appears twice in one object"});
    return true;
  };
  Json Out = Json::parse(Text, Check, false);
  if (TooDeep)
    throw InvalidInput(Whole, "is nested deeper than " +
                                  std::to_string(MaxDepth) + " levels");
  if (Out.is_discarded())
    throw InvalidInput(Whole, "is not valid JSON in UTF-8");
  return Out;
}

} // namespace teaselwalk::config
