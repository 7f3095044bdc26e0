#include "remote.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/settings/settings.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

namespace teaselwalk::cli {
namespace {

constexpr int64_t MaxTimeoutMs = 3600000;
constexpr size_t MaxShownBytes = 200;

} // namespace

std::string readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  if (!In.is_open() || In.bad())
    throw Error("cannot read " + Path);
  return Text;
}

std::optional<std::string> optionOf(const Arguments &Args, const char *Name) {
  auto Found = Args.find(Name);
  if (Found == Args.end() || !Found->second.isString())
    return std::nullopt;
  return Found->second.asString();
}

protocol::Address addressOf(const Arguments &Args, const char *Name) {
  auto Text = optionOf(Args, Name).value_or("");
  auto Found = settings::parseAddress(Text);
  if (!Found)
    throw InvalidInput(Name, "is \"" + Text +
                                 "\"; must be IP:PORT with port 1 to 65535");
  return *Found;
}

Duration durationOf(const Arguments &Args, const char *Name, Duration Default) {
  auto Text = optionOf(Args, Name);
  if (!Text)
    return Default;
  bool Digits = !Text->empty() && Text->size() <= 9 &&
                std::all_of(Text->begin(), Text->end(),
                            [](char C) { return C >= '0' && C <= '9'; });
  int64_t Value = Digits ? std::stoll(*Text) : 0;
  if (Value < 1 || Value > MaxTimeoutMs)
    throw InvalidInput(Name, "is \"" + *Text +
                                 "\"; must be an integer from 1 to " +
                                 std::to_string(MaxTimeoutMs) + " ms");
  return Duration(Value);
}

std::string secretOf(const Arguments &Args, const char *Name) {
  auto Path = optionOf(Args, Name);
  if (!Path)
    return {};
  std::istringstream Text(readFile(*Path));
  std::string Secret;
  std::string Rest;
  Text >> Secret >> Rest;
  // A line break in a header would end it.
  if (Secret.empty() || !Rest.empty())
    throw Error(*Path + " must contain one key and nothing else");
  return Secret;
}

nlohmann::json bodyOf(const http::Response &Answer) {
  auto Json = nlohmann::json::parse(Answer.Body, nullptr, false);
  return Json.is_discarded() ? nlohmann::json() : Json;
}

std::string textOf(const nlohmann::json &Object, const char *Name) {
  if (!Object.is_object() || !Object.contains(Name) ||
      !Object[Name].is_string())
    return {};
  return Object[Name].get<std::string>();
}

std::string reasonOf(const http::Response &Answer) {
  nlohmann::json Body = bodyOf(Answer);
  std::string Reason = textOf(Body, "error");
  if (Reason.empty())
    Reason = Answer.Body.substr(0, MaxShownBytes);
  std::string Field = textOf(Body, "field");
  if (!Field.empty())
    Reason = Field + ": " + Reason;
  return "HTTP " + std::to_string(Answer.Status) + ": " + Reason;
}

std::string withoutAnswer(protocol::Delivery State,
                          const protocol::Address &Server) {
  std::ostringstream Out;
  if (State == protocol::Delivery::NotSent)
    Out << "not run: no connection to " << Server;
  else
    Out << "may have run: no whole answer from " << Server;
  return Out.str();
}

} // namespace teaselwalk::cli
